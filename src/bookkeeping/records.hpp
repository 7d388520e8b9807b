// The records in the state service: their keys, their contents, and how they are read and written.
//
// This is the only place that maps the stored form to the code. Keys and stored field names are part of the
// on-disk format, which earlier versions and operators' tools read. They therefore never change: they stand
// as string literals here and in records.cpp, whatever name the code uses for the same value. The comment on
// each record says who writes it, under which condition, and who deletes it.
//
// "The leader of a shard" is the controller that owns the shard's key. In addition to the conditions named
// below, every write of a shard's leader requires that the revision of `parts/P` still equals the leader's
// fencing token. The writes of a deposed leader therefore fail.
//
// Reading: from_json() returns nullopt if a record cannot be read, and if `error` is given, sets it to the
// field that caused this. (Optional fields of JobRecord, DelegationRecord, UnaccountedRecord and
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

// Version of the format of all these records. A node does not use records of any other version.
inline constexpr int kRecordFormatVersion = 2;
// Version that `meta` has once records have been rebuilt (coordination/state/incarnation.hpp). Software
// versions that do not support incarnations do not use such records.
inline constexpr int kIncarnationFormatVersion = 3;

// Owner in the shard owner records of an incarnation that has been rebuilt. No controller has this name, so
// no controller claims these shards, and late writes of their former owners fail.
inline const std::string kRebuiltOwner = "@rebuilt";

// Maximum number of tasks of a job, as the protocol defines it. It bounds the task indices in stored ranges.
inline constexpr int kMaxTasksPerJob = 100'000;

// Number of tasks that one additional progress record (keys::progress_chunk) covers. Their ranges take less
// than 1 KiB as text, however scattered the completed tasks are.
inline constexpr int kTasksPerProgressChunk = 512;

// An attempt number consists of a revision of the state service in the high bits and a counter in this many
// low bits. Attempt numbers are therefore unique, and they increase from one owner to the next.
inline constexpr unsigned kAttemptCounterBits = 20;

// Keys of the records. P and Q are shard numbers, REF is a job's id, N is a number. All keys but `meta`,
// `gangs`, `types` and `types~N` are stored with the prefix of the current incarnation, which StateClient
// adds and removes.
namespace keys {

// `meta`: number of shards, format version, incarnation (MetaRecord in coordination/state/incarnation.hpp).
// Created by the first node of a new cluster if it does not exist. Changed only by the leader of a rebuild,
// on the condition that its revision is unchanged. Never deleted.
inline const std::string kMeta = "meta";

// `types`: the machine types as the cloud last listed them. Written without a condition by every node that
// has fetched the list. Never deleted.
inline const std::string kTypes = "types";

// `types~N`: the same list split into several records, used if it is too large for one. Written in one
// transaction.
inline const std::string kSplitTypes = "types~";

// `gangs`: exists once a gang has been accepted. Written with the job record of the first gang. Never
// deleted. Once it exists, gangs are accepted even while a node whose version cannot run them is known to be
// alive.
inline const std::string kGangs = "gangs";

// `parts/P`: the node that owns shard P. The revision of the put is the shard's fencing token. Written under
// the node's lease by the node that claims the shard, if the key does not exist (or still names an earlier
// process of the same node). It expires with the lease, or the owner deletes it to hand the shard over.
// `parts/@NODE`: announces a live node. Written by that node under its lease.
inline const std::string kShardOwners = "parts/";
inline std::string shard_owner(int p) { return kShardOwners + std::to_string(p); }

// `rentals/NAME`: machines that may have been requested from the cloud under this name. Written by the fleet
// (at the leader of shard 0) before it calls the cloud. Deleted by the fleet once the outcome of every
// request is known.
inline const std::string kRentals = "rentals/";
inline std::string rental(const std::string& name) { return kRentals + name; }

// `u/P/REF`: UnaccountedRecord.
inline const std::string kUnaccounted = "u/";
inline std::string unaccounted(int p, const std::string& ref) {
  return kUnaccounted + std::to_string(p) + "/" + ref;
}

// `none`: never exists. Reading it returns the current revision of the state service.
inline const std::string kRevisionProbe = "none";

// `w/`: prefix of everything that every shard's leader watches (job records, delegations, quota splits). One
// prefix lets a leader use one watch instead of three.
inline const std::string kWatched = "w/";

// `w/j/P/REF`: JobRecord of an open job whose home shard is P.
inline const std::string kJobRecords = "w/j/";
inline std::string job_records(int p) { return kJobRecords + std::to_string(p) + "/"; }
inline std::string job_record(int p, const std::string& ref) { return job_records(p) + ref; }

// `w/b/Q/REF~N`: DelegationRecord of tasks of REF that were delegated to shard Q. N is chosen by the home
// shard's leader ("TOKEN.COUNTER"), or is "rebuilt".
inline const std::string kDelegations = "w/b/";
inline std::string delegations(int p, const std::string& ref) {
  return kDelegations + std::to_string(p) + "/" + ref + "~";
}
// The shard to which the tasks were delegated.
inline int delegation_target(const std::string& key) { return std::atoi(key.c_str() + kDelegations.size()); }

// `w/t/INDEX`: QuotaSplitRecord of the team at this index in the settings.
inline const std::string kQuotaSplits = "w/t/";
inline std::string quota_split(int index) { return kQuotaSplits + std::to_string(index); }

// `d/P/REF`: ProgressRecord of an open job. `d/P/REF~N`: additional ones, used if one record would be too
// large.
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
  std::string field;    // the stored name; empty if the problem concerns the record as a whole
  std::string problem;  // what is wrong with the field or record
  // Returns "field: problem".
  [[nodiscard]] std::string to_text() const;
};

// Description of an open job.
//
// Created by the node that accepts the submission, on the condition that neither it nor an ending of the job
// exists. Changed once by the leader of the home shard, when the job is cancelled. Deleted by that leader in
// the transaction that writes the ending. A launch and a cancellation both require its revision to be
// unchanged, so they cannot both succeed.
struct JobRecord {
  JobSpec spec;
  double submitted_at = 0;  // wall-clock time of the accepting node, seconds since the epoch
  bool cancelled = false;   // some tasks may still have to be stopped
  // The job was cancelled while some of its tasks were delegated. The delegates may not know of the
  // cancellation yet, and only the leader of the home shard can determine when they do.
  bool cancelled_while_delegated = false;

  [[nodiscard]] Json to_json() const;
  static std::optional<JobRecord> from_json(const Json& value, RecordError* error = nullptr);
};
// Whether a stored job record shows that its job was cancelled. The job's description need not be readable.
[[nodiscard]] bool shows_cancellation(const Json& job_record);

// One task on a machine.
struct PlacementRecord {
  std::string ref;            // id of the job
  int index = 0;              // index of the task
  std::uint64_t attempt = 0;  // number of the attempt that was launched
};

// The placements on one machine: a part of a SegmentRecord.
struct MachineRecord {
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t worker_incarnation = 0;
  std::vector<PlacementRecord> placements;
  std::vector<std::uint64_t> stopping_attempts;  // attempts of gangs that are being stopped

  // Groups placements by job, so that a machine full of small tasks stays within the maximum value size.
  [[nodiscard]] Json to_json() const;
  static std::optional<MachineRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// A segment of a shard's journal. New placements and completions are written to the active segment, so that
// one write covers many machines and jobs. An older segment is rewritten only when a placement in it has
// ended without completing.
//
// Only the shard's leader writes and deletes segments, each on the condition that its revision is unchanged.
// A segment is deleted once none of its content is needed any more.
struct SegmentRecord {
  std::map<std::string, MachineRecord> machines;  // by name
  std::map<std::string, std::string> done;        // by job or delegation key: ranges of indices as text

  [[nodiscard]] Json to_json() const;
  static std::optional<SegmentRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// Tasks of a job that its home shard delegated to another shard.
//
// Created by the leader of the home shard on the condition that the job record's revision is unchanged, and
// deleted by it once every task in the delegation is done. In between, only the delegate's leader writes it,
// on the condition that its revision is unchanged: it records completed tasks, returns tasks to the home
// shard by shrinking the range, and marks the contained job record as cancelled to acknowledge a
// cancellation.
struct DelegationRecord {
  int home_shard = 0;
  std::uint64_t job_revision = 0;  // revision of the job record at the home shard
  JobRecord job;
  RangeSet range;
  RangeSet done;
  bool succeeded_elsewhere = false;  // tasks of the job have completed outside this delegation
  bool found_faulty = false;         // the delegate has classified the job as faulty (Job::is_faulty)

  [[nodiscard]] bool complete() const { return done.size() == range.size(); }
  [[nodiscard]] Json to_json() const;
  static std::optional<DelegationRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// Completed tasks of an open job. A task is done if any of the job's progress records contains it.
//
// Written by the leader of the home shard on the condition that the revisions of the job record and of this
// record are unchanged. The main record is deleted in the transaction that writes the ending, the additional
// ones some time later.
struct ProgressRecord {
  RangeSet done;

  [[nodiscard]] Json to_json() const;
  // `task_count`: number of tasks of the job.
  static std::optional<ProgressRecord> from_json(const Json& value, int task_count,
                                                 RecordError* error = nullptr);
};

// How a team's limits are split among the shards. If the record does not exist, they are split evenly.
//
// Written by the leader of a shard that transfers a part of its share, on the condition that its revision is
// unchanged, and by a rebuild. Never deleted.
struct QuotaSplitRecord {
  std::vector<double> cores;  // by shard
  std::vector<double> gpus;   // by shard

  [[nodiscard]] Json to_json() const;
};

// A job that could not be accounted for when lost records were rebuilt: it is not known whether its held
// tasks have completed. They are neither started nor counted as done until an operator decides.
//
// Written by the leader of a rebuild. Changed by the leader of the home shard (`rerun`) when an operator
// allows a job whose description is lost to start again. Deleted by that leader when the operator's decision
// or the job's ending is written.
struct UnaccountedRecord {
  bool all_held = false;  // every task is held; their number is unknown because the description is lost
  RangeSet held;
  // The job may have ended, and its user may have been informed. No status is reported until an operator
  // decides.
  bool may_have_ended = false;
  bool rerun = false;  // an operator allows the job to start again, but its description is still missing
  std::string reason;
  // For display. Empty if the description is lost.
  std::string team;
  std::string job_class;

  // No status of the job may be reported.
  [[nodiscard]] bool withholds_status() const { return may_have_ended && !rerun; }
  // Indices of the held tasks of a job that has `task_count` tasks.
  [[nodiscard]] RangeSet held_indices(int task_count) const;
  [[nodiscard]] Json to_json() const;
  static std::optional<UnaccountedRecord> from_json(const Json& value, RecordError* error = nullptr);
};

// The newest revision of the state service that a worker's report proves to have existed: its fencing token,
// or the revision in an attempt number of its tasks.
[[nodiscard]] std::uint64_t newest_reported_revision(const Report& report);

// How a job ended, which is final: `phase` ("done" or "aborted") and its number of tasks (0: unknown).
//
// Written by the leader of the home shard in the transaction that deletes the job record. If there is no job
// record, it is written by that leader when an operator decides about a job without a description, or by a
// rebuild. It is never changed and never deleted, because terminal answers stay final and submissions stay
// idempotent only as long as it exists.
[[nodiscard]] Json ending_json(const char* phase, int task_count);

}  // namespace mothslip
