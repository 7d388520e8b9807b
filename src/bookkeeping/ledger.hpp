// In-memory state that the leader of a shard keeps about its jobs and machines, and the resource usage of
// each team. Times are in seconds of the steady clock unless a comment says otherwise.
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
  bool cancellation_acknowledged = false;  // the record shows that the delegate knows of the cancellation
  [[nodiscard]] bool complete() const { return done.size() == range.size(); }
};

// How long a task that is stopped, but not cancelled, has to save its progress.
inline double stop_grace_s(const JobSpec& spec) {
  return spec.can_checkpoint() ? spec.checkpoint_cost_s + 1 : 0;
}

// The attempt of a gang whose tasks are currently placed. (All its tasks share one attempt number.)
struct GangAttempt {
  std::uint64_t number = 0;  // 0: nothing is placed
  bool started = false;      // the tasks were reported running
  // A task of the attempt is gone, or the attempt did not start in time: none of its tasks is launched any
  // more, and all of them are stopped. The next attempt begins once the last task is known to be gone.
  bool failed = false;
  bool stopping = false;  // the attempt is to be stopped after saving its progress
  double stopping_since = 0;
  bool stop_recorded = false;  // the decision to stop is durable, so the tasks may be ordered to stop
  double placed_at = 0;
  double launched_at = 0;           // when all its placements first became durable; 0: they are not yet
  bool failure_stops_sent = false;  // the tasks were ordered to stop after the failure
};

// A job at its home shard, or tasks of another shard's job that are delegated to this one. In the comments,
// "home" marks fields that are used at the home shard only, "delegate" those that are used at a delegate
// only.
struct Job {
  JobRecord record;
  std::uint64_t job_revision = 0;
  int home_shard = 0;
  std::string delegation;  // key of the delegation if the tasks were delegated to this shard
  RangeSet range;          // delegate: the tasks in the delegation
  std::uint64_t delegation_revision = 0;
  // Delegate: the job record is being read because it was not as expected. Nothing is placed meanwhile.
  bool record_check_inflight = false;
  bool succeeded_elsewhere = false;                 // delegate: tasks of the job completed outside it
  double idle_since = 0;                            // no task has been placed since
  std::map<std::string, DelegatedTasks> delegated;  // home: by delegation key
  int team = 0;
  int image = 0;
  Resources demand{};

  RangeSet waiting;
  RangeSet done;
  RangeSet undurable_completions;  // completed tasks that are not durable yet and must not be reaped
  // There are too many completions for journal segments: the job's own record must take them.
  bool progress_write_due = false;
  double min_machine_cores = 0;  // of the smallest machine type that can hold a task
  std::uint64_t progress_revision = 0;
  // Completions that do not fit into one record are stored in additional ones, each of which covers
  // kTasksPerProgressChunk tasks.
  struct ProgressChunk {
    std::uint64_t revision = 0;
    RangeSet done;
  };
  std::map<int, ProgressChunk> progress_chunks;
  bool progress_inflight = false;

  GangAttempt attempt;                // if the job is a gang
  double next_gang_placement_at = 0;  // no placement is searched for before this time
  double reserved_since = 0;          // machines have been reserved for the gang since; 0: none are
  double next_reservation_at = 0;
  bool delegated_gang_runs = false;       // whether the delegate of this gang last reported that it runs
  double delegated_gang_reported_at = 0;  // time of that report
  int placed = 0;
  std::map<int, int> preemption_counts;  // by task: how often it was stopped for other work
  std::map<int, int> placed_by_zone;
  bool finishing = false;   // the write of the ending is in flight
  bool cancelling = false;  // the write of the cancellation is in flight
  bool cleanup_inflight = false;
  struct CancelWaiter {
    Responder responder;
    double answer_by = 0;
  };
  std::vector<CancelWaiter> cancel_waiters;
  // The following fields apply once the job is durably cancelled. Users are not informed before every shard
  // that may hold tasks of the job has acknowledged the cancellation.
  double cancelled_at = 0;                 // when this leader learned of the cancellation
  std::set<int> unacknowledged_shards;     // home: shards that have not acknowledged yet
  std::set<int> asked_shards;              // home: the shards among them to which a request is in flight
  bool cancellation_confirmed = false;     // home: users may be informed
  bool cancellation_acknowledged = false;  // delegate: the home shard knows that this shard knows
  bool cancellation_recorded = false;      // delegate: the delegation record contains the acknowledgement

  int error_streak = 0;
  struct FailureCount {
    int errors = 0;
    double last_error_at = 0;
  };
  // By machine. Used to decide whether the job or the machine is faulty.
  std::map<std::string, FailureCount> failures_by_machine;
  std::vector<std::pair<double, int>> backoff;  // time at which the task waits again, index of the task
  bool found_faulty_elsewhere = false;          // a delegate has classified the job as faulty
  double next_trial_at = 0;                     // when one task of a faulty job is tried again
  double trial_delay_s = 0;  // current delay between trials, which grows when a trial fails
  static constexpr std::size_t kMinFailedMachines = 3;
  // The job has failed on several machines and completed nothing: the job is faulty, not the machines.
  [[nodiscard]] bool is_faulty() const {
    return !succeeded_elsewhere && done.empty() &&
           (found_faulty_elsewhere || failures_by_machine.size() >= kMinFailedMachines);
  }

  [[nodiscard]] const JobSpec& spec() const { return record.spec; }
  [[nodiscard]] bool is_over() const { return record.cancelled || complete(); }
  // The user has requested cancellation. The write may have succeeded without this leader knowing, and other
  // nodes may report it: the tasks are therefore stopped from the moment at which the write is sent.
  [[nodiscard]] bool cancel_requested() const { return record.cancelled || cancelling; }
  // The placement of one task depends on that of the others.
  [[nodiscard]] bool has_placement_constraints() const {
    return record.spec.is_gang || record.spec.must_share_zone || record.spec.must_spread_zones;
  }
  [[nodiscard]] bool is_gang() const { return record.spec.is_gang; }
  // Resources that must be free at the same time before any task of the job can start: those of all waiting
  // tasks of a gang, otherwise those of one task.
  [[nodiscard]] Resources start_demand() const {
    Resources out = demand;
    if (is_gang()) {
      for (double& amount : out) amount *= waiting.size();
    }
    return out;
  }
  // Has no effect on arrays, because their tasks fail one by one. When an array was treated like a gang, it
  // was placed and freed repeatedly after one task had failed, and was never launched.
  void fail_attempt() {
    if (is_gang()) attempt.failed = true;
  }
  // All tasks of the gang are running, as far as this shard knows.
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
  void mark_durable(const RangeSet& indices) { undurable_completions.erase(indices); }
  [[nodiscard]] bool is_durable(int index) const {
    return done.contains(index) && !undurable_completions.contains(index);
  }
};
using JobPtr = std::shared_ptr<Job>;

// Whether `a` is more urgent than `b`, or equally urgent and older.
inline bool has_priority_over(const Job& a, const Job& b) {
  return a.spec().urgency != b.spec().urgency ? a.spec().urgency > b.spec().urgency
                                              : a.record.submitted_at < b.record.submitted_at;
}

struct Placement {
  enum class Stage {
    kNew,       // in memory only; no launch may be sent
    kRecorded,  // durable; launches may be sent
    kFreeing,   // known to be gone from the machine; counts as usage until a record without it is durable
  };
  JobPtr job;
  int index = 0;
  std::uint64_t attempt = 0;
  Stage stage = Stage::kNew;
  int segment = 0;                  // journal segment that records it; 0: its write has not been prepared yet
  bool inherited = false;           // recorded by an earlier owner, who may have sent the launch
  std::uint64_t sent_sequence = 0;  // sequence number of the report whose answer last carried the launch
  std::uint64_t seen_sequence = 0;  // sequence number of the last report that contained the task
  TaskPhase phase = TaskPhase::kFetchingImage;
  double running_since = 0;
  double requeue_delay_s = 0;
  bool preempted = false;      // being stopped for other work
  bool stop_recorded = false;  // for a gang that is being stopped: its record contains the stop
};

// A segment of the shard's journal (records.hpp).
struct JournalSegment {
  std::uint64_t revision = 0;            // 0: not written yet
  bool dirty = false;                    // contains a placement that has ended and must be removed
  bool oversized = false;                // the stored segment exceeds the size that may be written now
  std::map<std::string, RangeSet> done;  // by job or delegation key
};

struct Machine {
  std::string name;
  MachineRecord record;  // identity and incarnation; its placements field is unused here
  int type = 0;
  int zone = 0;
  Resources capacity{};
  Resources room{};
  std::vector<Placement> placements;
  std::vector<TaskReport> unmatched;  // tasks in the last report that match none of the placements

  std::uint64_t sequence = 0;       // of the last heartbeat
  bool has_reported = false;        // whether it has sent a report to this owner
  bool token_acknowledged = false;  // the worker has reported this leader's fencing token
  double last_answer_at = 0;        // last time an answer may have renewed the worker's lease
  double last_report_at = 0;
  double first_report_at = 0;
  double busy_at = 0;  // last time it had a placement
  std::optional<double> evicted_at;
  bool draining = false;
  bool removed = false;             // the cloud has reclaimed the machine
  bool reserved_for_large = false;  // reserved for large tasks when last evaluated
  bool cordoned = false;            // currently accepts no new tasks
  bool faulty = false;
  // The machine's reports arrive, but answers do not reach it. Detected when launches have no effect, or when
  // the worker's lease expires although its reports arrive throughout. Nothing is started on the machine
  // until an incarnation outlasts the lease, which shows that answers reach the worker again.
  bool inbound_unreachable = false;
  double inbound_unreachable_since = 0;
  int ineffective_launches = 0;  // consecutive launches that had no effect
  int expired_incarnations = 0;  // consecutive incarnations that ended although their reports were answered
  double incarnation_since = 0;  // time of the first report of this incarnation
  double steady_since = 0;       // reports have arrived without a gap since
  int error_streak = 0;
  std::vector<std::string> failed_jobs;  // jobs whose failures make up the streak
  double no_fill_until = 0;
  std::vector<std::pair<int, double>> images;  // image and its size in GB, least recently used first

  Responder answer;  // answers a report that waits for a commit
  double answer_by = 0;
  double last_wanted_at = 0;  // last time that work other than best-effort needed the machine or was given it
  // The room has been withheld from best-effort work since, for the benefit of other shards; 0: it is not.
  double best_effort_excluded_since = 0;
  bool report_held = false;  // nothing is placed on the machine, and its report is held until there is work
  JobPtr reserved_for;       // a gang that waits for the machine's room
  bool direct_inflight = false;
  bool stops_due = false;                 // a job was cancelled while a direct command was in flight
  double last_token_announcement_at = 0;  // last time a direct command announced the fencing token

  // Whether new tasks may be started on the machine.
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

// Usage of each team compared with this shard's share of the team's quota. A placement counts as usage until
// it is known to be gone.
class TeamLedger {
 public:
  // All shares start at 0, so that a shard places nothing until its quota shares are known.
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
  // The shard's share of the team's guarantee is in proportion to its share of the team's quota.
  [[nodiscard]] bool within_guarantee(int team, const Resources& demand) const {
    const Row& row = at(team);
    const double cores = row.team.cpus * share(row.quota_cores, row.team.cpus_max);
    const double gpus = row.team.gpus * share(row.quota_gpus, row.team.gpus_max);
    return row.cores + demand[0] <= cores + kRoundingTolerance &&
           row.gpus + demand[2] <= gpus + kRoundingTolerance;
  }
  // Number of additional tasks of this size that the quota share allows.
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
  // Absorbs rounding errors in sums of decimal fractions. Far below any real demand.
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
