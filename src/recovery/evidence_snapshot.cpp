#include "recovery/evidence_snapshot.hpp"

namespace mothslip::recovery {

namespace {
// Jobs and machines in one chunk: a few hundred KiB as a message.
constexpr std::size_t kChunkEntries = 400;
}  // namespace

void forget_owners(Evidence& evidence) {
  evidence.owners.clear();
  for (auto& [ref, job] : evidence.jobs) job.owner_knows_it = false;
}

EvidenceSnapshot::EvidenceSnapshot(const Evidence& known, double taken_at)
    : chunks_(cut(known, kChunkEntries)), taken_at_(taken_at) {}

Evidence EvidenceSnapshot::chunk(std::size_t number, double now) const {
  Evidence out = chunks_[number];
  for (auto& [shard, owner] : out.owners) owner.lease_left_s -= age_s(now);
  return out;
}

Evidence EvidenceSnapshot::as_surviving_records() const {
  Evidence out;
  for (const Evidence& chunk : chunks_) out.merge(chunk);
  forget_owners(out);
  out.machines.clear();
  for (auto& [ref, job] : out.jobs) {
    job.placements.clear();
    job.accepted = false;
    job.in_store = true;
  }
  return out;
}

}  // namespace mothslip::recovery
