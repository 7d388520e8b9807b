// The reports that workers send, and the orders in the answers to them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace mothslip {

enum class TaskPhase {
  kFetchingImage,
  kWaiting,  // the machine has the image; the task waits for the other tasks of its gang
  kRunning,
  kCheckpointing,
  kExited,
};

// The reason why a task is no longer on its machine.
enum class ExitCause {
  kNone,                   // the task has not exited
  kDone,                   // the task completed
  kStopped,                // an order stopped the task
  kError,                  // the task failed
  kNoRoom,                 // the worker refused the task: it had no room for it
  kOtherAttemptOnMachine,  // the worker refused the task: another attempt of it is on the machine
  kUnknownJob,             // the worker refused the task: it does not know the job
  kGangPeerLost,           // another task of the gang was lost
  kGangIncomplete,         // the gang was not complete within gang_wait_s
  kOther,                  // this version does not recognize the cause
};

// One task in a report.
struct TaskReport {
  std::string ref;  // the ref of the task's job
  int index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kRunning;
  ExitCause cause = ExitCause::kNone;
};

// A worker's heartbeat: it describes the machine and all tasks on it.
struct Report {
  std::string machine_name;
  std::string address;  // address where the worker accepts direct commands
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t worker_incarnation = 0;     // rises when the worker restarts or gives up all its tasks
  std::uint64_t sequence = 0;               // number of the report, rising within an incarnation
  std::uint64_t fencing_token = 0;          // the highest token that the worker has seen
  std::optional<double> eviction_notice_s;  // time until the cloud takes the machine back
  std::vector<TaskReport> tasks;
};

// Returns nullopt if any part of the report is malformed: a report is accepted in full or not at all.
std::optional<Report> parse_report(const Json& body);

// An order to a worker about one task.
struct Order {
  enum class Verb {
    kLaunch,
    kStop,             // the task must end within the grace period
    kAcknowledgeExit,  // the exit is recorded, so the worker may stop reporting it
  };
  Verb verb = Verb::kLaunch;
  std::string task;  // name of the task, see task_name
  std::uint64_t attempt = 0;
  double grace_s = 0;  // for kStop: time that the task may use to save a checkpoint
};

// Returns the body of an answer to a report or of a direct command. If an incarnation is given, the orders
// apply to that incarnation only.
std::string orders_body(std::uint64_t fencing_token, std::optional<std::uint64_t> worker_incarnation,
                        const std::vector<Order>& orders);

}  // namespace mothslip
