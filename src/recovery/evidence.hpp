// What is known about jobs, tasks and shards after the state service has lost records, from whatever source:
// the surviving records, the memories of controllers, the reports of workers.
//
// Evidence of several sources is merged by union, so that order and repetition do not matter:
//  * an ending that any source knows of stands;
//  * a task that any source saw completed is done;
//  * of several placements of a task the one with the highest attempt number counts;
//  * a job that any source knows to be cancelled is cancelled.
// derive_outcome() decides what follows for a job.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <roaring/roaring.hh>
#include <string>
#include <tuple>
#include <vector>

#include "bookkeeping/records.hpp"
#include "coordination/node/job_status.hpp"
#include "coordination/node/node_memory.hpp"

namespace mothslip::recovery {

// Indices of tasks, as a compressed bit set: unions of large sets are what merging consists of.
using TaskSet = Roaring;
[[nodiscard]] TaskSet to_task_set(const RangeSet& ranges);
[[nodiscard]] RangeSet to_ranges(const TaskSet& tasks);

// A task was placed on this machine, by this attempt.
struct PlacementEvidence {
  std::string machine;
  std::uint64_t attempt = 0;
  friend bool operator==(const PlacementEvidence&, const PlacementEvidence&) = default;
};

// All that is known of one job. The sets are indices of its tasks; the placements are by task index.
struct JobEvidence {
  std::optional<JobRecord> record;   // the description; nothing: only its name is known
  std::optional<JobPhase> ending;    // kDone or kCancelled
  bool has_stored_record = false;    // the surviving records list it as open
  bool recently_accepted = false;    // a controller accepted it a short while ago
  bool open_at_owner = false;        // open, by the memory of its shard's owner
  bool without_description = false;  // held whole by an earlier rebuilding
  bool may_have_ended = false;       // by an earlier rebuilding
  TaskSet done;                      // completed
  TaskSet held;                      // by an earlier rebuilding, and not decided since
  TaskSet reported_by_worker;        // reported by a worker, in whatever state
  std::map<int, TaskSet> delegated;  // by the shard to which they were delegated, as its home knows
  std::map<int, PlacementEvidence> placements;

  void merge(const JobEvidence& other);
  friend bool operator==(const JobEvidence&, const JobEvidence&);
};

// The memory of a shard's owner. Of two, that with the higher token counts.
struct OwnerEvidence {
  std::uint64_t token = 0;
  bool loaded = false;      // it knew all its records
  bool had_lease = false;   // nobody can have replaced it before the loss was noticed
  double lease_left_s = 0;  // below 0: its lease ended so long ago
  friend bool operator<(const OwnerEvidence& a, const OwnerEvidence& b) {
    return std::tie(a.token, a.loaded, a.had_lease, a.lease_left_s) <
           std::tie(b.token, b.loaded, b.had_lease, b.lease_left_s);
  }
  friend bool operator==(const OwnerEvidence&, const OwnerEvidence&) = default;
};

struct Evidence {
  int shards = 0;                                 // of the cluster; 0: not known
  std::uint64_t highest_revision = 0;             // token or revision that anybody has seen
  std::map<int, OwnerEvidence> owners;            // by shard
  std::map<std::string, MachineRecord> machines;  // by name; their placements are with the jobs
  std::map<std::string, JobEvidence> jobs;        // by job id

  void merge(const Evidence& other);
  [[nodiscard]] Json to_json() const;
  static std::optional<Evidence> from_json(const Json& value);
};

// The memory of a controller as evidence.
[[nodiscard]] Evidence to_evidence(const NodeMemory& memory);

// Cuts evidence into chunks of about so many jobs and machines, for messages of bounded size. Merged, they
// are the whole.
[[nodiscard]] std::vector<Evidence> split_into_chunks(const Evidence& evidence, std::size_t max_entries);

// What the evidence of a rebuilding covers.
struct RebuildScope {
  int shards = 0;                   // of the cluster
  std::vector<bool> owner_covered;  // by shard: all that its owner knew is among the evidence
  // Whatever ran is known to be gone: no placement counts.
  bool nothing_runs = false;

  // The owners of all shards were heard.
  [[nodiscard]] bool covers_all_owners() const;
};

// What becomes of a job.
struct JobOutcome {
  enum class Kind {
    kEnded,              // `ending` stands
    kOpen,               // goes on: its tasks are done, placed, held or waiting
    kWithoutDescription  // held whole until its user submits it again or an operator decides
  };
  Kind kind = Kind::kOpen;
  JobPhase ending = JobPhase::kDone;
  bool may_have_ended = false;  // open as far as is known: nothing may be told of it
  bool cancelled = false;       // open, and cancelled: what is placed of it is to be stopped
  TaskSet done;
  TaskSet held;  // may have completed unseen: not started, not forgotten
  std::map<int, PlacementEvidence> placements;
};

// `ref`: the job's id, which says what its home shard is. Pure.
[[nodiscard]] JobOutcome derive_outcome(const std::string& ref, const JobEvidence& job,
                                        const RebuildScope& scope);

}  // namespace mothslip::recovery
