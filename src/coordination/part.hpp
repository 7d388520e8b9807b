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
#include <string>
#include <unordered_map>
#include <vector>

#include "bookkeeping/ledger.hpp"
#include "coordination/state_client.hpp"
#include "protocol/names.hpp"

namespace mothslip {

struct JobView {
  const char* phase = "queued";
  int done = 0;
  int running = 0;
};

class Part {
 public:
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    NameTable* halls = nullptr;
    std::function<bool()> lease_valid;
    std::function<void(std::string why)> abdicate;
    std::function<void(std::uint64_t baton)> deposed;  // a worker has seen a higher token
    std::function<void(const std::string& ref, const char* phase, int pieces)> ended;
  };
  Part(Context context, int id, std::uint64_t baton);
  ~Part();
  Part(const Part&) = delete;
  Part& operator=(const Part&) = delete;

  void load();
  [[nodiscard]] bool active() const { return active_; }
  [[nodiscard]] std::uint64_t baton() const { return baton_; }
  [[nodiscard]] int id() const { return id_; }

  void on_report(Report report, Responder responder);
  void admit(HeadRecord head, std::uint64_t stamp);
  [[nodiscard]] std::optional<JobView> view(const std::string& ref) const;
  [[nodiscard]] bool knows(const std::string& ref) const { return jobs_.count(ref) > 0; }
  // Answers the responder once the cancellation is durable. The job must be known.
  void cancel(const std::string& ref, Responder responder);

  // For the fleet.
  [[nodiscard]] const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
  [[nodiscard]] const std::map<std::string, JobPtr>& jobs() const { return jobs_; }
  [[nodiscard]] const TeamLedger& teams() const { return teams_; }
  void set_winding(const std::string& host, bool winding);
  void set_draining(const std::string& host, bool draining);
  // The cloud confirmed that the machine and everything on it are gone.
  void machine_gone(const std::string& host);
  // No commit has been answered for a while.
  [[nodiscard]] bool state_silent() const;

  struct Counters {
    std::uint64_t reports = 0, launches = 0, completions = 0, fetches = 0, errors = 0, freed_by_lease = 0,
                  freed_by_tenure = 0, freed_by_return = 0, relaunches = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  void load_heads();
  void load_progress();
  void load_hosts();
  void go_active();
  void watch_heads();
  void on_head_event(const Json& event);
  void add_job(HeadRecord head, std::uint64_t stamp);
  void retry_load(void (Part::*step)());
  void forget(const std::string& ref);

  Machine& machine_for(const Report& report);
  void shape_machine(Machine& machine);
  bool take_report(Machine& machine, const Report& report, bool direct);
  void on_exit(Machine& machine, Placement& placement, ExitCause cause);
  void mark_done(const JobPtr& job, int index);
  void free_placement(Machine& machine, Placement& placement, double delay);
  void drop_placement(Machine& machine, std::size_t at);
  void requeue(const JobPtr& job, int index, double delay);
  void fill(Machine& machine);
  [[nodiscard]] bool needs_type(const Job& job, int type) const;
  [[nodiscard]] bool allowed_on(const Job& job, const Machine& machine) const;
  [[nodiscard]] static bool flexible(const Job& job);
  [[nodiscard]] bool keeps_for_large(const Machine& machine) const;
  void answer(Machine& machine);
  std::vector<Order> orders_for(Machine& machine);
  void raise_baton(Machine& machine);
  void stop_directly(const JobPtr& job);
  void send_direct(Machine& machine, const std::vector<Order>& orders);

  void tick();
  void pump();
  bool commit_cancels();
  bool commit_launches();
  bool commit_dones();
  bool commit_rest();
  void send_commit(Lane lane, int slot, Transaction txn, std::function<void(std::uint64_t)> done);
  void try_commit(Lane lane, int slot, std::shared_ptr<std::string> body, int writes,
                  std::function<void(std::uint64_t)> done);
  Transaction guarded() const;
  template <typename F>
  auto alive(F f) {
    return [token = std::weak_ptr<bool>(alive_), f = std::move(f)](auto&&... args) {
      if (!token.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  Context ctx_;
  int id_;
  std::uint64_t baton_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool active_ = false;
  std::uint64_t next_try_ = 0;
  std::uint64_t heads_epoch_ = 0;
  std::map<std::string, JobPtr> jobs_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  TeamLedger teams_;
  NameTable bundles_;
  PreferenceWeights weights_;
  std::vector<std::pair<Report, Responder>> early_;  // reports that came while loading
  std::deque<std::string> recently_ended_;
  int inflight_[4] = {0, 0, 0, 0};
  double stuck_since_ = 0;  // 0: the last commit was answered
  bool pumping_ = false;
  Counters counters_;
};

}  // namespace mothslip
