// The contents of a controller's memory that it contributes to a rebuild after the state service has lost
// records (src/recovery).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bookkeeping/records.hpp"
#include "coordination/node/job_status.hpp"

namespace mothslip {

// A job at its home shard, or the tasks of a job that were delegated to a shard.
struct JobMemory {
  JobRecord record;
  RangeSet done;
  bool delegated_here = false;  // whether these are delegated tasks, not the job at its home shard
  RangeSet held;                // tasks held since an earlier loss of records (UnaccountedRecord)
  bool may_have_ended = false;  // whether the job may have ended before an earlier loss of records
  // At the home shard: tasks that are not known to be done, by the shard to which they were delegated.
  std::map<int, RangeSet> delegated;
};

// Everything that the owner of a shard knows about it.
struct ShardMemory {
  int shard = 0;
  std::uint64_t fencing_token = 0;  // of the owner
  bool loaded = false;  // whether the owner had loaded all its records; if not, the fields below are empty
  double lease_left_s = 0;           // until the owner's lease ends; negative if it has ended
  double worker_renewal_left_s = 0;  // until the owner must stop renewing the leases of its workers
  std::vector<JobMemory> jobs;
  std::vector<std::string> without_description;   // jobs held entirely since an earlier loss of records
  std::map<std::string, MachineRecord> machines;  // by name, with their placements
};

// A job that the controller has accepted.
struct AcceptedJob {
  JobRecord record;
  std::uint64_t revision = 0;  // of the write that created the job record
};

// Everything that one controller knows.
struct NodeMemory {
  int shard_count = 0;  // in the cluster; 0 if not known
  std::vector<ShardMemory> owned;
  std::vector<AcceptedJob> accepted;           // recently; the owner of the shard may not know of them
  std::map<std::string, JobStatus> terminals;  // by job
  // `terminals` contains the terminal state of every job that was accepted after this revision and whose
  // ending this controller has written.
  std::uint64_t terminals_known_since = 0;
};

}  // namespace mothslip
