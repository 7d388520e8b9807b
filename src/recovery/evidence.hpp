// Evidence about jobs, tasks and shards, collected after the state service has lost records. The sources are
// the surviving records, the memory of the controllers and the reports of the workers.
//
// Evidence from several sources is merged by union, so that the result depends neither on the order of the
// sources nor on duplicates:
//  * a job has ended if any source has its ending;
//  * a task is done if any source has its completion;
//  * of several placements of a task that the last owners of the machines' shards report, the one with the
//    highest attempt number wins;
//  * a job is cancelled if any source has its cancellation.
// derive_outcome() decides from the merged evidence how a job continues.
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

// Task indices as a compressed bit set, because merging evidence mostly computes unions of large sets.
using TaskSet = Roaring;
[[nodiscard]] TaskSet to_task_set(const RangeSet& ranges);
[[nodiscard]] RangeSet to_ranges(const TaskSet& tasks);

// That the owner of a machine's shard had a task placed on the machine.
struct PlacementEvidence {
  std::uint64_t attempt = 0;      // that placed the task
  std::uint64_t owner_token = 0;  // the fencing token of the owner
  friend bool operator<(const PlacementEvidence& a, const PlacementEvidence& b) {
    return std::tie(a.attempt, a.owner_token) < std::tie(b.attempt, b.owner_token);
  }
  friend bool operator==(const PlacementEvidence&, const PlacementEvidence&) = default;
};

// The machine on which a task is placed, and the attempt that placed it.
struct TaskPlace {
  std::string machine;
  std::uint64_t attempt = 0;
};

// The evidence about one job. The sets contain indices of its tasks.
struct JobEvidence {
  std::optional<JobRecord> record;  // the description; without it, only the job id is known
  std::optional<JobPhase> ending;   // kDone or kCancelled
  bool has_stored_record = false;   // the surviving records contain it as open
  // The revision of the write that accepted it, from a controller that accepted it recently or from its
  // surviving record. If sources differ, the lowest one. 0: accepted at a revision that is not known.
  std::optional<std::uint64_t> accepted_at_revision;
  // The highest fencing token of an owner of its home shard that had it as open; 0: none had.
  std::uint64_t open_at_token = 0;
  bool without_description = false;  // an earlier rebuild held all its tasks for lack of a description
  bool may_have_ended = false;       // an earlier rebuild could not tell whether it had ended
  TaskSet done;                      // completed tasks
  TaskSet held;                      // held by an earlier rebuild and not resolved since
  TaskSet reported_by_worker;        // tasks that a worker has reported in any state
  std::map<int, TaskSet> delegated;  // tasks that the home shard has delegated, by target shard
  // By task index and machine name. Several owners of a shard may report different placements of a task.
  std::map<std::pair<int, std::string>, PlacementEvidence> placements;

  void merge(const JobEvidence& other);
  friend bool operator==(const JobEvidence&, const JobEvidence&);
};

// What is known about the owner of a shard. Of two owners of one shard, the one with the higher token wins.
struct OwnerEvidence {
  std::uint64_t token = 0;
  bool loaded = false;      // it had read all records of the shard
  bool had_lease = false;   // no other owner can have replaced it before the loss was detected
  double lease_left_s = 0;  // negative: the time since its lease ended
  // The evidence contains the ending of every job of the shard that was accepted after this revision and had
  // ended before records were lost. At least the token, because endings that an earlier owner wrote may be
  // known to nobody any more.
  std::uint64_t endings_known_since = 0;
  friend bool operator<(const OwnerEvidence& a, const OwnerEvidence& b) {
    return std::tie(a.token, a.loaded, a.had_lease, a.lease_left_s, a.endings_known_since) <
           std::tie(b.token, b.loaded, b.had_lease, b.lease_left_s, b.endings_known_since);
  }
  friend bool operator==(const OwnerEvidence&, const OwnerEvidence&) = default;
};

struct Evidence {
  int shards = 0;                                 // number of shards in the cluster; 0: unknown
  std::uint64_t newest_revision = 0;              // newest revision or fencing token that any source has seen
  std::map<int, OwnerEvidence> owners;            // by shard
  std::map<std::string, MachineRecord> machines;  // by name, without placements, which `jobs` contains
  std::map<std::string, JobEvidence> jobs;        // by job id

  void merge(const Evidence& other);
  [[nodiscard]] Json to_json() const;
  static std::optional<Evidence> from_json(const Json& value);
};

// Converts the memory of a controller to evidence.
[[nodiscard]] Evidence to_evidence(const NodeMemory& memory);

// Splits evidence into chunks of at most `max_entries` jobs and machines, which bounds the size of messages.
// Merging all chunks restores the evidence.
[[nodiscard]] std::vector<Evidence> split_into_chunks(const Evidence& evidence, std::size_t max_entries);

// Which shards the evidence of a rebuild covers.
struct RebuildScope {
  int shards = 0;  // number of shards in the cluster
  // By shard: its last owner, if the evidence includes all that this owner had in memory; nothing otherwise.
  std::vector<std::optional<OwnerEvidence>> covered_owners;
  // Every task that was running is known to have stopped, so placements are ignored.
  bool nothing_runs = false;

  // True if the evidence covers the owner of this shard, or the owners of all shards.
  [[nodiscard]] bool covers_owner(int shard) const;
  [[nodiscard]] bool covers_all_owners() const;
};

// What the rebuilt records say about a job.
struct JobOutcome {
  enum class Kind {
    kEnded,              // the job has ended with `ending`
    kOpen,               // the job continues: its tasks are done, placed, held or queued
    kWithoutDescription  // all tasks are held until the user submits the job again or an operator resolves it
  };
  Kind kind = Kind::kOpen;
  JobPhase ending = JobPhase::kDone;
  bool may_have_ended = false;  // open by the evidence, but not certainly: its status must not be reported
  bool cancelled = false;       // its placed tasks still have to be stopped if the job is open
  TaskSet done;
  TaskSet held;  // tasks that may have completed unobserved: they are neither restarted nor dropped
  std::map<int, TaskPlace> placements;  // by task index
};

// Derives the outcome of the job with id `ref`, which determines its home shard. Has no side effects.
[[nodiscard]] JobOutcome derive_outcome(const std::string& ref, const JobEvidence& job,
                                        const RebuildScope& scope);

}  // namespace mothslip::recovery
