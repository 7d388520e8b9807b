// The leader of one shard: the actor that alone decides about the shard's jobs and machines, as long as it
// holds the shard's fencing token. It wires the collaborators together; each has state of its own and one
// job.
//
// Rules that they keep together (docs/design.md has the reasoning):
//  * a launch is sent only after the machine's record with the placement is committed, by a transaction that
//  also
//    guards the ownership and the job record;
//  * a placement is given up only on evidence, never on silence alone;
//  * a task goes back to waiting only after the record without its placement is durable;
//  * the exit of a task is acknowledged only after its completion is durable.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/shard/cancellation.hpp"
#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/job_completion.hpp"
#include "coordination/shard/journal.hpp"
#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/preemptor.hpp"
#include "coordination/shard/progress_records.hpp"
#include "coordination/shard/quota_shares.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_loader.hpp"
#include "coordination/shard/shard_model.hpp"
#include "coordination/shard/summary_builder.hpp"
#include "coordination/shard/task_delegation.hpp"
#include "coordination/shard/task_placement.hpp"
#include "coordination/shard/unaccounted_tasks.hpp"
#include "coordination/shard/worker_commands.hpp"
#include "coordination/shard/worker_liveness.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class ShardLeader {
 public:
  using Context = ShardContext;
  using Counters = ShardCounters;
  using HeldDecision = UnaccountedTasks::Decision;

  // `id`: the shard's number. `fencing_token`: the revision at which the shard was claimed.
  ShardLeader(Context context, int id, std::uint64_t fencing_token);
  ~ShardLeader();
  ShardLeader(const ShardLeader&) = delete;
  ShardLeader& operator=(const ShardLeader&) = delete;

  // Reads the shard's records; the leader becomes active once it knows them all.
  void load();
  [[nodiscard]] bool active() const { return model_.active(); }
  [[nodiscard]] std::uint64_t fencing_token() const { return ctx_.fencing_token; }
  [[nodiscard]] int id() const { return ctx_.shard; }

  // A worker's heartbeat. `relayed`: through another node, which waits only so long; such a report is not
  // held for new work.
  void on_report(Report report, bool relayed, Responder responder);
  // A job that this node has accepted; the answer to that write may be older than what the watch has told.
  void admit(JobRecord job_record, std::uint64_t revision);
  // What may be told about a job of this shard as long as nobody else can own the shard.
  [[nodiscard]] JobFinding find(const std::string& ref) const;
  [[nodiscard]] bool has_job(const std::string& ref) const { return model_.jobs().count(ref) > 0; }
  // Answers the responder once the cancellation is durable and all who may run tasks of the job know of it,
  // or shortly with 503. The job must be known.
  void cancel(const std::string& ref, Responder responder);
  // What another shard's leader asks; the answer to it. `path` as in Context::ask.
  Json on_peer_request(const std::string& path, const Json& body);

  // For the fleet manager, and what it orders in return.
  [[nodiscard]] ShardSummary summary() const;
  void apply(const FleetOrders& orders);

  // What is known of the shard's jobs, machines and tasks.
  [[nodiscard]] ShardMemory memory() const { return model_.memory(); }
  // An operator's decision about the tasks that are held of a job since lost records were rebuilt: all count
  // as done, all are started, or the job is cancelled. False: nothing of the job is held here. Safe to
  // repeat; durable a moment later.
  bool resolve_held(const std::string& ref, HeldDecision decision);

  // No commit has been answered for a while.
  [[nodiscard]] bool state_silent() const { return committer_.state_silent(); }
  [[nodiscard]] const Counters& counters() const { return model_.counters(); }

 private:
  struct EarlyReport {
    Report report;
    bool relayed;
    Responder responder;
  };

  static ShardContext with_identity(Context context, int id, std::uint64_t fencing_token);
  void on_loaded();
  Json dispatch(const std::string& path, const Json& body);
  void tick();
  void requeue_due_tasks(const JobPtr& job);
  void send_due_writes();
  [[nodiscard]] double report_hold_s(const Machine& machine) const;

  const ShardContext ctx_;
  CallbackGuard callback_guard_;
  ShardModel model_;
  RecordCommitter committer_;
  Journal journal_;
  ProgressRecords progress_;
  JobCompletion completion_;
  Cancellation cancellation_;
  PlacementRules rules_;
  TaskPlacement placement_;
  GangScheduler gangs_;
  Preemptor preemptor_;
  TaskDelegation delegation_;
  QuotaShares quotas_;
  WorkerLiveness liveness_;
  WorkerCommands commands_;
  ShardLoader loader_;
  UnaccountedTasks unaccounted_tasks_;
  SummaryBuilder summaries_;
  std::vector<EarlyReport> early_reports_;  // that came while loading
  bool sending_writes_ = false;
};

}  // namespace mothslip
