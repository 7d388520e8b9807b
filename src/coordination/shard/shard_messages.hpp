// Messages between the leaders of shards. What stands under which name on the wire is known only here;
// earlier versions send and read the same, so fields are only ever added.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "scheduling/preference.hpp"

namespace mothslip {

// Paths under which the messages travel.
namespace peer_paths {
inline constexpr const char* kTaskRequest = "/peer/borrow";
inline constexpr const char* kQuotaRequest = "/peer/allow";
inline constexpr const char* kGangCapacity = "/peer/gang_capacity";
inline constexpr const char* kGangState = "/peer/gang_state";
inline constexpr const char* kJobCancelled = "/peer/called_off";
}  // namespace peer_paths

// A message lacks a field, or a field is of another type. Thrown where one is read.
class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Free room on one machine, offered to the tasks of other shards.
struct RoomOffer {
  std::string machine_type;
  std::string zone;
  bool spot = false;
  Resources room{};
  bool large_tasks_only = false;      // for tasks that fit no smaller machine type
  std::vector<std::string> images;    // that the machine has
  bool excludes_best_effort = false;  // other work waits for the room
};

// What a team may still use of the asking shard's quota share.
struct QuotaAmount {
  double cores = 0;
  double gpus = 0;
};

// A shard with free room asks to be delegated tasks.
struct TaskRequest {
  int shard = 0;                    // that asks
  std::uint64_t fencing_token = 0;  // of its leader
  std::vector<RoomOffer> offers;
  std::vector<QuotaAmount> spare_quotas;  // by team
  bool can_run_gangs = true;              // it can run gangs; earlier versions can't

  // Throws MalformedMessage for a team that the asking shard does not know.
  [[nodiscard]] QuotaAmount& spare_quota_of(int team);
  [[nodiscard]] Json to_json() const;
  static TaskRequest from_json(const Json& value);
};

// The number of tasks that were delegated.
struct TaskReply {
  int delegated = 0;
  [[nodiscard]] Json to_json() const;
  // No answer, or one without the number: none.
  static TaskReply from_json(const Json& value);
};

// What a shard lacks of a team's quota.
struct QuotaShortfall {
  int team = 0;
  double cores = 0;
  double gpus = 0;
  bool starving = false;  // for a job of which nothing has begun for long
  // With `starving`: what all waiting tasks of the team could use on the shard's machines.
  std::optional<QuotaAmount> startable_shortfall;
};

struct QuotaRequest {
  int shard = 0;  // that asks
  std::vector<QuotaShortfall> shortfalls;
  [[nodiscard]] Json to_json() const;
  static QuotaRequest from_json(const Json& value);
};

// Could the asked shard's machines hold this gang if they were empty?
struct GangCapacityRequest {
  JobSpec job;
  [[nodiscard]] Json to_json() const;
  static GangCapacityRequest from_json(const Json& value);
};

struct GangCapacityReply {
  bool has_capacity = false;
  std::uint64_t fencing_token = 0;  // of the asked shard's leader
  [[nodiscard]] Json to_json() const;
  // No answer, or another one: no capacity.
  static GangCapacityReply from_json(const Json& value);
};

// A delegate tells the home shard whether all tasks of a gang run.
struct GangState {
  std::string ref;
  bool is_running = false;
  [[nodiscard]] Json to_json() const;
  static GangState from_json(const Json& value);
};

// The home shard tells a delegate that a job is cancelled; that is durable.
struct CancellationNotice {
  std::string ref;
  [[nodiscard]] Json to_json() const;
  static CancellationNotice from_json(const Json& value);
};

struct CancellationReply {
  bool acknowledged = false;        // the delegate knows, and its machines have stopped the tasks
  bool lease_valid = false;         // nobody else owned the delegate's shard when it answered
  std::uint64_t fencing_token = 0;  // of the delegate's leader
  [[nodiscard]] Json to_json() const;
  // Nothing where there was no answer, or another one.
  static std::optional<CancellationReply> from_json(const Json& value);
};

// How a team's limits are split among the shards: a record of the state service, by shard.
struct QuotaSplit {
  std::vector<double> cores;
  std::vector<double> gpus;
  [[nodiscard]] Json to_json() const;
  static QuotaSplit from_json(const Json& value);
};

}  // namespace mothslip
