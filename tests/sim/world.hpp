// A small simulated cluster. Nodes run the real Node class in virtual time, against simulated versions of
// the state service, the cloud, workers and users that follow PROTOCOL. The protocol's rules are checked as
// invariants. The World is the clock and connects these parts, each of which has a file of its own.
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

// Turns off logging in simulated scenarios unless SIM_LOG is set.
void set_up_log();

class World {
 public:
  explicit World(const Options& options_in);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Events with the same time run in the order in which they were scheduled.
  void at(double due_at, std::function<void()> action);
  void in(double delay_s, std::function<void()> action) { at(now + delay_s, std::move(action)); }
  void run_until(double end_at);
  double uniform(double low, double high) {
    return low + (high - low) * std::generate_canonical<double, 53>(rng);
  }

  // Makes the job known without submitting it.
  void add_job(UserJob job);
  // Schedules the submission of the job and its cancellation, at the times given in the job.
  void submit(UserJob job);
  void cancel_job(const std::string& ref) { users.cancel(ref); }
  void resubmit(const std::string& ref) { users.submit(ref, now + 1); }

  // Records a violation of a rule of the protocol.
  void report_violation(const std::string& rule);
  // Called when a task has started on a machine, or has completed there.
  void on_task_started(const Worker& worker, const Task& task);
  void on_task_completed(const Task& task);
  // Returns the open jobs and the violations, for the message of a failed test.
  [[nodiscard]] std::string summary() const;

  double now = 0;  // seconds since the simulation started
  std::mt19937_64 rng;
  Options options;
  StateService state;
  Cloud cloud;
  Users users;
  Gangs gangs;
  Network network;
  RuleChecker rules;
  std::map<std::string, std::unique_ptr<Worker>> workers;  // by machine name
  std::unordered_map<std::string, Worker*> workers_by_address;
  std::map<std::string, UserJob> jobs;
  std::vector<std::string> violations;
  // End of the injected faults. After it, every user's poll must find an answer within 75 s.
  double faults_end_at = 1e18;
  int starts = 0;
  // Tasks that were on a machine when its lease expired.
  int tasks_lost_with_lease = 0;
  // Called when the last task of a job has completed.
  std::function<void(const std::string& ref)> on_job_completed;
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
