// Data of a journal write: the changes in memory that are not in the journal yet, and the transaction that
// records them.
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

// A delegation to another shard that will be created by a journal write.
struct NewDelegation {
  JobPtr job;
  std::string key;
  int target_shard = 0;
  std::uint64_t target_fencing_token = 0;  // fencing token of that shard's leader
};

// Changes in memory that are not in the journal yet.
struct PendingJournalChanges {
  // Completions may be written after this delay, so that one write covers several. Nothing is lost if the
  // leader fails in between, because workers report a completion until it is acknowledged.
  static constexpr double kCompletionDelaySeconds = 0.8;

  std::deque<NewDelegation> delegations;
  bool has_new_placements = false;
  bool has_freed_placements = false;
  // Env time since which completions have been waiting to become durable; 0: none are waiting. Restarted when
  // some remain that did not fit into a write or are about to be written to other records.
  double completions_unrecorded_since = 0;
  std::string last_written_machine;  // last machine whose new placements were all added to a write
};

// Identifies a placement in a journal write. The write cannot refer to the Placement object, which may be
// deleted before the state service answers.
struct PlacementRef {
  std::string machine;
  std::uint64_t attempt = 0;
  int index = 0;    // index of the task
  int segment = 0;  // for a moved or removed placement: its segment before the write
};

// One transaction on the journal, together with the changes in memory that depend on its outcome. Segments
// are listed by number and encoded when the write is sent.
struct JournalWrite {
  Transaction txn;
  std::size_t max_changes = 0;
  std::size_t max_guards = 0;  // maximum number of conditions
  std::set<int> written_segments;
  std::set<int> deleted_segments;
  // Revisions of the job records, by key, of the jobs that have new placements or delegations. They are
  // conditions of the transaction, so that it fails if one of the jobs has been cancelled meanwhile.
  std::map<std::string, std::uint64_t> job_revisions;
  std::map<int, std::size_t> segment_bytes;  // by segment number: upper bound of the record's size
  std::vector<PlacementRef> added_placements;
  std::vector<PlacementRef> removed_placements;
  std::vector<PlacementRef> moved_placements;  // moved to another segment
  // Placements of gangs that the write records as being stopped.
  std::vector<PlacementRef> stopping_placements;
  std::vector<std::pair<JobPtr, RangeSet>> completions;
  std::vector<std::pair<NewDelegation, Json>> delegations;       // with the records to write
  std::map<std::string, std::uint64_t> delegate_fencing_tokens;  // by key of the shard's owner record
  std::map<int, int> created_segments;  // by new segment: the segment from which it took contents

  // Number of changes in the transaction so far.
  [[nodiscard]] std::size_t change_count() const {
    return written_segments.size() + deleted_segments.size() + delegations.size();
  }
  // Number of conditions in the transaction so far, including the one on the leader's fencing token.
  [[nodiscard]] std::size_t guard_count() const {
    return 1 + change_count() + job_revisions.size() + delegate_fencing_tokens.size();
  }
};

}  // namespace mothslip
