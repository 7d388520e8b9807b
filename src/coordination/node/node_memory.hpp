// What a controller knows in memory and hands over when the state service has lost records (src/recovery).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bookkeeping/records.hpp"
#include "coordination/node/job_status.hpp"

namespace mothslip {

// A job at its home shard, or the tasks of one that were delegated to a shard.
struct JobMemory {
  JobRecord record;
  RangeSet done;
  bool delegated_here = false;  // the tasks of a delegation, not the job at its home shard
  RangeSet held;                // since records were lost before (UnaccountedRecord)
  bool may_have_ended = false;  // likewise
  // At the home shard: tasks that are not known to be done, by the shard to which they were delegated.
  std::map<int, RangeSet> delegated;
};

// All that the owner of a shard knows of it.
struct ShardMemory {
  int shard = 0;
  std::uint64_t fencing_token = 0;   // the owner's fencing token
  bool loaded = false;               // the owner knew all its records; otherwise the rest is empty
  double lease_left_s = 0;           // of the owner's lease; below 0: it ended so long ago
  double worker_renewal_left_s = 0;  // so long the owner may go on renewing the leases of its workers
  std::vector<JobMemory> jobs;
  std::vector<std::string> without_description;   // jobs that are held whole since records were lost before
  std::map<std::string, MachineRecord> machines;  // by name, with what is placed there
};

// All that one controller knows.
struct NodeMemory {
  int shard_count = 0;  // in the cluster; 0: not known
  std::vector<ShardMemory> owned;
  std::vector<JobRecord> accepted;             // a short while ago; their shard's owner may not know of them
  std::map<std::string, JobStatus> terminals;  // by job
};

}  // namespace mothslip
