// What a controller knew at the moment when it stopped serving, in chunks that fit into messages.
#pragma once

#include <cstddef>
#include <vector>

#include "recovery/evidence.hpp"

namespace mothslip::recovery {

// Leaves out what the memories of shard owners say of their shards: what remains is known no better than by
// the records themselves. For an owner that may have read records which were not recent.
void remove_owner_evidence(Evidence& evidence);

class EvidenceSnapshot {
 public:
  // Of a controller that has not stopped serving yet: nothing is known.
  EvidenceSnapshot() = default;
  // `taken_at`: by the clock that chunk() uses.
  EvidenceSnapshot(const Evidence& evidence, double taken_at);

  [[nodiscard]] std::size_t chunk_count() const { return chunks_.size(); }
  // One chunk, as it is true at `now`: what was left of an owner's lease then is less by the time since.
  [[nodiscard]] Evidence chunk(std::size_t number, double now) const;
  // The whole as evidence for a later rebuilding, should records be lost again before all shards of the new
  // incarnation were read: as good as surviving records.
  [[nodiscard]] Evidence as_surviving_records() const;
  [[nodiscard]] double age_s(double now) const { return now - taken_at_; }

 private:
  std::vector<Evidence> chunks_;
  double taken_at_ = 0;
};

}  // namespace mothslip::recovery
