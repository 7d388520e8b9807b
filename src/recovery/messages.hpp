// What controllers say to one another, and write for one another, while lost records are rebuilt: typed
// messages and their JSON. (What operators read is in operator_messages.hpp; the form of Evidence itself is
// in evidence_json.cpp.)
#pragma once

#include <optional>
#include <string>

#include "coordination/shard/shard_leader.hpp"
#include "recovery/evidence.hpp"

namespace mothslip::recovery {

// POST between controllers: EvidenceRequest, answered by EvidenceReply; 409 when the rebuilding is over.
inline const std::string kEvidencePath = "/recovery/evidence";

// Key of the LeaderRecord, without the prefix of any incarnation.
inline const std::string kLeaderKey = "recovery/leader";

// The question: one chunk of what the asked controller knows. Asked for a rebuilding that it has not heard
// of, it stops serving before it answers, so that what it says stays true.
struct EvidenceRequest {
  int target_incarnation = 0;  // the incarnation that is being rebuilt
  std::size_t chunk = 0;       // counted from 0
  [[nodiscard]] Json to_json() const;
  static std::optional<EvidenceRequest> from_json(const Json& value);
};

struct EvidenceReply {
  std::size_t chunk_count = 0;
  double uptime_s = 0;  // of the process
  Evidence evidence;    // the chunk that was asked for
  [[nodiscard]] Json to_json() const;
  static std::optional<EvidenceReply> from_json(const Json& value);
};

// Which controller leads the rebuilding. Written under the leader's lease together with the change of `meta`
// that begins the rebuilding; deleted with the write that publishes the new incarnation. Its existence and
// its revision count; what it says is for people.
struct LeaderRecord {
  std::string node;
  int target_incarnation = 0;  // the incarnation that is being rebuilt
  [[nodiscard]] Json to_json() const;
};

// What an operator says about a job that could not be accounted for.
struct Decision {
  std::string ref;
  ShardLeader::HeldDecision kind = ShardLeader::HeldDecision::kDone;
  bool relayed = false;  // by another controller, to the owner of the job's shard
  [[nodiscard]] Json to_json() const;
  static std::optional<Decision> from_json(const Json& value);
};

}  // namespace mothslip::recovery
