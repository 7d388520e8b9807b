// The actor that owns one part: its jobs, its machines and what runs where.
//
// Rules it keeps (docs/design.md has the reasoning):
//  * a launch is sent only after the machine's record with the placement is committed, by a transaction
//    that also guards our ownership and the job's head;
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
#include "coordination/job_status.hpp"
#include "coordination/node_memory.hpp"
#include "coordination/state_client.hpp"
#include "coordination/summary.hpp"
#include "protocol/names.hpp"
#include "scheduling/gang.hpp"
#include "scheduling/preemption.hpp"

namespace mothslip {

class Part {
 public:
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    NameTable* zones = nullptr;
    int parts = 1;
    std::function<bool()> exclusive_owner;  // nobody else can own this part (Ownership::exclusive)
    std::function<bool()> may_renew;        // the workers' leases (Ownership::may_renew)
    // The revision at which the part got the owner that is known of, or lost its last one.
    std::function<std::uint64_t(int part)> owner_since;
    // Asks the owner of another part; a null answer when it cannot be reached.
    std::function<void(int part, const std::string& path, const Json& body, std::function<void(Json)>)> ask;
    std::function<void(std::string why)> restart_shard;
    // The state service contradicts what it has answered us.
    std::function<void(const std::string& what)> contradicted;
    std::function<void(std::uint64_t fencing_token)> deposed;  // a worker has seen a higher token
    // A job's terminal state is durable, and users may be told.
    std::function<void(const std::string& ref, const JobStatus& status)> ended;
  };
  Part(Context context, int id, std::uint64_t fencing_token);
  ~Part();
  Part(const Part&) = delete;
  Part& operator=(const Part&) = delete;

  void load();
  [[nodiscard]] bool active() const { return active_; }
  [[nodiscard]] std::uint64_t fencing_token() const { return fencing_token_; }
  [[nodiscard]] int id() const { return id_; }

  // `relayed`: through another node, which waits only so long; such a report is not held for new work.
  void on_report(Report report, bool relayed, Responder responder);
  // A job that this node has accepted; the answer to that write may be older than what the watch has told.
  void admit(HeadRecord head, std::uint64_t revision);
  // What may be told about a job of this part as long as nobody else can own the part.
  [[nodiscard]] JobFinding find(const std::string& ref) const;
  [[nodiscard]] bool knows(const std::string& ref) const { return jobs_.count(ref) > 0; }
  // Answers the responder once the cancellation is durable and all who may run tasks of the job know of it,
  // or shortly with 503. The job must be known.
  void cancel(const std::string& ref, Responder responder);

  // What another part's owner asks: to be lent tasks, or a part of a team's allowance.
  Json on_peer(const std::string& path, const Json& body);

  [[nodiscard]] PartSummary summary() const;
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
    std::uint64_t reports = 0, launches = 0, completions = 0, fetches = 0, lent = 0, borrowed = 0,
                  given_back = 0, errors = 0, freed_by_lease = 0, freed_by_incarnation = 0,
                  freed_by_return = 0, relaunches = 0, preempted = 0, pages = 0, page_changes = 0, blocks = 0,
                  moves = 0, endings = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  // part_memory.cpp
  void load_unaccounted();
  void count_held_as_done(const JobPtr& job);
  void start_held(const JobPtr& job);
  void resolve_without_description(const std::string& ref, HeldDecision decision);

  void load_heads();
  void load_progress();
  void load_progress_record(const StateItem& item);
  void load_blocks();
  void check_borrowed(std::set<int> homes);
  void load_teams();
  void load_pages();
  void load_notes(int number, const PageRecord& record);
  void load_placements(int number, const PageRecord& record);
  void go_active();
  void watch();
  void on_event(const Json& event);
  void on_head_event(const Json& event);
  void add_job(HeadRecord head, std::uint64_t revision);
  JobPtr make_job(HeadRecord head, std::uint64_t revision);
  [[nodiscard]] JobPtr find_task(const std::string& ref, int index) const;
  void machine_gone(Machine& machine);

  // part_lending.cpp
  void add_block(const std::string& key, BlockRecord record, std::uint64_t revision);
  void on_block_event(const Json& event);
  void take_back(const JobPtr& job, const std::string& key, const RangeSet& range, const RangeSet& done);
  void borrow();
  [[nodiscard]] int next_part(int after) const;
  int on_borrow(const Json& body);
  void drop_borrowed(const JobPtr& job);
  Json on_called_off(const Json& body);
  [[nodiscard]] static BlockRecord block_record(const Job& job);
  [[nodiscard]] double block_budget(const Job& job) const;
  [[nodiscard]] bool fit_block(Job& job) const;
  bool commit_blocks();
  void note_short(const Job& job);
  void lend(const JobPtr& job, int to, std::uint64_t to_fencing_token, int count);
  [[nodiscard]] Json even_split(int team) const;
  void note_team(int team, const Json& data, std::uint64_t revision);
  void on_team_event(const Json& event);
  void want_allowance();
  [[nodiscard]] Resources could_start(int team) const;
  void on_allow(const Json& body);
  bool give_allowance(int team, int to, double cores, double gpus, bool keep_own = true);
  void commit_allowance(int team, const std::shared_ptr<std::string>& body, const Json& split);
  void reload_team(int team);
  void retry_load(void (Part::*step)());
  void take_up(HeadRecord head, std::uint64_t revision);
  void forget(const std::string& name);
  void watched_up_to(std::uint64_t revision);

  Machine& machine_for(const Report& report);
  void shape_machine(Machine& machine);
  bool take_report(Machine& machine, const Report& report, bool direct);
  void begin_incarnation(Machine& machine, std::uint64_t worker_incarnation);
  void judge_hearing(Machine& machine);
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

  // part_gang.cpp
  [[nodiscard]] static bool attempt_over(const Job& job);
  [[nodiscard]] int gang_tasks_running(const Job& job) const;
  [[nodiscard]] bool has_allowance(const Job& job) const;
  [[nodiscard]] bool gang_may_be_placed(const Job& job) const;
  [[nodiscard]] bool gang_waits(const Job& job) const;
  [[nodiscard]] static bool gang_may_be_launched(const Job& job);
  [[nodiscard]] static GangNeeds gang_needs(const Job& job);
  [[nodiscard]] bool open_to_gang(const Job& job, const Machine& machine) const;
  [[nodiscard]] double fetch_s(const Job& job, const Machine& machine) const;
  bool place_gang(const JobPtr& job);
  void gang_task_lost(Job& job);
  void stop_gang(const JobPtr& job, const char* why);
  void look_after_gangs();
  void look_after_attempt(const JobPtr& job);
  [[nodiscard]] std::vector<std::pair<Machine*, Placement*>> placements_of(const Job& job) const;
  void gangs_written(const std::set<JobPtr>& gangs);
  void stops_written(const std::set<JobPtr>& gangs);
  void release_reservation();
  void reserve_for_gangs();
  [[nodiscard]] std::vector<Machine*> capacity_for(const Job& job) const;
  void reserve_for(const JobPtr& job);
  void seek_capacity();
  Json on_gang_capacity(const Json& body);
  int lend_gangs(const Json& body);
  [[nodiscard]] bool finds_room_here(const Job& job) const;
  [[nodiscard]] std::vector<GangShare> find_offered_places(const Job& job, const Json& offers,
                                                           const std::vector<Resources>& rooms) const;
  void tell_home(const JobPtr& job);
  Json on_gang_state(const Json& body);

  // part_preempt.cpp
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
  void pump();
  bool commit_cancels();
  // part_cancel.cpp
  void cancelled(const JobPtr& job);
  void press_cancels();
  void ask_borrower(const JobPtr& job, int part);
  void look_for_owner(const JobPtr& job, int part, std::uint64_t noted);
  void confirm(const JobPtr& job);
  [[nodiscard]] bool stopped(const Job& job) const;
  bool note_cancels();
  void sweep_freed();
  bool commit_pages();
  struct PageCommit;
  struct PageSplit;
  [[nodiscard]] PageCommit new_page_commit() const;
  void send_page_commit(PageCommit commit);
  bool split_oversized_page();
  [[nodiscard]] PageSplit plan_split(int number, std::size_t limit) const;
  struct NewBlock {
    JobPtr job;
    std::string key;
    int to = 0;
    std::uint64_t to_fencing_token = 0;
  };
  void add_blocks(PageCommit& commit);
  void unlend(const NewBlock& block);
  std::set<JobPtr> add_gangs(PageCommit& commit);
  void add_new_placements(PageCommit& commit);
  void add_notes(PageCommit& commit);
  void clean_pages(PageCommit& commit);
  bool turn_page(PageCommit& commit);
  bool use_newest(PageCommit& commit, std::size_t needs);
  PageRecord page_record(int number) const;
  std::size_t page_bytes(int number) const;
  [[nodiscard]] std::size_t page_limit() const;
  void pages_written(const PageCommit& commit, std::uint64_t revision);
  bool pages_refused(const PageCommit& commit, const std::vector<std::string>& failed);
  [[nodiscard]] double page_gap(std::size_t changes) const;
  [[nodiscard]] bool notes_due();
  [[nodiscard]] bool can_note(const Job& job) const;
  Placement* find_placement(const std::string& machine, std::uint64_t attempt, int index);
  void folded(const JobPtr& job, const std::string& name, const RangeSet& done);
  [[nodiscard]] std::vector<JobPtr> jobs_to_end() const;
  [[nodiscard]] std::size_t changes_to_end(const Job& job) const;
  void add_ending(Transaction& txn, const Job& job, const char* phase) const;
  bool commit_endings();
  void on_ended(const JobPtr& job);
  [[nodiscard]] bool only_cancelled(const std::vector<std::string>& failed) const;
  bool remove_blocks_of_cancelled(const JobPtr& job, std::size_t most);
  // part_progress.cpp
  struct ProgressWrite {
    static constexpr int kMain = -1;
    int part = kMain;
    RangeSet done;  // what is durable with it
  };
  [[nodiscard]] static RangeSet main_progress(const Job& job);
  [[nodiscard]] static int longest_part(const Job& job, const RangeSet& main);
  [[nodiscard]] ProgressWrite add_progress(Transaction& txn, Job& job) const;
  bool commit_progress();
  void discard_progress_parts(const Job& job);
  bool commit_discarded();
  bool commit_rest();
  // `conflict` may settle failed guards on keys of others and return true; otherwise the part is given up.
  using Conflict = std::function<bool(const std::vector<std::string>& failed)>;
  struct Write;
  void send_commit(Lane lane, int slot, const Transaction& txn, std::function<void(std::uint64_t)> done,
                   Conflict conflict = nullptr);
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

  // The page that takes what is new. Every write of the journal puts it, so that of two copies of one write,
  // however late the second, only one can succeed.
  static constexpr int kNewest = 1;
  static constexpr double kLoadRetry = 0.2;
  // Completions are kept by the workers until reaped: writing them a little later loses nothing.
  static constexpr double kNoteDelay = 0.8;
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
  std::map<int, Page> pages_;
  std::deque<NewBlock> new_blocks_;  // lent, not written yet
  struct DiscardedRecord {
    std::string key;
    std::string ref;  // of the job that is over
    std::uint64_t revision = 0;
  };
  std::deque<DiscardedRecord> discarded_;  // to be deleted at leisure
  int next_page_ = kNewest;
  double next_pages_at_ = 0;  // no earlier is the journal written again
  bool pages_timer_ = false;  // a timer runs until then
  bool fresh_ = false;        // there are new placements
  bool freeing_ = false;      // and placements that ended without completing
  double notes_since_ = 0;    // the oldest completion that is not durable; 0: none
  std::string last_written_;  // machine whose new placements went last
  double value_bytes_ = 0;    // the state service takes no larger value
  NameTable images_;
  PreferenceWeights weights_;
  struct EarlyReport {
    Report report;
    bool relayed;
    Responder responder;
  };
  std::vector<EarlyReport> early_;  // reports that came while loading
  // Jobs and blocks that are over here while the watch has yet to tell of their beginning: by name, the
  // revision up to which it may. (A memory of the last 256 was not enough: behind a watch that lagged, older
  // ones came back.)
  std::map<std::string, std::uint64_t> over_ahead_of_watch_;
  std::deque<std::string> returned_order_;  // machines that are gone for good, oldest first:
  std::set<std::string> returned_;          // late copies of their reports still come
  std::vector<WaitingHint> elsewhere_;      // what waits at other parts, as the fleet told last
  double headroom_share_ = 0;               // of our machines' cores, kept free of best-effort work
  bool best_effort_here_ = false;           // a job of ours is best-effort work
  double beyond_headroom_ = 0;              // cores that are free beyond that
  bool waking_ = false;
  int raising_ = 0;         // direct commands under way that only show our token
  bool borrowing_ = false;  // a part was asked and has not answered yet
  double next_borrow_ = 0;
  std::set<int> pressing_;             // teams whose allowance is saved up for a job that starves
  std::map<int, Resources> short_of_;  // by team: what a waiting task needs and the allowance lacks
  std::map<int, Json> splits_;         // by team: its record
  std::set<int> moving_;               // teams of whose allowance we are giving a part away
  // The parts asked last for tasks and for allowance. (With one counter for both, the two took turns: some
  // parts were asked only ever for tasks, and the allowance that they did not use never moved.)
  int asked_for_tasks_ = 0;
  int asked_for_allowance_ = 0;
  int asked_for_capacity_ = 0;  // for a gang
  bool seeking_ = false;        // a part was asked for it and has not answered yet
  double next_seek_ = 0;
  JobPtr reserving_;  // the gang for which machines are kept
  double reserved_at_ = 0;
  enum Slot { kCancelSlot = 0, kPageSlot, kDoneSlot, kRestSlot, kSlots };
  static constexpr int kSlotLimit[kSlots] = {2, 1, 2, 1};
  int inflight_[kSlots] = {};
  double stuck_since_ = 0;  // 0: the last commit was answered
  bool pumping_ = false;
  bool pressing_cancels_ = false;  // a timer runs until the unconfirmed cancellations are looked at again
  Counters counters_;
};

}  // namespace mothslip
