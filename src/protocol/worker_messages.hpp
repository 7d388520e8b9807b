// What workers report and the orders that they are answered with.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace mothslip {

enum class TaskPhase {
  kFetchingImage,
  kWaiting,  // has its image, and waits for the other tasks of its gang
  kRunning,
  kCheckpointing,
  kExited,
};

// Why a task is no longer there.
enum class ExitCause {
  kNone,                   // it has not exited
  kDone,                   // completed
  kStopped,                // stopped by an order
  kError,                  // failed by itself
  kNoRoom,                 // refused: the worker had no room for it
  kOtherAttemptOnMachine,  // refused: another attempt of the task is on that machine
  kUnknownJob,             // refused: the worker knows no such job
  kGangPeerLost,           // another task of the gang was lost
  kGangIncomplete,         // the gang was not complete in time
  kOther,                  // not known to this version
};

// One task of a report.
struct TaskReport {
  std::string ref;  // of its job
  int index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kRunning;
  ExitCause cause = ExitCause::kNone;
};

// A worker's heartbeat: the machine, and all tasks that are on it.
struct Report {
  std::string machine_name;
  std::string address;  // where the worker takes direct commands
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t worker_incarnation = 0;     // rises when the worker starts anew or gives up all it held
  std::uint64_t sequence = 0;               // of the heartbeat, rising within an incarnation
  std::uint64_t fencing_token = 0;          // the highest that the worker has seen
  std::optional<double> eviction_notice_s;  // the cloud takes the machine away in so many seconds
  std::vector<TaskReport> tasks;
};

// Nothing when anything in it is malformed: a report is believed whole or not at all.
std::optional<Report> parse_report(const Json& body);

// What a worker is told to do about one task.
struct Order {
  enum class Verb {
    kLaunch,
    kStop,             // within the grace period
    kAcknowledgeExit,  // the exit is recorded; the worker need not report it any longer
  };
  Verb verb = Verb::kLaunch;
  std::string task;  // task_name
  std::uint64_t attempt = 0;
  double grace_s = 0;  // of kStop: so long the task may go on, to save a checkpoint; in seconds
};

// The body of an answer to a report, and of a direct command. With an incarnation it counts for this one
// only.
std::string orders_body(std::uint64_t fencing_token, std::optional<std::uint64_t> worker_incarnation,
                        const std::vector<Order>& orders);

}  // namespace mothslip
