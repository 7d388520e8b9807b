// A small simulated cluster: whole nodes (the real Node class) in virtual time, with stand-ins for the state
// service, the cloud, workers and users that follow PROTOCOL, and the protocol's rules as invariants.
// The World is the clock, and holds the stand-ins together; each of them has a file of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "sim/addresses.hpp"
#include "sim/cloud.hpp"
#include "sim/gangs.hpp"
#include "sim/network.hpp"
#include "sim/nodes.hpp"
#include "sim/options.hpp"
#include "sim/rule_checker.hpp"
#include "sim/state_service.hpp"
#include "sim/user_job.hpp"
#include "sim/users.hpp"
#include "sim/worker.hpp"

namespace mothslip::sim {

// Simulated days are silent unless SIM_LOG is set.
void set_up_log();

class World {
 public:
  explicit World(const Options& options_in);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Events of one time happen in the order in which they were asked for.
  void at(double due_at, std::function<void()> action);
  void in(double delay_s, std::function<void()> action) { at(now + delay_s, std::move(action)); }
  void run_until(double end_at);
  double uniform(double low, double high) {
    return low + (high - low) * std::generate_canonical<double, 53>(rng);
  }

  // A user submits it, and cancels it, at the times that it names.
  void submit(UserJob job);
  void cancel_job(const std::string& ref) { users.cancel(ref); }
  void resubmit(const std::string& ref) { users.submit(ref, now + 1); }

  // A rule of the protocol has been broken.
  void report_violation(const std::string& rule);
  // A task has come onto a machine, or has completed there.
  void on_task_started(const Worker& worker, const Task& task);
  void on_task_completed(const Task& task);
  // What is open and what was broken, for the message of a test that fails.
  [[nodiscard]] std::string summary() const;

  double now = 0;  // seconds since the world began
  std::mt19937_64 rng;
  Options options;
  StateService state;
  Cloud cloud;
  Users users;
  Gangs gangs;
  Network network;
  RuleChecker rules;
  std::map<std::string, std::unique_ptr<Worker>> workers;  // by name of the machine
  std::unordered_map<std::string, Worker*> workers_by_address;
  std::map<std::string, UserJob> jobs;
  std::vector<std::string> violations;
  double faults_end_at = 1e18;  // from here on every question must find an answer within 75 s
  int starts = 0;
  int tasks_lost_with_lease = 0;  // tasks that were on a machine when its lease ended
  std::function<void(const std::string& ref)> on_job_completed;  // the last task of a job has just completed
  Nodes nodes;

 private:
  struct Event {
    double due_at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return due_at != other.due_at ? due_at > other.due_at : sequence > other.sequence;
    }
  };

  bool is_shutting_down_ = false;
  std::vector<Event> events_;  // a heap
  std::uint64_t next_sequence_ = 0;
};

}  // namespace mothslip::sim
