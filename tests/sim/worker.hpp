// A machine of the simulated cluster and the worker on it, as the protocol says; with the faults that a test
// may give it.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "sim/user_job.hpp"
#include "transport/env.hpp"

namespace mothslip::sim {

class World;

struct Task {
  UserJob* job = nullptr;  // null: nobody submitted it
  std::string ref;
  int index = 0;
  std::uint64_t attempt = 0;
  std::string phase = "pulling";   // as on the wire
  std::string cause;               // of its exit
  double phase_ends_at = 0;        // the time at which its phase ends
  bool is_progress_saved = false;  // of a gang: its progress was saved as it was stopped
};

class Worker {
 public:
  using Reply = std::function<void(int status, Json body)>;
  // `drift`: how much faster its clock runs than the world's.
  Worker(World& world, std::string name, std::string address, std::string machine_type, std::string zone,
         bool spot, double clock_rate);
  // The machine is up: the worker reports to a node that it picks.
  void boot();
  // A command of a node.
  void handle(const std::string& target, const std::string& body, const Reply& reply);
  void mark_changed() { has_unreported_change_ = true; }
  // Its image is there, and it has begun.
  [[nodiscard]] bool occupies_machine(const Task& task) const {
    return task.phase == "running" || task.phase == "saving" || task.phase == "waiting";
  }

  std::string name, address, machine_type, zone;
  bool spot;
  bool dead = false;
  bool hung = false;
  bool faulty = false;                // every task fails on it
  double eviction_notice_s = -1;      // the cloud takes it away in so long; negative: it does not
  bool inbound_unreachable = false;   // its reports arrive; answers and commands do not reach it
  bool loses_report_answers = false;  // only the answers to its reports are lost; commands arrive
  bool ignores_stops = false;         // it takes no notice of stops
  bool outbound_unreachable = false;  // its reports reach nobody; commands arrive
  std::vector<Task> tasks;
  // It stands still: what arrives meanwhile waits. Its tasks, too.
  void hang(double for_s);
  [[nodiscard]] bool is_up() const { return !dead && is_booted_; }
  // Nothing is wrong with it that a test has done.
  [[nodiscard]] bool is_healthy() const;
  [[nodiscard]] double total_cores() const { return machine_type == "c4" ? 4.0 : 16.0; }  // cores
  [[nodiscard]] double free_cores() const;
  // The machine is back at once after losing power: all on it is gone. It may have forgotten which
  // incarnation it was in.
  void reboot(bool forgets_incarnation);

 private:
  // A report that is under way.
  struct SentReport {
    std::uint64_t number;
    double sent_at;  // by this machine's clock
    std::uint64_t worker_incarnation;
    int node;  // to which it was sent
  };
  [[nodiscard]] Json report();
  void step();
  void step_task(Task& task);
  void send_report();
  void time_out_report(std::uint64_t number);
  void on_report_answered(const SentReport& sent_report, const HttpReply& reply);
  void on_report_accepted(const SentReport& sent_report, const Json& body);
  void on_report_refused(const SentReport& sent_report, const HttpReply& reply);
  void on_command(const std::string& target, const std::string& body, const Reply& reply);
  void run_or_defer(std::function<void()> action);
  void resume();
  void execute(const Json& orders);
  void launch(const std::string& task_name, std::uint64_t attempt);
  void stop(Task& task, const Json& order);
  void check_lease();
  [[nodiscard]] double now() const;

  World& world_;
  double clock_rate_;
  std::uint64_t worker_incarnation_ = 1;
  std::uint64_t heartbeat_sequence_ = 0;
  std::uint64_t fencing_token_ = 0;
  double last_answered_sent_at_ = 0;
  double next_report_at_ = 0;
  double last_report_at_ = -10;
  bool has_report_in_flight_ = false;
  std::uint64_t report_number_ = 0;
  bool has_unreported_change_ = false;
  bool is_booted_ = false;
  std::string node_;  // to which it reports
  std::set<std::string> images_;
  std::vector<std::function<void()>> deferred_;  // what arrives while hung
};

}  // namespace mothslip::sim
