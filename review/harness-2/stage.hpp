// A small deployment for the cases of the second review: real controllers as processes on loopback addresses,
// on the real clock. The cloud, the workers and the state service are the project's stand-ins of tests/sim,
// served over HTTP. Every controller reaches the state service and the other controllers through listeners of
// this program, which can cut them off. What is sent, answered and run is written to a record.
#pragma once

#include <sys/types.h>

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "sim/world.hpp"
#include "transport/event_env.hpp"
#include "transport/http_server.hpp"

namespace review {

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
  std::string phase;  // empty if the body has none
};

// The controllers took each other's shards at the start. The case can be tried again.
struct NotReady : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Stage {
 public:
  static constexpr int kNodes = 3;
  // Starts the stand-ins and the controllers. `record` is the path of the record. Exits with 2 on failure,
  // and throws NotReady if not every controller owns its home shard after a few seconds.
  explicit Stage(const std::string& record);
  ~Stage();
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  mothslip::sim::World& world() { return *world_; }
  double now() const { return env_.now() - started_at_; }
  void log(const std::string& text);

  void run_for(double seconds);
  // Returns false if the condition does not hold within the time.
  bool run_until(const std::function<bool()>& condition, double timeout_s);
  // Like run_until, but ends the program with 2 if the condition does not hold: the case could not run.
  void require(const char* what, const std::function<bool()>& condition, double timeout_s);

  // A request of a user to a controller. Runs until it is answered or timed out.
  Answer ask(int node, const std::string& method, const std::string& path, const std::string& body,
             double timeout_s);
  // The same without waiting.
  void ask_later(int node, const std::string& method, const std::string& path, const std::string& body,
                 double timeout_s, std::function<void(const Answer&)> handler);
  Answer submit(int node, const std::string& ref) {
    return ask(node, "POST", "/v2/runs", world_->jobs.at(ref).body.dump(), 5);
  }
  Answer poll(int node, const std::string& ref) { return ask(node, "GET", "/v2/runs/" + ref, "", 2); }
  bool is_ready(int node);

  // Makes an array job known to the workers. Its tasks run for `run_s` each.
  void add_job(const std::string& ref, int tasks, double run_s, int cores);
  // A new job id whose home shard is `shard`.
  std::string ref_at(int shard);
  // The controller that owns the shard according to the state service; -1 if none does.
  int owner_of(int shard) const;
  int starts_of(const std::string& ref) const;
  int completed_of(const std::string& ref) const;

  // Called for each transaction that reaches the state service, before it is carried out.
  std::function<void(const std::string& body)> before_commit;

  // Stops (SIGSTOP) and continues a controller.
  void stop_node(int node);
  void continue_node(int node);
  // Kills a controller (SIGKILL), and starts it again.
  void kill_node(int node);
  void restart_node(int node) { start_node(node); }
  // While a controller is cut off, nothing passes between it and the state service and the other controllers.
  // Its workers and users still reach it.
  void cut(int node);
  void heal(int node);

 private:
  [[nodiscard]] std::string real(const std::string& address) const;
  [[nodiscard]] std::string real_text(std::string text) const;
  bool try_listen(int base);
  void serve_state(int node);
  void serve_cloud();
  void serve_peer(int from, int to);
  void serve_new_workers();
  void write_settings(int node);
  void start_node(int node);
  void step();
  [[nodiscard]] std::string state_address(int node) const;
  [[nodiscard]] std::string link_address(int from, int to) const;
  void check_processes();
  // Ends the controllers and completes the record.
  void end();

  mothslip::EventEnv env_;
  FILE* record_ = nullptr;
  int base_ = 0;
  std::vector<std::unique_ptr<mothslip::HttpServer>> servers_;
  std::map<std::string, std::unique_ptr<mothslip::HttpServer>> workers_;
  // Requests that a cut left without an answer. They are kept so that their connections stay open.
  std::vector<mothslip::Responder> unanswered_;
  std::unique_ptr<mothslip::sim::World> world_;
  std::string directory_;
  double started_at_ = 0;
  std::map<int, pid_t> processes_;
  std::set<int> cut_;
  std::map<std::string, int> logged_starts_;
  std::map<std::string, int> logged_completed_;
  int next_ref_ = 100;
};

// Whether the environment variable TROUBLE asks for any disruption: not if it is 0.
bool has_trouble();
// Whether it asks for this one. By default it asks for all; it may name a single one, to see its effect
// alone.
bool has_trouble(const std::string& name);

}  // namespace review
