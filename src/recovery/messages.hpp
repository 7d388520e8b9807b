// Messages and records that controllers exchange while lost records are rebuilt, with their JSON encoding.
// Messages for operators are in operator_messages.hpp, and the encoding of Evidence is in evidence_json.cpp.
#pragma once

#include <optional>
#include <string>

#include "coordination/shard/shard_leader.hpp"
#include "recovery/evidence.hpp"

namespace mothslip::recovery {

// POST between controllers: the body is an EvidenceRequest, the answer an EvidenceReply, or 409 if the
// rebuild is over.
inline const std::string kEvidencePath = "/recovery/evidence";

// Key of the LeaderRecord. It has no incarnation prefix.
inline const std::string kLeaderKey = "recovery/leader";

// Requests one chunk of the evidence that the receiving controller has. If the receiver does not know of this
// rebuild yet, it stops serving before it answers, so that its evidence remains true.
struct EvidenceRequest {
  int target_incarnation = 0;  // the incarnation that is being rebuilt
  std::size_t chunk = 0;       // index, counted from 0
  [[nodiscard]] Json to_json() const;
  static std::optional<EvidenceRequest> from_json(const Json& value);
};

struct EvidenceReply {
  std::size_t chunk_count = 0;
  double uptime_s = 0;  // of the process that answers
  Evidence evidence;    // the requested chunk
  [[nodiscard]] Json to_json() const;
  static std::optional<EvidenceReply> from_json(const Json& value);
};

// Names the controller that leads the rebuild. It is written under the leader's lease in the transaction that
// marks `meta` as being rebuilt, and deleted in the transaction that publishes the new incarnation.
// Controllers use only its existence and its revision; its content is for operators.
struct LeaderRecord {
  std::string node;
  int target_incarnation = 0;  // the incarnation that is being rebuilt
  [[nodiscard]] Json to_json() const;
};

// An operator's decision about an unaccounted job.
struct Decision {
  std::string ref;
  ShardLeader::HeldDecision kind = ShardLeader::HeldDecision::kDone;
  bool relayed = false;  // another controller sent it to the owner of the job's shard
  [[nodiscard]] Json to_json() const;
  static std::optional<Decision> from_json(const Json& value);
};

}  // namespace mothslip::recovery
