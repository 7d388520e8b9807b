#include "recovery/evidence_snapshot.hpp"

namespace mothslip::recovery {

namespace {
// Jobs and machines in one chunk. A message of this size has a few hundred KiB.
constexpr std::size_t kMaxEntriesPerChunk = 400;
}  // namespace

void remove_owner_evidence(Evidence& evidence) {
  evidence.owners.clear();
  for (auto& [ref, job] : evidence.jobs) job.open_at_token = 0;
}

EvidenceSnapshot::EvidenceSnapshot(const Evidence& evidence, double taken_at)
    : chunks_(split_into_chunks(evidence, kMaxEntriesPerChunk)), taken_at_(taken_at) {}

Evidence EvidenceSnapshot::chunk(std::size_t number, double now) const {
  Evidence out = chunks_[number];
  for (auto& [shard, owner] : out.owners) owner.lease_left_s -= age_s(now);
  return out;
}

Evidence EvidenceSnapshot::as_surviving_records() const {
  Evidence out;
  for (const Evidence& chunk : chunks_) out.merge(chunk);
  remove_owner_evidence(out);
  out.machines.clear();
  for (auto& [ref, job] : out.jobs) {
    job.placements.clear();
    job.accepted_at_revision.reset();
    job.has_stored_record = true;
  }
  return out;
}

}  // namespace mothslip::recovery
