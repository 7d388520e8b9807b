// The records in the state service: their keys, what they hold, and how they are read and written.
//
// This is the one place where the stored form meets the code. Stored field names and keys are part of the
// on-disk format, which earlier versions and operators' tools read: they stay as they are, as string literals
// here and in records.cpp, whatever the code calls the same thing. For each record it is said who writes it,
// on which condition, and who deletes it.
//
// "The leader of a shard" is the controller that owns the shard's key. Every write of a shard's leader has,
// besides the conditions named below, the condition that `parts/P` still has the leader's fencing token as
// its revision; so a deposed leader's writes fail.
//
// Reading: from_json() returns nothing where a record cannot be read, and says in `error`, if it is given,
// which field was at fault. (Optional fields of JobRecord, DelegationRecord, UnaccountedRecord and
// ProgressRecord that have an unexpected JSON type throw Json::exception instead.)
#pragma once

#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/ranges.hpp"
#include "protocol/messages.hpp"

namespace mothslip {

// The form of all these records. A node leaves alone what it finds in another form.
inline constexpr int kRecordFormatVersion = 2;
// Of `meta` once records have been rebuilt (coordination/state/incarnation.hpp): versions that do not know of
// incarnations leave such records alone.
inline constexpr int kIncarnationFormatVersion = 3;

// Owner, in the shard owner records, of the shards of an incarnation that has been rebuilt. No controller has
// this name, so nobody claims them, and whatever their former owners still send fails.
inline const std::string kRebuiltOwner = "@rebuilt";

// Tasks of a job at most, as the protocol says: the limit for task indices in stored ranges.
inline constexpr int kMaxTasksPerJob = 100'000;

// Tasks that one further progress record (keys::progress_chunk) covers. However scattered the completed ones
// are, their ranges take less than 1 KiB as text.
inline constexpr int kTasksPerProgressChunk = 512;

// Attempt numbers begin with a revision of the state service and end with so many bits of a counter: unique,
// and rising from owner to owner.
inline constexpr unsigned kAttemptCounterBits = 20;

// Keys of the records. P and Q are shard numbers, REF a job's id, N a number. All but `meta`, `gangs`,
// `types` and `types~N` have the prefix of the present incarnation in front, which StateClient adds and
// removes.
namespace keys {

// `meta`: number of shards, form of the records, incarnation (MetaRecord in
// coordination/state/incarnation.hpp). Written by the first node of a new cluster if it does not exist;
// changed only by the leader of a rebuilding, on its unchanged revision; never deleted.
inline const std::string kMeta = "meta";

// `types`: the machine types as the cloud last listed them. Written without condition by every node that has
// fetched the list; never deleted.
inline const std::string kTypes = "types";

// `types~N`: the same list in several records, where it is too large for one. Written together.
inline const std::string kSplitTypes = "types~";

// `gangs`: exists once a gang has been accepted. Written with the job record of the first gang; never
// deleted. From then on gangs are accepted even while a node of a version that cannot run them is known to
// live.
inline const std::string kGangs = "gangs";

// `parts/P`: the node that owns shard P; the revision of the put is the shard's fencing token. Written under
// the node's lease by the node that claims the shard, if the key does not exist (or still names an earlier
// process of the same node); ends with the lease, or deleted by the owner to hand the shard over.
// `parts/@NODE`: the announcement of a live node, under its lease. Written by that node.
inline const std::string kShardOwners = "parts/";
inline std::string shard_owner(int p) { return kShardOwners + std::to_string(p); }

// `rentals/NAME`: machines that may have been asked of the cloud under this name. Written by the fleet (at
// the leader of shard 0) before it calls the cloud, and deleted by it once every outcome is certain.
inline const std::string kRentals = "rentals/";
inline std::string rental(const std::string& name) { return kRentals + name; }

// `u/P/REF`: UnaccountedRecord.
inline const std::string kUnaccounted = "u/";
inline std::string unaccounted(int p, const std::string& ref) {
  return kUnaccounted + std::to_string(p) + "/" + ref;
}

// `none`: never exists. A read of it tells the present revision of the state service.
inline const std::string kRevisionProbe = "none";

// `w/`: all that every shard's leader has to hear of (job records, delegations, quota shares) lies under this
// prefix, so that a leader needs one watch and not three.
inline const std::string kWatched = "w/";

// `w/j/P/REF`: JobRecord of an open job whose home shard is P.
inline const std::string kJobRecords = "w/j/";
inline std::string job_records(int p) { return kJobRecords + std::to_string(p) + "/"; }
inline std::string job_record(int p, const std::string& ref) { return job_records(p) + ref; }

// `w/b/Q/REF~N`: DelegationRecord of tasks of REF that were delegated to shard Q. N is chosen by the home
// shard's leader ("TOKEN.COUNTER"), or "rebuilt".
inline const std::string kDelegations = "w/b/";
inline std::string delegations(int p, const std::string& ref) {
  return kDelegations + std::to_string(p) + "/" + ref + "~";
}
// The shard to which the tasks were delegated.
inline int delegation_target(const std::string& key) { return std::atoi(key.c_str() + kDelegations.size()); }

// `w/t/INDEX`: QuotaSplitRecord of the team at this index of the settings.
inline const std::string kQuotaSplits = "w/t/";
inline std::string quota_split(int index) { return kQuotaSplits + std::to_string(index); }

// `d/P/REF`: ProgressRecord of an open job; `d/P/REF~N`: further ones, where one record would be too large.
inline const std::string kProgress = "d/";
inline std::string progress_records(int p) { return kProgress + std::to_string(p) + "/"; }
inline std::string progress_record(int p, const std::string& ref) { return progress_records(p) + ref; }
inline std::string progress_chunk(int p, const std::string& ref, int number) {
  return progress_record(p, ref) + "~" + std::to_string(number);
}

// `e/P/REF`: how a job ended (ending_json).
inline const std::string kEndings = "e/";
inline std::string endings(int p) { return kEndings + std::to_string(p) + "/"; }
inline std::string ending(int p, const std::string& ref) { return endings(p) + ref; }

// `h/P/N`: SegmentRecord, segment N of shard P's journal.
inline const std::string kSegments = "h/";
inline std::string segments(int p) { return kSegments + std::to_string(p) + "/"; }
inline std::string segment(int p, int number) { return segments(p) + std::to_string(number); }

}  // namespace keys

// Why a record could not be read, for the log.
struct RecordError {
  std::string field;    // as stored; empty: the record as a whole
  std::string problem;  // what was wrong with it
  // "field: problem".
  [[nodiscard]] std::string to_text() const;
};

// An open job: its description.
//
// Created by the node that accepts the submission, if neither it nor an ending of the job exists. Changed
// once by the leader of the home shard, when the job is cancelled. Deleted by that leader with the write of
// the ending. So a launch and a cancellation, which both have its revision as a condition, cannot both
// succeed.
struct JobRecord {
  JobSpec spec;
  double submitted_at = 0;  // time of day at the accepting node, seconds since the epoch
  bool cancelled = false;   // cancelled; some tasks may still have to be stopped
  // Cancelled while tasks of it were delegated: the delegates may not know of the cancellation yet, and only
  // the leader of the home shard can tell when they do.
  bool cancelled_while_delegated = false;

  [[nodiscard]] Json to_json() const;
  static std::optional<JobRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// One task on a machine.
struct PlacementRecord {
  std::string ref;            // of the job
  int index = 0;              // of the task
  std::uint64_t attempt = 0;  // number of the attempt that was launched
};

// What is placed on one machine: a part of a SegmentRecord.
struct MachineRecord {
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t worker_incarnation = 0;
  std::vector<PlacementRecord> placements;
  std::vector<std::uint64_t> stopping_attempts;  // attempts of gangs that are being stopped

  // Placements are grouped by job: a machine full of small tasks must stay within the value size.
  [[nodiscard]] Json to_json() const;
  static std::optional<MachineRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// A segment of a shard's journal. New placements and completions go to the active segment, so that one change
// covers many machines and jobs; an older segment is written again only when a placement in it ended without
// completing.
//
// Written and deleted by the shard's leader alone, each on its unchanged revision; deleted when nothing in it
// counts any more.
struct SegmentRecord {
  std::map<std::string, MachineRecord> machines;  // by name
  std::map<std::string, std::string> done;        // by job or delegation key: ranges of indices as text

  [[nodiscard]] Json to_json() const;
  static std::optional<SegmentRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// Tasks of a job that its home shard delegated to another.
//
// Created by the leader of the home shard on the job record's revision, and deleted by it once every task in
// it is done. In between only the delegate's leader writes it, on its unchanged revision: it notes what is
// done, gives tasks back by shrinking the range, and shows in the job record that it knows of a cancellation.
struct DelegationRecord {
  int home_shard = 0;
  std::uint64_t job_revision = 0;  // of the job record at the home shard
  JobRecord job;
  RangeSet range;
  RangeSet done;
  bool succeeded_elsewhere = false;  // tasks of the job have completed elsewhere
  bool found_faulty = false;         // the delegate found the job at fault

  [[nodiscard]] bool complete() const { return done.size() == range.size(); }
  [[nodiscard]] Json to_json() const;
  static std::optional<DelegationRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// Completed tasks of an open job. What any of a job's progress records says is done is done.
//
// Written by the leader of the home shard on the job record's revision and its own. The main record is
// deleted with the write of the ending, further ones some time after it.
struct ProgressRecord {
  RangeSet done;

  [[nodiscard]] Json to_json() const;
  // `task_count`: of the job.
  static std::optional<ProgressRecord> from_json(const Json& value, int task_count,
                                                 RecordError* error = nullptr);
};

// How a team's limits are split among the shards. Without the record they are split evenly.
//
// Written by the leader of a shard that gives a part of its share away, on its unchanged revision, and by a
// rebuilding; never deleted.
struct QuotaSplitRecord {
  std::vector<double> cores;  // by shard
  std::vector<double> gpus;   // by shard

  [[nodiscard]] Json to_json() const;
};

// A job that could not be accounted for when lost records were rebuilt: whether its held tasks completed is
// not known. They are neither started nor counted as done until an operator says so.
//
// Written by the leader of a rebuilding. Changed by the leader of the home shard (`rerun`) where an operator
// lets a job start again whose description is lost; deleted by it when the operator's decision, or the job's
// ending, is written.
struct UnaccountedRecord {
  bool all_held = false;  // every task is held: how many there are is not known, the description is lost
  RangeSet held;
  // It may have ended, and its user may have been told: until an operator decides, nothing is told of it.
  bool may_have_ended = false;
  bool rerun = false;  // an operator lets the job start again; its description is still missing
  std::string reason;
  // For display; empty where the description is lost.
  std::string team;
  std::string job_class;

  // Nothing may be told about the job.
  [[nodiscard]] bool withholds_status() const { return may_have_ended && !rerun; }
  // Indices of the held tasks, of a job that has so many.
  [[nodiscard]] RangeSet held_indices(int task_count) const;
  [[nodiscard]] Json to_json() const;
  static std::optional<UnaccountedRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// The newest revision of the state service that a worker is a witness of: its fencing token, or that with
// which an attempt number of its tasks begins.
[[nodiscard]] std::uint64_t newest_reported_revision(const Report& report);

// How a job ended, for good: `phase` ("done" or "aborted") and its number of tasks (0: not known).
//
// Written by the leader of the home shard in the transaction that deletes the job record; by it, if there is
// no job record, where an operator decides about a job without a description; or by a rebuilding. Never
// changed and never deleted: it is what makes terminal answers final and submissions idempotent.
[[nodiscard]] Json ending_json(const char* phase, int task_count);

}  // namespace mothslip
