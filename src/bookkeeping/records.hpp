// What the state service holds, and under which keys.
//
//   meta                     {"parts":N,"form":F}, written once
//   types                    the machine types last heard from the cloud; types~N: in several records, where
//                            they are too many for one
//   gangs                    there once a gang has been accepted
//   parts/P                  owner of shard P, under its lease; the put's revision is the shard's fencing
//   token w/j/P/REF                job record of an open job: its description; changes only on cancel, gone
//   at the end.
//                            (Cancelled and `spread`: whether its delegates know, only its owner can tell.)
//   d/P/REF                  progress of an open job: the done indices as ranges
//   d/P/REF~N                further parts of it, where one record would be too large
//   e/P/REF                  how a job ended; kept for good
//   h/P/N                    segment N of shard P's journal: placements by machine, and completions that the
//                            jobs' own records do not hold yet
//   w/b/Q/REF~N              tasks of a job, delegated to shard Q, and which of them are done
//   w/t/TEAM                 how a team's limits are split among the shards
//   rentals/NAME             a rental that may be on its way
//   u/P/REF                  a job that could not be accounted for when lost records were rebuilt
//   none                     never exists: a read of it tells the revision
//
// What every shard has to hear of lies under one prefix, w/: one watch a shard, not three.
#pragma once

#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/ranges.hpp"
#include "protocol/messages.hpp"

namespace mothslip {

// The form of all these records. A node leaves alone what it finds in another form.
inline constexpr int kRecordForm = 2;
// Of `meta` once records have been rebuilt (coordination/state/incarnation.hpp): versions that do not know of
// incarnations leave such records alone.
inline constexpr int kIncarnationForm = 3;

// Owns for good the shards of an incarnation that has been rebuilt: what their owners still send fails, and
// no controller of that name exists that would claim them.
inline const std::string kRebuiltOwner = "@rebuilt";

namespace keys {
inline const std::string kMeta = "meta";
inline const std::string kTypes = "types";
inline const std::string kSplitTypes = "types~";
inline const std::string kGangs = "gangs";
inline const std::string kShardOwners = "parts/";
inline const std::string kRentals = "rentals/";
inline const std::string kUnaccounted = "u/";
inline const std::string kNone = "none";
inline const std::string kWatched = "w/";
inline const std::string kJobRecords = "w/j/";
inline const std::string kDelegations = "w/b/";
inline const std::string kTeams = "w/t/";
inline std::string shard(int p) { return kShardOwners + std::to_string(p); }
inline std::string job_records(int p) { return kJobRecords + std::to_string(p) + "/"; }
inline std::string progresses(int p) { return "d/" + std::to_string(p) + "/"; }
inline std::string endings(int p) { return "e/" + std::to_string(p) + "/"; }
inline std::string segments(int p) { return "h/" + std::to_string(p) + "/"; }
inline std::string job_record(int p, const std::string& ref) { return job_records(p) + ref; }
inline std::string progress(int p, const std::string& ref) { return progresses(p) + ref; }
inline std::string progress_chunk(int p, const std::string& ref, int number) {
  return progress(p, ref) + "~" + std::to_string(number);
}
inline std::string ending(int p, const std::string& ref) { return endings(p) + ref; }
inline std::string segment(int p, int number) { return segments(p) + std::to_string(number); }
inline std::string delegations(int p, const std::string& ref) {
  return kDelegations + std::to_string(p) + "/" + ref + "~";
}
// The shard to which the tasks were delegated.
inline int delegation_target(const std::string& key) { return std::atoi(key.c_str() + kDelegations.size()); }
inline std::string unaccounted(int p, const std::string& ref) {
  return kUnaccounted + std::to_string(p) + "/" + ref;
}
inline std::string team(int index) { return kTeams + std::to_string(index); }
inline std::string rental(const std::string& name) { return kRentals + name; }
}  // namespace keys

struct JobRecord {
  JobSpec spec;
  double submitted = 0;  // time of day at the accepting node
  bool aborted = false;  // cancelled, some tasks may still have to be stopped
  bool spread = false;   // and tasks of it were delegated then: their delegates may not know of it yet

  [[nodiscard]] Json to_json() const;
  static std::optional<JobRecord> from_json(const Json& value);
};

// Attempt numbers begin with a revision of the state service, and end with so many bits of a counter.
inline constexpr unsigned kAttemptShift = 20;

struct PlacementRecord {
  std::string ref;
  int index = 0;
  std::uint64_t attempt = 0;
};

struct MachineRecord {
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t worker_incarnation = 0;
  std::vector<PlacementRecord> placements;
  std::vector<std::uint64_t> stopping;  // attempts of gangs that are being stopped

  // Placements are grouped by job: a machine full of small tasks must stay within the value size.
  [[nodiscard]] Json to_json() const;
  static std::optional<MachineRecord> from_json(const Json& value);
};

// A segment of a shard's journal. New placements and completions go to the active segment, so that one change
// covers many machines and jobs; an older segment is written again only when a placement in it ended without
// completing, and goes when nothing in it counts any more.
struct SegmentRecord {
  std::map<std::string, MachineRecord> machines;
  std::map<std::string, std::string> done;  // by job or delegation: ranges of indices

  [[nodiscard]] Json to_json() const;
  static std::optional<SegmentRecord> from_json(const Json& value);
};

// Tasks of a job that its home shard delegated to another. The home creates it, and deletes it once every
// task in it is done; in between only the delegate writes: it notes what is done, gives back by shrinking the
// range, and shows in the job record that it knows of a cancellation.
struct DelegationRecord {
  int home_shard = 0;
  std::uint64_t job_revision = 0;
  JobRecord job;
  RangeSet range;
  RangeSet done;
  bool works = false;  // tasks of the job have completed elsewhere
  bool fails = false;  // the delegate found the job at fault

  [[nodiscard]] bool complete() const { return done.size() == range.size(); }
  [[nodiscard]] Json to_json() const;
  static std::optional<DelegationRecord> from_json(const Json& value);
};

// A job that could not be accounted for when lost records were rebuilt: whether its held tasks completed is
// not known. They are neither started nor counted as done until an operator says so.
struct UnaccountedRecord {
  bool all = false;  // every task is held: how many there are is not known, the description is lost
  RangeSet held;
  // It may have ended, and its user may have been told: until an operator decides, nothing is told of it.
  bool may_have_ended = false;
  bool rerun = false;  // an operator lets the job start again; its description is still missing
  std::string reason;
  // For display; empty where the description is lost.
  std::string team;
  std::string job_class;

  [[nodiscard]] bool silent() const { return may_have_ended && !rerun; }
  [[nodiscard]] RangeSet held_of(int task_count) const;
  [[nodiscard]] Json to_json() const;
  static std::optional<UnaccountedRecord> from_json(const Json& value);
};

// The newest revision of the state service that a worker is a witness of.
[[nodiscard]] std::uint64_t newest_shown(const Report& report);

Json ending_json(const char* phase, int task_count);

}  // namespace mothslip
