// The evidence that a controller had when it stopped serving, in chunks that fit into messages.
#pragma once

#include <cstddef>
#include <vector>

#include "recovery/evidence.hpp"

namespace mothslip::recovery {

// Removes what the evidence says about shard owners and the jobs that they had as open. The rest is no more
// reliable than the records themselves. Used for an owner that may have read outdated records.
void remove_owner_evidence(Evidence& evidence);

class EvidenceSnapshot {
 public:
  // An empty snapshot, for a controller that has not stopped serving yet.
  EvidenceSnapshot() = default;
  // `taken_at`: the current time on the clock that is passed to chunk().
  EvidenceSnapshot(const Evidence& evidence, double taken_at);

  [[nodiscard]] std::size_t chunk_count() const { return chunks_.size(); }
  // Returns one chunk as of `now`: the time left of each owner's lease is reduced by the age of the snapshot.
  [[nodiscard]] Evidence chunk(std::size_t number, double now) const;
  // Returns the whole snapshot as evidence for a later rebuild, which needs it if records are lost again
  // before all shards of the new incarnation have been read. It counts as much as surviving records do.
  [[nodiscard]] Evidence as_surviving_records() const;
  [[nodiscard]] double age_s(double now) const { return now - taken_at_; }

 private:
  std::vector<Evidence> chunks_;
  double taken_at_ = 0;
};

}  // namespace mothslip::recovery
