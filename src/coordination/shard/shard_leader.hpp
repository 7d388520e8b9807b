// The actor that owns one shard: its jobs, its machines and what runs where.
//
// Rules it keeps (docs/design.md has the reasoning):
//  * a launch is sent only after the machine's record with the placement is committed, by a transaction
//    that also guards our ownership and the job record;
//  * a placement is given up only on evidence, never on silence alone;
//  * a task goes back to waiting only after the record without its placement is durable;
//  * an exited task is reaped only after its completion is durable.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bookkeeping/ledger.hpp"
#include "coordination/fleet/shard_summary.hpp"
#include "coordination/node/job_status.hpp"
#include "coordination/node/node_memory.hpp"
#include "coordination/state/state_client.hpp"
#include "protocol/names.hpp"
#include "scheduling/gang.hpp"
#include "scheduling/preemption.hpp"

namespace mothslip {

class ShardLeader {
 public:
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    NameTable* zones = nullptr;
    int shard_count = 1;
    std::function<bool()> exclusive_owner;  // nobody else can own this shard (Ownership::exclusive)
    std::function<bool()> may_renew;        // the workers' leases (Ownership::may_renew)
    // The revision at which the shard got the owner that is known of, or lost its last one.
    std::function<std::uint64_t(int shard)> owner_since;
    // Asks the owner of another shard; a null answer when it cannot be reached.
    std::function<void(int shard, const std::string& path, const Json& body, std::function<void(Json)>)> ask;
    std::function<void(std::string why)> restart_shard;
    // The state service contradicts what it has answered us.
    std::function<void(const std::string& what)> contradicted;
    std::function<void(std::uint64_t fencing_token)> deposed;  // a worker has seen a higher token
    // A job's terminal state is durable, and users may be told.
    std::function<void(const std::string& ref, const JobStatus& status)> ended;
  };
  ShardLeader(Context context, int id, std::uint64_t fencing_token);
  ~ShardLeader();
  ShardLeader(const ShardLeader&) = delete;
  ShardLeader& operator=(const ShardLeader&) = delete;

  void load();
  [[nodiscard]] bool active() const { return active_; }
  [[nodiscard]] std::uint64_t fencing_token() const { return fencing_token_; }
  [[nodiscard]] int id() const { return id_; }

  // `relayed`: through another node, which waits only so long; such a report is not held for new work.
  void on_report(Report report, bool relayed, Responder responder);
  // A job that this node has accepted; the answer to that write may be older than what the watch has told.
  void admit(JobRecord job_record, std::uint64_t revision);
  // What may be told about a job of this shard as long as nobody else can own the shard.
  [[nodiscard]] JobFinding find(const std::string& ref) const;
  [[nodiscard]] bool knows(const std::string& ref) const { return jobs_.count(ref) > 0; }
  // Answers the responder once the cancellation is durable and all who may run tasks of the job know of it,
  // or shortly with 503. The job must be known.
  void cancel(const std::string& ref, Responder responder);

  // What another shard's owner asks: to be delegated tasks, or a part of a team's quota share.
  Json on_peer(const std::string& path, const Json& body);

  [[nodiscard]] ShardSummary summary() const;
  // What is known of the shard's jobs, machines and tasks (part_memory.cpp).
  [[nodiscard]] ShardMemory memory() const;
  // An operator's decision about the tasks that are held of a job: all count as done, all are started, or the
  // job is cancelled. False: nothing of the job is held here. Safe to repeat; durable a moment later.
  enum class HeldDecision { kDone, kRerun, kCancelled };
  bool resolve_held(const std::string& ref, HeldDecision decision);
  static void note_ordinary_use(const Job& job, double cores, OrdinaryUse& use);
  void apply(const FleetOrders& orders);
  // No commit has been answered for a while.
  [[nodiscard]] bool state_silent() const;

  struct Counters {
    std::uint64_t reports = 0, launches = 0, completions = 0, fetches = 0, tasks_delegated = 0,
                  tasks_received = 0, tasks_returned = 0, errors = 0, freed_by_lease = 0,
                  freed_by_incarnation = 0, freed_by_return = 0, relaunches = 0, preempted = 0,
                  journal_writes = 0, journal_changes = 0, delegations = 0, moves = 0, endings = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  // unaccounted_tasks.cpp
  void load_unaccounted();
  void count_held_as_done(const JobPtr& job);
  void start_held(const JobPtr& job);
  void resolve_without_description(const std::string& ref, HeldDecision decision);

  void load_job_records();
  void load_progress();
  void load_progress_record(const StateItem& item);
  void load_delegations();
  void check_delegated(std::set<int> homes);
  void load_teams();
  void load_segments();
  void load_completions(int number, const SegmentRecord& record);
  void load_placements(int number, const SegmentRecord& record);
  void go_active();
  void watch();
  void on_event(const Json& event);
  void on_job_event(const Json& event);
  void add_job(JobRecord job_record, std::uint64_t revision);
  JobPtr make_job(JobRecord job_record, std::uint64_t revision);
  [[nodiscard]] JobPtr find_task(const std::string& ref, int index) const;
  void remove_machine(Machine& machine);

  // delegation.cpp
  void add_delegated_job(const std::string& key, DelegationRecord record, std::uint64_t revision);
  void on_delegation_event(const Json& event);
  void reclaim_tasks(const JobPtr& job, const std::string& key, const RangeSet& range, const RangeSet& done);
  void request_tasks();
  [[nodiscard]] int next_shard(int after) const;
  int on_task_request(const Json& body);
  void drop_delegated(const JobPtr& job);
  Json on_job_cancelled(const Json& body);
  [[nodiscard]] static DelegationRecord delegation_record(const Job& job);
  [[nodiscard]] double delegation_budget(const Job& job) const;
  [[nodiscard]] bool fit_delegation(Job& job) const;
  bool commit_delegations();
  void note_short(const Job& job);
  void delegate_tasks(const JobPtr& job, int to, std::uint64_t to_fencing_token, int count);
  [[nodiscard]] Json even_split(int team) const;
  void note_team(int team, const Json& data, std::uint64_t revision);
  void on_team_event(const Json& event);
  void request_quota();
  [[nodiscard]] Resources could_start(int team) const;
  void on_quota_request(const Json& body);
  bool transfer_quota(int team, int to, double cores, double gpus, bool keep_own = true);
  void commit_quota(int team, const std::shared_ptr<std::string>& body, const Json& split);
  void reload_team(int team);
  void retry_load(void (ShardLeader::*step)());
  void adopt(JobRecord job_record, std::uint64_t revision);
  void forget(const std::string& name);
  void watched_up_to(std::uint64_t revision);

  Machine& machine_for(const Report& report);
  void shape_machine(Machine& machine);
  bool take_report(Machine& machine, const Report& report, bool direct);
  void begin_incarnation(Machine& machine, std::uint64_t worker_incarnation);
  void evaluate_reachability(Machine& machine);
  [[nodiscard]] double lease_over_s() const;
  void on_exit(Machine& machine, Placement& placement, ExitCause cause);
  void mark_done(const JobPtr& job, int index);
  void back_off_failing_job(Job& job);
  [[nodiscard]] bool failed_on_one(const std::string& ref) const;
  void free_placement(Placement& placement, double delay);
  void take_room(Machine& machine, Job& job);
  void give_room(Machine& machine, Job& job);
  void drop_placement(Machine& machine, std::size_t at);
  void requeue(const JobPtr& job, int index, double delay);
  void fill(Machine& machine);
  struct Candidates {
    std::vector<Request> requests;
    std::vector<JobPtr> jobs;
  };
  void place_greedily(Machine& machine, Candidates& candidates);
  [[nodiscard]] std::uint64_t next_attempt();
  void place_task(Machine& machine, const JobPtr& job, std::uint64_t attempt);
  [[nodiscard]] bool starving(const Job& job) const;
  [[nodiscard]] std::map<int, const Job*> saving() const;
  [[nodiscard]] static double age_bonus(const Job& job, double wall);
  [[nodiscard]] double least_cores(const std::optional<std::vector<std::string>>& machine_types,
                                   const Resources& demand) const;
  [[nodiscard]] bool needs_type(double least, int type) const;
  [[nodiscard]] bool small_on(const Job& job, int type) const;
  void wake();

  // gang_scheduling.cpp
  [[nodiscard]] static bool attempt_over(const Job& job);
  [[nodiscard]] int gang_tasks_running(const Job& job) const;
  [[nodiscard]] bool within_quota(const Job& job) const;
  [[nodiscard]] bool gang_may_be_placed(const Job& job) const;
  [[nodiscard]] bool gang_waits(const Job& job) const;
  [[nodiscard]] static bool gang_may_be_launched(const Job& job);
  [[nodiscard]] static GangNeeds gang_needs(const Job& job);
  [[nodiscard]] bool open_to_gang(const Job& job, const Machine& machine) const;
  [[nodiscard]] double fetch_s(const Job& job, const Machine& machine) const;
  bool place_gang(const JobPtr& job);
  void gang_task_lost(Job& job);
  void stop_gang(const JobPtr& job, const char* why);
  void maintain_gangs();
  void maintain_attempt(const JobPtr& job);
  [[nodiscard]] std::vector<std::pair<Machine*, Placement*>> placements_of(const Job& job) const;
  void gangs_written(const std::set<JobPtr>& gangs);
  void stops_written(const std::set<JobPtr>& gangs);
  void release_reservation();
  void reserve_for_gangs();
  [[nodiscard]] std::vector<Machine*> capacity_for(const Job& job) const;
  void reserve_for(const JobPtr& job);
  void seek_capacity();
  Json on_gang_capacity(const Json& body);
  int delegate_gangs(const Json& body);
  [[nodiscard]] bool finds_room_here(const Job& job) const;
  [[nodiscard]] std::vector<GangShare> find_offered_places(const Job& job, const Json& offers,
                                                           const std::vector<Resources>& rooms) const;
  void tell_home(const JobPtr& job);
  Json on_gang_state(const Json& body);

  // preemption.cpp
  struct Yieldable {
    Machine* machine = nullptr;
    Resources room{};  // free, or free soon
    std::vector<PreemptionCandidate> candidates;
  };
  [[nodiscard]] bool gives_way(const Job& job) const;
  [[nodiscard]] bool overlooked(const Job& job) const;
  [[nodiscard]] bool wants_room(const Job& job) const;
  [[nodiscard]] bool wanted_by_others(Machine& machine) const;
  [[nodiscard]] bool quiet(Machine& machine) const;
  [[nodiscard]] bool open_to_best_effort(const Job& job, const Machine& machine, bool is_quiet) const;
  [[nodiscard]] Yieldable yieldable(Machine& machine) const;
  void preempt_for(const Job& job, int count, std::vector<Yieldable>& machines, std::size_t& stops_left);
  void clear_reserved(std::size_t& stops_left);
  void preempt();
  void look_for_best_effort();
  void measure_headroom();
  // A machine's room counts while its last report is no older. (An idle one's reports are held.)
  [[nodiscard]] double fresh_s() const { return 2 * ctx_.settings->report_s + 2; }
  [[nodiscard]] static bool may_go(const JobSpec& spec, const std::string& machine_type,
                                   const std::string& zone, bool spot);
  [[nodiscard]] bool avoids(const Job& job, const Machine& machine) const;
  [[nodiscard]] bool allowed_on(const Job& job, const Machine& machine) const;
  [[nodiscard]] static bool flexible(const Job& job);
  [[nodiscard]] bool keeps_for_large(const Machine& machine) const;
  void answer(Machine& machine);
  std::vector<Order> orders_for(Machine& machine);
  void raise_fencing_tokens();
  [[nodiscard]] static std::optional<double> stop_wanted(const Placement& placement);
  void stop_directly(const JobPtr& job);
  void send_stops(Machine& machine);
  void send_direct(Machine& machine, const std::vector<Order>& orders, bool raise = false);

  void tick();
  void send_queued();
  bool commit_cancels();
  // cancellation.cpp
  void cancelled(const JobPtr& job);
  void retry_cancellations();
  void ask_delegate(const JobPtr& job, int shard);
  void look_for_owner(const JobPtr& job, int shard, std::uint64_t noted);
  void confirm(const JobPtr& job);
  [[nodiscard]] bool stopped(const Job& job) const;
  bool note_cancels();
  void release_freed();
  bool write_journal();
  struct JournalWrite;
  struct SegmentSplit;
  [[nodiscard]] JournalWrite new_journal_write() const;
  void send_journal_write(JournalWrite commit);
  bool split_oversized_segment();
  [[nodiscard]] SegmentSplit plan_split(int number, std::size_t limit) const;
  struct NewDelegation {
    JobPtr job;
    std::string key;
    int to = 0;
    std::uint64_t to_fencing_token = 0;
  };
  void add_delegations(JournalWrite& commit);
  void revoke_delegation(const NewDelegation& delegation);
  std::set<JobPtr> add_gangs(JournalWrite& commit);
  void add_new_placements(JournalWrite& commit);
  void add_completions(JournalWrite& commit);
  void compact_segments(JournalWrite& commit);
  bool seal_active_segment(JournalWrite& commit);
  bool reserve_active_segment(JournalWrite& commit, std::size_t needs);
  SegmentRecord segment_record(int number) const;
  std::size_t segment_bytes(int number) const;
  [[nodiscard]] std::size_t segment_limit() const;
  void on_journal_written(const JournalWrite& commit, std::uint64_t revision);
  bool on_journal_refused(const JournalWrite& commit, const std::vector<std::string>& failed);
  [[nodiscard]] double write_interval(std::size_t changes) const;
  [[nodiscard]] bool completions_due();
  [[nodiscard]] bool needs_journal_entry(const Job& job) const;
  Placement* find_placement(const std::string& machine, std::uint64_t attempt, int index);
  void folded(const JobPtr& job, const std::string& name, const RangeSet& done);
  [[nodiscard]] std::vector<JobPtr> jobs_to_end() const;
  [[nodiscard]] std::size_t changes_to_end(const Job& job) const;
  void add_ending(Transaction& txn, const Job& job, const char* phase) const;
  bool commit_endings();
  void on_ended(const JobPtr& job);
  [[nodiscard]] bool only_cancelled(const std::vector<std::string>& failed) const;
  bool remove_delegations_of_cancelled(const JobPtr& job, std::size_t most);
  // progress.cpp
  struct ProgressWrite {
    static constexpr int kMain = -1;
    int chunk = kMain;
    RangeSet done;  // what is durable with it
  };
  [[nodiscard]] static RangeSet main_progress(const Job& job);
  [[nodiscard]] static int longest_chunk(const Job& job, const RangeSet& main);
  [[nodiscard]] ProgressWrite add_progress(Transaction& txn, Job& job) const;
  bool commit_progress();
  void discard_progress_chunks(const Job& job);
  bool commit_discarded();
  bool commit_rest();
  // `conflict` may settle failed guards on keys of others and return true; otherwise the shard is given up.
  using Conflict = std::function<bool(const std::vector<std::string>& failed)>;
  struct Write;
  void send_commit(RequestPriority priority, int slot, const Transaction& txn,
                   std::function<void(std::uint64_t)> done, Conflict conflict = nullptr);
  void try_commit(const std::shared_ptr<Write>& write);
  bool shrink_writes();
  void on_refused(const std::shared_ptr<Write>& write, const StateReply& reply);
  void find_revision(const std::shared_ptr<Write>& write, std::size_t at, std::uint64_t revision);
  void settle(const Write& write, std::uint64_t revision);
  Transaction guarded() const;
  template <typename F>
  auto alive(F f) {
    return [token = std::weak_ptr<bool>(alive_), f = std::move(f)](auto&&... args) mutable {
      if (!token.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  // The segment that takes what is new. Every write of the journal puts it, so that of two copies of one
  // write, however late the second, only one can succeed.
  static constexpr int kActiveSegment = 1;
  static constexpr double kLoadRetry = 0.2;
  // Completions are kept by the workers until reaped: writing them a little later loses nothing.
  static constexpr double kCompletionDelay = 0.8;
  // A class of urgency weighs as much as half the pressure of a deadline.
  static constexpr double kUrgencyBonus = 0.5;

  Context ctx_;
  int id_;
  std::uint64_t fencing_token_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool active_ = false;
  std::uint64_t attempt_counter_ = 0;
  std::uint64_t watched_ = 0;  // changes up to here are known
  std::map<std::string, JobPtr> jobs_;
  std::map<std::string, UnaccountedRecord> unaccounted_;  // since records were lost
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  TeamLedger teams_;
  std::map<int, JournalSegment> segments_;
  std::deque<NewDelegation> unwritten_delegations_;  // delegated, not written yet
  struct DiscardedRecord {
    std::string key;
    std::string ref;  // of the job that is over
    std::uint64_t revision = 0;
  };
  std::deque<DiscardedRecord> discarded_;  // to be deleted at leisure
  int last_segment_ = kActiveSegment;
  double next_write_at_ = 0;           // no earlier is the journal written again
  bool write_timer_armed_ = false;     // a timer runs until then
  bool has_new_placements_ = false;    // there are new placements
  bool has_freed_placements_ = false;  // and placements that ended without completing
  double unrecorded_since_ = 0;        // the oldest completion that is not durable; 0: none
  std::string last_written_;           // machine whose new placements went last
  double value_bytes_ = 0;             // the state service takes no larger value
  NameTable images_;
  PreferenceWeights weights_;
  struct EarlyReport {
    Report report;
    bool relayed;
    Responder responder;
  };
  std::vector<EarlyReport> early_;  // reports that came while loading
  // Jobs and delegations that are over here while the watch has yet to tell of their beginning: by name, the
  // revision up to which it may. (A memory of the last 256 was not enough: behind a watch that lagged, older
  // ones came back.)
  std::map<std::string, std::uint64_t> over_ahead_of_watch_;
  std::deque<std::string> returned_order_;  // machines that are gone for good, oldest first:
  std::set<std::string> returned_;          // late copies of their reports still come
  std::vector<WaitingHint> elsewhere_;      // what waits at other shards, as the fleet told last
  double headroom_share_ = 0;               // of our machines' cores, kept free of best-effort work
  bool best_effort_here_ = false;           // a job of ours is best-effort work
  double beyond_headroom_ = 0;              // cores that are free beyond that
  bool waking_ = false;
  int raising_ = 0;                 // direct commands under way that only show our token
  bool task_request_open_ = false;  // a shard was asked and has not answered yet
  double next_task_request_ = 0;
  std::set<int> pressing_;             // teams whose quota share is saved up for a job that starves
  std::map<int, Resources> short_of_;  // by team: what a waiting task needs and the quota share lacks
  std::map<int, Json> splits_;         // by team: its record
  std::set<int> moving_;               // teams of whose quota share we are giving a part away
  // The shards asked last for tasks and for quota share. (With one counter for both, the two took turns: some
  // shards were asked only ever for tasks, and the quota share that they did not use never moved.)
  int asked_for_tasks_ = 0;
  int asked_for_quota_ = 0;
  int asked_for_capacity_ = 0;  // for a gang
  bool seeking_ = false;        // a shard was asked for it and has not answered yet
  double next_seek_ = 0;
  JobPtr reserving_;  // the gang for which machines are kept
  double reserved_at_ = 0;
  enum Slot { kCancelSlot = 0, kJournalSlot, kDoneSlot, kRestSlot, kSlots };
  static constexpr int kSlotLimit[kSlots] = {2, 1, 2, 1};
  int inflight_[kSlots] = {};
  double stuck_since_ = 0;  // 0: the last commit was answered
  bool sending_queued_ = false;
  bool cancellation_timer_armed_ =
      false;  // a timer runs until the unconfirmed cancellations are looked at again
  Counters counters_;
};

}  // namespace mothslip
