// Real mothslip processes on loopback addresses, as the deploy file starts them. The state service, the cloud
// and the workers are the project's stand-ins (tests/sim), served over HTTP on free ports and on the real
// clock. Users are requests that a case sends itself.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/world.hpp"
#include "transport/event_env.hpp"
#include "transport/http_server.hpp"

namespace review {

using mothslip::EventEnv;
using mothslip::HttpAnswer;
using mothslip::HttpCall;
using mothslip::HttpReply;
using mothslip::HttpRequest;
using mothslip::HttpServer;
using mothslip::Json;
using mothslip::Responder;
namespace sim = mothslip::sim;

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

struct Deployment {
  sim::Options options;
  double cancel_s = 42;
  // Puts the operators' file mothslip.ini with `[recovery] enabled = yes` beside the settings files.
  bool recovery = false;
  std::string program = "target/mothslip";
};

// The answer to a user's request.
struct Answer {
  int status = 0;  // 0: none in time
  std::string body;
  std::string phase;  // of the body, if it has one
};

class Cluster {
 public:
  // `directory` receives settings and logs; `record_file` receives what was sent, answered and run.
  Cluster(Deployment deployment, std::string directory, const std::string& record_file);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  sim::World& world() { return world_; }
  EventEnv& env() { return env_; }
  int nodes() const { return world_.options.nodes; }
  double now() const { return env_.now() - started_at_; }

  // Runs the event loop.
  void run_for(double seconds);
  bool run_until(const std::function<bool()>& condition, double timeout_s);

  void start_node(int node);
  // Kills the process with SIGKILL.
  void kill_node(int node);
  // SIGSTOP and SIGCONT.
  void stop_node(int node);
  void continue_node(int node);
  // Whether a process that was started and not killed has ended by itself. The record says how.
  bool ended_by_itself(int node);

  // Sends a user's request to a node's `front`, records both, and waits for the answer.
  Answer ask(int node, const std::string& method, const std::string& path, const std::string& body = "",
             double timeout_s = 2.0);
  // The same to the node's `back`, as another controller or an operator.
  Answer ask_back(int node, const std::string& method, const std::string& path, double timeout_s = 2.0);
  Answer poll(int node, const std::string& ref) { return ask(node, "GET", "/v2/runs/" + ref); }
  Answer submit(int node, const std::string& ref);
  Answer cancel(int node, const std::string& ref) {
    return ask(node, "POST", "/v2/runs/" + ref + "/cancel", "{}", 5.0);
  }
  // Whether GET /ready is 200, without a record.
  bool is_ready(int node);
  bool all_ready();

  // Makes a job known to the workers ("users upload it"); a case submits it with `submit`.
  void add_job(sim::UserJob job);
  // The node that owns the shard by the state service's keys; -1 if there is none.
  int owner_of(int shard) const;
  // The value under a key of the state service; null if there is none.
  Json stored(const std::string& key) const;
  // Number of starts of any task of the job.
  int starts(const std::string& ref) const;

  void note(const std::string& text);
  // A line of a controller's log that contains the text; empty if there is none.
  std::string log_line(int node, const std::string& text) const;
  std::string log_file(int node) const;

  // If set, decides how each request of a controller to the state service is handled. Returns true if it has
  // taken the request over; `handle_state_request` then carries it out, now or later.
  std::function<bool(int node, const HttpRequest&, const Responder&)> on_state_request;
  void handle_state_request(const HttpRequest& request, const Responder& responder);

 private:
  std::string real_address(const std::string& address);
  std::string translate(std::string text);
  std::string state_address(int node);
  void serve_state();
  void serve_cloud();
  void serve_new_workers();
  void step();
  void record_starts();
  std::string write_settings(int node);
  Answer call(HttpCall call);

  EventEnv env_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, std::unique_ptr<HttpServer>> workers_;
  sim::World world_;
  Deployment deployment_;
  std::string directory_;
  FILE* record_ = nullptr;
  double started_at_;
  std::map<std::string, std::string> addresses_;  // by address in the stand-ins' cluster
  std::map<int, pid_t> processes_;
  std::map<std::string, std::map<int, int>> seen_starts_;
  std::map<std::string, std::size_t> seen_completed_;
};

// An array job of team "red" without constraints.
sim::UserJob array_job(const std::string& ref, int task_count, double run_s, int cores = 2);
// Whether the environment asks for a run without the disruption.
bool without_trouble();

}  // namespace review
