// The records of a new incarnation, made from merged evidence. Pure: nothing is read or written here.
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

// All records of the new incarnation but `meta`. Delegations name the revision of their job record, so job
// records are written first.
struct RebuiltRecords {
  std::vector<RecordWrite> job_records;
  std::vector<RecordWrite> other_records;  // everything but job records and delegations
  struct Delegation {
    std::string key;
    std::string job_key;
    DelegationRecord record;  // without the job record's revision
  };
  std::vector<Delegation> delegations;

  struct Counts {
    int open_jobs = 0;
    int ended_jobs = 0;
    int unaccounted_jobs = 0;  // jobs of which tasks are held
    int held_tasks = 0;
    int placed_tasks = 0;
  };
  Counts counts;
};

// `stored_endings`: jobs whose ending the surviving records hold; it is not written again.
[[nodiscard]] RebuiltRecords rebuild_records(const Evidence& evidence, const RebuildScope& scope,
                                             const TaskSet& stored_endings, const Settings& settings);

// The number in a job's id, by which sets of jobs are kept; nothing where it is too large for that.
[[nodiscard]] std::optional<std::uint32_t> job_number(const std::string& ref);

}  // namespace mothslip::recovery
