// A machine of the simulated cluster with its worker, as the protocol specifies, and with faults that a
// test can inject.
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
  UserJob* job = nullptr;  // null: nobody submitted the job
  std::string ref;
  int index = 0;
  std::uint64_t attempt = 0;
  std::string phase = "pulling";  // in the wire format
  std::string cause;              // of its exit
  double phase_ends_at = 0;
  // Whether the progress of a gang was saved when the task was stopped.
  bool is_progress_saved = false;
};

class Worker {
 public:
  using Reply = std::function<void(int status, Json body)>;
  // `clock_rate` is the speed of the machine's clock relative to the simulation's.
  Worker(World& world, std::string name, std::string address, std::string machine_type, std::string zone,
         bool spot, double clock_rate);
  // Boots the machine. Its worker reports to a randomly chosen node.
  void boot();
  // Handles a command of a node.
  void handle(const std::string& target, const std::string& body, const Reply& reply);
  void mark_changed() { has_unreported_change_ = true; }
  // Returns whether the image has been pulled, and the task runs, saves its progress or waits for its
  // peers.
  [[nodiscard]] bool occupies_machine(const Task& task) const {
    return task.phase == "running" || task.phase == "saving" || task.phase == "waiting";
  }

  std::string name, address, machine_type, zone;
  bool spot;
  bool dead = false;
  bool hung = false;
  // Every task fails on the machine.
  bool faulty = false;
  // Time until the cloud evicts the machine. Negative if it does not.
  double eviction_notice_s = -1;
  // Reports arrive, but answers and commands do not reach the machine.
  bool inbound_unreachable = false;
  // Only the answers to reports are lost. Commands arrive.
  bool loses_report_answers = false;
  bool ignores_stops = false;
  // Reports reach no node. Commands arrive.
  bool outbound_unreachable = false;
  std::vector<Task> tasks;
  // Suspends the machine and its tasks. Messages that arrive in the meantime are processed afterwards.
  void hang(double for_s);
  [[nodiscard]] bool is_up() const { return !dead && is_booted_; }
  // Returns whether no fault is injected on the machine.
  [[nodiscard]] bool is_healthy() const;
  [[nodiscard]] double total_cores() const { return machine_type == "c4" ? 4.0 : 16.0; }
  [[nodiscard]] double free_cores() const;
  // Reboots the machine at once after a power loss. All its tasks and images are gone. It may also have
  // lost its incarnation number.
  void reboot(bool forgets_incarnation);

 private:
  // A report that has been sent and not answered yet.
  struct SentReport {
    std::uint64_t number;
    double sent_at;  // by this machine's clock
    std::uint64_t worker_incarnation;
    int node;  // the receiver
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
  std::string node_;  // the receiver of its reports
  std::set<std::string> images_;
  std::vector<std::function<void()>> deferred_;  // messages that arrived while the machine hung
};

}  // namespace mothslip::sim
