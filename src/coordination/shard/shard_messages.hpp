// Messages between the leaders of shards, and how they are written as JSON.
//
// This file and shard_messages.cpp are the only place that maps wire names to the code. Earlier versions send
// and read the same messages, so fields are added but never changed or removed.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "scheduling/preference.hpp"

namespace mothslip {

// Request paths of the messages.
namespace peer_paths {
inline constexpr const char* kTaskRequest = "/peer/borrow";
inline constexpr const char* kQuotaRequest = "/peer/allow";
inline constexpr const char* kGangCapacity = "/peer/gang_capacity";
inline constexpr const char* kGangState = "/peer/gang_state";
inline constexpr const char* kJobCancelled = "/peer/called_off";
}  // namespace peer_paths

// Thrown when a message is read that lacks a required field or has a field of the wrong type.
class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Free room on one machine that is offered to tasks of other shards.
struct RoomOffer {
  std::string machine_type;
  std::string zone;
  bool spot = false;
  Resources room{};
  bool large_tasks_only = false;      // only tasks that fit no smaller machine type may use the room
  std::vector<std::string> images;    // present on the machine
  bool excludes_best_effort = false;  // best-effort tasks may not use it, because other work waits for it
};

// An amount of a team's quota.
struct QuotaAmount {
  double cores = 0;
  double gpus = 0;
};

// A shard that has free room asks another shard to delegate tasks to it.
struct TaskRequest {
  int shard = 0;                    // the requesting shard
  std::uint64_t fencing_token = 0;  // of the requesting shard's leader
  std::vector<RoomOffer> offers;
  // By team: how much of the requesting shard's quota share is unused.
  std::vector<QuotaAmount> spare_quotas;
  bool can_run_gangs = true;  // false for earlier versions, which do not send the field

  // Throws MalformedMessage if the message contains no quota for this team.
  [[nodiscard]] QuotaAmount& spare_quota_of(int team);
  [[nodiscard]] Json to_json() const;
  static TaskRequest from_json(const Json& value);
};

// Answers a TaskRequest with the number of tasks that were delegated.
struct TaskReply {
  int delegated = 0;
  [[nodiscard]] Json to_json() const;
  // Returns 0 tasks if there was no answer or the answer lacks the number.
  static TaskReply from_json(const Json& value);
};

// How much of a team's quota a shard lacks.
struct QuotaShortfall {
  int team = 0;
  double cores = 0;
  double gpus = 0;
  bool starving = false;  // a job of the team has waited too long without starting any task
  // Set if `starving`: the quota lacking for all waiting tasks of the team that the shard's machines have
  // room for.
  std::optional<QuotaAmount> startable_shortfall;
};

// A shard asks another shard to transfer quota to it.
struct QuotaRequest {
  int shard = 0;  // the requesting shard
  std::vector<QuotaShortfall> shortfalls;
  [[nodiscard]] Json to_json() const;
  static QuotaRequest from_json(const Json& value);
};

// Asks whether the receiving shard's machines could hold this gang if they were empty.
struct GangCapacityRequest {
  JobSpec job;
  [[nodiscard]] Json to_json() const;
  static GangCapacityRequest from_json(const Json& value);
};

struct GangCapacityReply {
  bool has_capacity = false;
  std::uint64_t fencing_token = 0;  // of the answering shard's leader
  [[nodiscard]] Json to_json() const;
  // Returns a reply without capacity if there was no answer or it is not an object.
  static GangCapacityReply from_json(const Json& value);
};

// A delegate reports to the home shard whether all tasks of a gang are running.
struct GangState {
  std::string ref;
  bool is_running = false;
  [[nodiscard]] Json to_json() const;
  static GangState from_json(const Json& value);
};

// The home shard informs a delegate that a job has been cancelled, which is already durable.
struct CancellationNotice {
  std::string ref;
  [[nodiscard]] Json to_json() const;
  static CancellationNotice from_json(const Json& value);
};

struct CancellationReply {
  // The delegate knows of the cancellation, and either it has no placement of the job left or the time
  // allowed for stopping the tasks has passed.
  bool acknowledged = false;
  bool lease_valid = false;         // no other node could own the delegate's shard when it answered
  std::uint64_t fencing_token = 0;  // of the delegate's leader
  [[nodiscard]] Json to_json() const;
  // Returns nullopt if there was no answer or it is not a cancellation reply.
  static std::optional<CancellationReply> from_json(const Json& value);
};

// How a team's limits are split among the shards, by shard. This is a record in the state service.
struct QuotaSplit {
  std::vector<double> cores;
  std::vector<double> gpus;
  [[nodiscard]] Json to_json() const;
  static QuotaSplit from_json(const Json& value);
};

}  // namespace mothslip
