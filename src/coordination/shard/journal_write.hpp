// One write of the shard's journal: what is to be written next, and the transaction that takes it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bookkeeping/ledger.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

// A delegation that is to be written with the journal's next write.
struct NewDelegation {
  JobPtr job;
  std::string key;
  int target_shard = 0;                    // shard
  std::uint64_t target_fencing_token = 0;  // of its leader
};

// What has changed in memory and is not in the journal yet.
struct PendingJournalChanges {
  // Completions are kept by the workers until they are acknowledged: writing them a little later loses
  // nothing.
  static constexpr double kCompletionDelaySeconds = 0.8;

  std::deque<NewDelegation> delegations;
  bool has_new_placements = false;
  bool has_freed_placements = false;
  double completions_unrecorded_since = 0;  // env time of the oldest completion that is not durable; 0: none
  std::string last_written_machine;         // the machine whose new placements were written last
};

// A placement as a write of the journal names it: the placement itself may be gone by the time of the answer.
struct PlacementRef {
  std::string machine;
  std::uint64_t attempt = 0;
  int index = 0;    // of the task
  int segment = 0;  // of a moved or removed placement: the segment it was in before the write
};

// One transaction of the journal, and what has to be settled in memory by its outcome. Segments are added by
// number; they are encoded when the write is sent.
struct JournalWrite {
  Transaction txn;
  std::size_t max_changes = 0;
  std::size_t max_guards = 0;      // conditions of the transaction
  std::set<int> written_segments;  // segments that are written
  std::set<int> deleted_segments;  // segments that are deleted
  // Revisions of the job records of the jobs placed anew: a cancellation must not pass unseen.
  std::map<std::string, std::uint64_t> job_revisions;
  std::map<int, std::size_t> segment_bytes;  // upper bound of the size of a segment's record
  std::vector<PlacementRef> added_placements;
  std::vector<PlacementRef> removed_placements;
  std::vector<PlacementRef> moved_placements;     // to another segment
  std::vector<PlacementRef> stopping_placements;  // of gangs, recorded as being stopped
  std::vector<std::pair<JobPtr, RangeSet>> completions;
  std::vector<std::pair<NewDelegation, Json>> delegations;       // with their records
  std::map<std::string, std::uint64_t> delegate_fencing_tokens;  // fencing tokens by the key of the shard
  std::map<int, int> created_segments;  // new segments, and the segment of which each took something over

  // Changes of the transaction as it stands.
  [[nodiscard]] std::size_t change_count() const {
    return written_segments.size() + deleted_segments.size() + delegations.size();
  }
  // Conditions of the transaction as it stands, with the one on the leader's fencing token.
  [[nodiscard]] std::size_t guard_count() const {
    return 1 + change_count() + job_revisions.size() + delegate_fencing_tokens.size();
  }
};

}  // namespace mothslip
