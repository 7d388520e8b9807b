// What the leader of a shard knows in memory of its jobs and machines, and what each team uses. Times are in
// seconds of the steady clock, unless a comment says otherwise.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/ranges.hpp"
#include "bookkeeping/records.hpp"
#include "scheduling/preference.hpp"
#include "transport/http.hpp"

namespace mothslip {

// Tasks of a job that are delegated to another shard, as its home shard sees them.
struct DelegatedTasks {
  RangeSet range;
  RangeSet done;
  std::uint64_t revision = 0;
  bool cancellation_acknowledged = false;  // its record shows that the delegate knows of the cancellation
  [[nodiscard]] bool complete() const { return done.size() == range.size(); }
};

// How long a task that is stopped, but not cancelled, has to save what it has done.
inline double stop_grace_s(const JobSpec& spec) {
  return spec.can_checkpoint() ? spec.checkpoint_cost_s + 1 : 0;
}

// The attempt of a gang of which tasks are placed. (Its tasks share one attempt number.)
struct GangAttempt {
  std::uint64_t number = 0;  // 0: nothing is placed
  bool started = false;      // its tasks were seen running
  // A task of it is gone, or it did not start in time: nothing of it is launched any more, and all of it is
  // stopped. The next attempt begins once the last task is known to be gone.
  bool failed = false;
  bool stopping = false;  // to be stopped with its progress saved
  double stopping_since = 0;
  bool stop_recorded = false;  // that is durable: its tasks may be told
  double placed_at = 0;
  double launched_at = 0;           // when all its places were durable for the first time; 0: they are not
  bool failure_stops_sent = false;  // its tasks were told to stop
};

// A job at its home shard, or tasks of another shard's job that are delegated to this one.
struct Job {
  JobRecord record;
  std::uint64_t job_revision = 0;
  int home_shard = 0;
  std::string delegation;  // the delegation's key, where its tasks were delegated to this shard
  RangeSet range;          // delegate: the tasks in the delegation
  std::uint64_t delegation_revision = 0;
  bool succeeded_elsewhere = false;                 // delegate: tasks of the job have completed elsewhere
  double idle_since = 0;                            // nothing was placed since
  std::map<std::string, DelegatedTasks> delegated;  // home: by delegation key
  int team = 0;
  int image = 0;
  Resources demand{};

  RangeSet waiting;
  RangeSet done;
  RangeSet unsaved;        // done, but not yet durable: must not be reaped
  bool fold_due = false;   // what the journal's segments hold of its completions has grown long
  double least_cores = 0;  // of the smallest machine type that can hold a task
  std::uint64_t progress_revision = 0;
  // Completions that do not fit into one record: in further ones, by the hundreds of tasks that each covers.
  struct ProgressChunk {
    std::uint64_t revision = 0;
    RangeSet done;
  };
  std::map<int, ProgressChunk> progress_chunks;
  bool progress_inflight = false;

  GangAttempt attempt;                // of a gang
  double next_gang_placement_at = 0;  // places for it are not looked for before
  double reserved_since = 0;          // machines are kept for it since; 0: none are
  double next_reservation_at = 0;
  bool delegated_gang_runs = false;       // a gang that is delegated: the delegate says that it runs
  double delegated_gang_reported_at = 0;  // when it said so
  int placed = 0;
  std::map<int, int> preemption_counts;  // by task: how often it was stopped for other work
  std::map<int, int> placed_by_zone;
  bool finishing = false;   // the ending is on its way to the state service
  bool cancelling = false;  // the cancellation is on its way
  bool cleanup_inflight = false;
  struct CancelWaiter {
    Responder responder;
    double answer_by = 0;
  };
  std::vector<CancelWaiter> cancel_waiters;
  // Cancelled durably. Nobody is told before every shard that may hold tasks of it has taken note.
  double cancelled_at = 0;                 // when this leader knew of it
  std::set<int> unacknowledged_shards;     // home: shards that have not taken note yet
  std::set<int> asked_shards;              // home: of these, a question is under way
  bool cancellation_confirmed = false;     // home: users may be told
  bool cancellation_acknowledged = false;  // delegate: the home shard knows that it has taken note
  bool cancellation_recorded = false;      // delegate: or can read it in the delegation's record

  int error_streak = 0;
  struct FailureCount {
    int errors = 0;
    double last_error_at = 0;
  };
  std::map<std::string, FailureCount>
      failures_by_machine;                      // by machine: is it the job's fault or the machine's?
  std::vector<std::pair<double, int>> backoff;  // when, which task
  bool found_faulty_elsewhere = false;          // a delegate of it found it at fault
  double next_trial_at = 0;                     // at fault: when one task of it is tried again
  double trial_delay_s = 0;                     // and how long after it, should that fail too
  static constexpr std::size_t kMinFailedMachines = 3;
  // It failed on several machines and has completed nothing: the fault is its own, not theirs.
  [[nodiscard]] bool is_faulty() const {
    return !succeeded_elsewhere && done.empty() &&
           (found_faulty_elsewhere || failures_by_machine.size() >= kMinFailedMachines);
  }

  [[nodiscard]] const JobSpec& spec() const { return record.spec; }
  [[nodiscard]] bool is_over() const { return record.cancelled || complete(); }
  // Its user has asked to cancel it. (The write may have been carried out without this leader knowing, and
  // others may say so: its tasks are stopped from the moment the write is sent.)
  [[nodiscard]] bool cancel_requested() const { return record.cancelled || cancelling; }
  // Its tasks may not be placed without regard to each other.
  [[nodiscard]] bool has_placement_constraints() const {
    return record.spec.gang || record.spec.together || record.spec.scatter;
  }
  [[nodiscard]] bool is_gang() const { return record.spec.gang; }
  // What has to be free at once for anything of it to start: of a gang all that waits, else one task.
  [[nodiscard]] Resources start_demand() const {
    Resources out = demand;
    if (is_gang()) {
      for (double& amount : out) amount *= waiting.size();
    }
    return out;
  }
  // (The tasks of an array fail one by one. Taken for a gang, an array of which one had failed was placed and
  // freed again, over and over, and never launched.)
  void fail_attempt() {
    if (is_gang()) attempt.failed = true;
  }
  // All its tasks run, as far as is known here.
  [[nodiscard]] bool gang_runs() const {
    return attempt.started && !attempt.failed && placed == record.spec.task_count;
  }
  [[nodiscard]] bool delegated_here() const { return !delegation.empty(); }
  [[nodiscard]] bool complete() const {
    return done.size() >= (delegated_here() ? range.size() : record.spec.task_count);
  }
  [[nodiscard]] bool all_delegated_complete() const {
    for (const auto& [key, each] : delegated) {
      if (!each.complete()) return false;
    }
    return true;
  }
  [[nodiscard]] int delegated_open() const {
    int open = 0;
    for (const auto& [key, each] : delegated) open += each.range.size() - each.done.size();
    return open;
  }
  void mark_saved(const RangeSet& indices) { unsaved.erase(indices); }
  [[nodiscard]] bool is_durable(int index) const { return done.contains(index) && !unsaved.contains(index); }
};
using JobPtr = std::shared_ptr<Job>;

// The more urgent first, then the older.
inline bool has_priority_over(const Job& a, const Job& b) {
  return a.spec().urgency != b.spec().urgency ? a.spec().urgency > b.spec().urgency
                                              : a.record.submitted_at < b.record.submitted_at;
}

struct Placement {
  enum class Stage {
    kNew,       // in memory only; no launch may be sent
    kRecorded,  // durable; launches may be sent
    kFreeing,   // known to be gone from the machine; counts until the record without it is durable
  };
  JobPtr job;
  int index = 0;
  std::uint64_t attempt = 0;
  Stage stage = Stage::kNew;
  int segment = 0;                  // of the journal, where it is recorded; 0: not yet on its way there
  bool inherited = false;           // recorded by an earlier owner, who may have sent the launch
  std::uint64_t sent_sequence = 0;  // tick of the report whose answer last carried the launch
  std::uint64_t seen_sequence = 0;  // last report that showed it
  TaskPhase phase = TaskPhase::kFetchingImage;
  double running_since = 0;
  double requeue_delay_s = 0;
  bool preempted = false;      // being stopped for other work
  bool stop_recorded = false;  // of a gang that is being stopped: its record says so
};

// A segment of the shard's journal (records.hpp).
struct JournalSegment {
  std::uint64_t revision = 0;            // 0: not written yet
  bool dirty = false;                    // a placement in it has ended and must go from it
  bool oversized = false;                // as read: larger than what may be written now
  std::map<std::string, RangeSet> done;  // by job or delegation
};

struct Machine {
  std::string name;
  MachineRecord record;  // identity and incarnation; its placements field is unused here
  int type = 0;
  int zone = 0;
  Resources capacity{};
  Resources room{};
  std::vector<Placement> placements;
  std::vector<TaskReport> unmatched;  // of the last report: not among the placements

  std::uint64_t sequence = 0;       // of the last heartbeat
  bool has_reported = false;        // reported to this owner
  bool token_acknowledged = false;  // the worker has shown this leader's fencing token
  double last_answer_at = 0;        // last time an answer may have renewed its lease
  double last_report_at = 0;
  double first_report_at = 0;
  double busy_at = 0;  // last time it had a placement
  std::optional<double> evicted_at;
  bool draining = false;
  bool removed = false;             // the cloud took it back
  bool reserved_for_large = false;  // for large tasks, when last looked
  bool cordoned = false;            // takes nothing new, for now
  bool faulty = false;
  // Its reports come, but no answer reaches it: seen by launches without effect, or by a lease that expired
  // while reports came all along. Nothing is started there until an incarnation outlasts the lease: it is
  // reachable again.
  bool inbound_unreachable = false;
  double inbound_unreachable_since = 0;
  int ineffective_launches = 0;  // launches in a row that had no effect
  int expired_incarnations = 0;  // in a row that ended although they were answered
  double incarnation_since = 0;  // first report of this incarnation
  double steady_since = 0;       // its reports have come without a gap since
  int error_streak = 0;
  std::vector<std::string> failed_jobs;  // jobs behind the streak
  double no_fill_until = 0;
  std::vector<std::pair<int, double>> images;  // most recent last: image, GB

  Responder answer;  // a report waits for a commit
  double answer_by = 0;
  double last_wanted_at = 0;  // last time that work other than best-effort wanted it, or was given it
  double best_effort_excluded_since =
      0;                     // its room is kept from best-effort work since, for other shards; 0: is not
  bool report_held = false;  // nothing is placed there: its report waits for work
  JobPtr reserved_for;       // a gang that waits for its room
  bool direct_inflight = false;
  bool stops_due = false;                 // a job was cancelled while a direct command was under way
  double last_token_announcement_at = 0;  // last time a direct command showed it the fencing token

  // May anything new be started here?
  [[nodiscard]] bool schedulable() const {
    return !removed && !draining && !faulty && !inbound_unreachable && !evicted_at;
  }
  [[nodiscard]] bool has_image(int image) const {
    for (const auto& [cached, gb] : images) {
      if (cached == image) return true;
    }
    return false;
  }
  void use_image(int image, double gb, double cache_gb) {
    std::erase_if(images, [image](const auto& item) { return item.first == image; });
    images.emplace_back(image, gb);
    double total = 0;
    for (const auto& item : images) total += item.second;
    while (images.size() > 1 && total > cache_gb) {
      total -= images.front().second;
      images.erase(images.begin());
    }
  }
};

// Use of each team against this shard's quota share. What is placed counts until it is known to be gone.
class TeamLedger {
 public:
  // Until its quota shares are known a shard may place nothing.
  explicit TeamLedger(const std::vector<Team>& teams) {
    for (const Team& team : teams) rows_.push_back({team, 0, 0, 0, 0, 0});
  }
  void set_quota(int team, double cores, double gpus, std::uint64_t revision) {
    Row& row = at(team);
    row.quota_cores = cores;
    row.quota_gpus = gpus;
    row.revision = revision;
  }
  [[nodiscard]] bool within_quota(int team, const Resources& demand) const {
    const Row& row = at(team);
    return row.cores + demand[0] <= row.quota_cores + kRoundingTolerance &&
           row.gpus + demand[2] <= row.quota_gpus + kRoundingTolerance;
  }
  // The shard's share of the guarantee is that of its quota share.
  [[nodiscard]] bool within_guarantee(int team, const Resources& demand) const {
    const Row& row = at(team);
    const double cores = row.team.cpus * share(row.quota_cores, row.team.cpus_max);
    const double gpus = row.team.gpus * share(row.quota_gpus, row.team.gpus_max);
    return row.cores + demand[0] <= cores + kRoundingTolerance &&
           row.gpus + demand[2] <= gpus + kRoundingTolerance;
  }
  // Tasks of this size that the quota share still lets in.
  [[nodiscard]] int tasks_within(int team, const Resources& demand) const {
    double count = 1e6;
    if (demand[0] > 0) count = std::min(count, (spare_cores(team) + kRoundingTolerance) / demand[0]);
    if (demand[2] > 0) count = std::min(count, (spare_gpus(team) + kRoundingTolerance) / demand[2]);
    return std::max(0, static_cast<int>(count));
  }
  void add(int team, const Resources& demand) {
    at(team).cores += demand[0];
    at(team).gpus += demand[2];
  }
  void remove(int team, const Resources& demand) {
    at(team).cores -= demand[0];
    at(team).gpus -= demand[2];
  }
  [[nodiscard]] std::size_t size() const { return rows_.size(); }
  [[nodiscard]] double cores(int team) const { return at(team).cores; }
  [[nodiscard]] double quota_cores(int team) const { return at(team).quota_cores; }
  [[nodiscard]] double quota_gpus(int team) const { return at(team).quota_gpus; }
  [[nodiscard]] double spare_cores(int team) const {
    return std::max(0.0, at(team).quota_cores - at(team).cores);
  }
  [[nodiscard]] double spare_gpus(int team) const {
    return std::max(0.0, at(team).quota_gpus - at(team).gpus);
  }
  [[nodiscard]] std::uint64_t revision(int team) const { return at(team).revision; }

 private:
  // Sums of decimal fractions come out a hair off; far below any real demand.
  static constexpr double kRoundingTolerance = 1e-9;
  struct Row {
    Team team;
    double quota_cores = 0;
    double quota_gpus = 0;
    double cores = 0;
    double gpus = 0;
    std::uint64_t revision = 0;
  };
  static double share(double portion, double whole) { return whole > 0 ? portion / whole : 0; }
  [[nodiscard]] const Row& at(int team) const { return rows_[static_cast<std::size_t>(team)]; }
  Row& at(int team) { return rows_[static_cast<std::size_t>(team)]; }
  std::vector<Row> rows_;
};

}  // namespace mothslip
