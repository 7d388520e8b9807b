// Builds the records of a new incarnation from merged evidence. Has no side effects: it neither reads nor
// writes the state service.
#pragma once

#include <string>
#include <vector>

#include "protocol/settings.hpp"
#include "recovery/evidence.hpp"

namespace mothslip::recovery {

struct RecordWrite {
  std::string key;  // without the incarnation's prefix
  Json data;
};

// All records of the new incarnation except `meta`. A delegation contains the revision of its job record, so
// the job records have to be written first.
struct RebuiltRecords {
  std::vector<RecordWrite> job_records;
  std::vector<RecordWrite> other_records;  // everything but job records and delegations
  struct Delegation {
    std::string key;
    std::string job_key;
    DelegationRecord record;  // without `job_revision`, which is not known yet
  };
  std::vector<Delegation> delegations;

  struct Counts {
    int open_jobs = 0;
    int ended_jobs = 0;
    int unaccounted_jobs = 0;  // jobs that have held tasks or may have ended
    int held_tasks = 0;
    int placed_tasks = 0;
  };
  Counts counts;
};

// `stored_endings`: numbers of the jobs whose ending the surviving records contain. Those endings are not
// written again.
[[nodiscard]] RebuiltRecords rebuild_records(const Evidence& evidence, const RebuildScope& scope,
                                             const TaskSet& stored_endings, const Settings& settings);

// Returns the number in a job's id, which represents the job in sets; nullopt if the number is too large for
// that.
[[nodiscard]] std::optional<std::uint32_t> job_number(const std::string& ref);

}  // namespace mothslip::recovery
