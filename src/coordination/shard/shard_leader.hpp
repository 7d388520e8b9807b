// The leader of one shard. It alone decides about the shard's jobs and machines, as long as it holds the
// shard's fencing token. It connects its collaborators, each of which has its own state and one
// responsibility.
//
// Together they keep these rules (see docs/design.md for the reasoning):
//  * A launch is sent only after the record that contains the placement is committed, by a transaction that
//    also guards the ownership and the job record.
//  * A placement is freed only on evidence that it is over, never on silence alone.
//  * A task waits again only after the record without its placement is durable.
//  * The exit of a task is acknowledged only after its completion is durable.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/shard/cancellation.hpp"
#include "coordination/shard/delegated_job_check.hpp"
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

  // `id` is the shard's number. `fencing_token` is the revision at which the shard was claimed.
  ShardLeader(Context context, int id, std::uint64_t fencing_token);
  ~ShardLeader();
  ShardLeader(const ShardLeader&) = delete;
  ShardLeader& operator=(const ShardLeader&) = delete;

  // Reads the shard's records. The leader becomes active once it has read all of them.
  void load();
  [[nodiscard]] bool active() const { return model_.active(); }
  [[nodiscard]] std::uint64_t fencing_token() const { return ctx_.fencing_token; }
  [[nodiscard]] int id() const { return ctx_.shard; }

  // Handles a worker's heartbeat. `relayed`: it came through another node. Such a report is not held until
  // there is work, because that node waits only for a limited time.
  void on_report(Report report, bool relayed, Responder responder);
  // Adds a job that this node has accepted. The watch may already have delivered later changes, because the
  // answer to the write of the job record can be late.
  void admit(JobRecord job_record, std::uint64_t revision);
  // Returns the status of a job of this shard that may be reported to users. Valid only while no other node
  // can own the shard.
  [[nodiscard]] JobFinding find(const std::string& ref) const;
  [[nodiscard]] bool has_job(const std::string& ref) const { return model_.jobs().count(ref) > 0; }
  // Answers with success once the cancellation is durable and every shard that may run tasks of the job has
  // acknowledged it, or with 503 after a short time. The job must be known to this leader.
  void cancel(const std::string& ref, Responder responder);
  // Handles a request of another shard's leader and returns the answer. `path`: see Context::call_leader.
  Json on_peer_request(const std::string& path, const Json& body);

  // The summary is sent to the fleet manager, which answers with the orders that apply() takes.
  [[nodiscard]] ShardSummary summary() const;
  void apply(const FleetOrders& orders);

  // Returns what this leader knows of the shard's jobs, machines and tasks.
  [[nodiscard]] ShardMemory memory() const { return model_.memory(); }
  // Applies an operator's decision about the tasks of a job that are held because they could not be accounted
  // for when lost records were rebuilt. Either all of them are marked done, or all are run again, or the job
  // is cancelled. Returns false if no task of the job is held at this shard. The call can be repeated. The
  // decision becomes durable after the call has returned.
  bool resolve_held(const std::string& ref, HeldDecision decision);

  // Whether no commit has been answered for a while.
  [[nodiscard]] bool is_state_service_unresponsive() const {
    return committer_.is_state_service_unresponsive();
  }
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
  DelegatedJobCheck delegated_jobs_;
  QuotaShares quotas_;
  WorkerLiveness liveness_;
  WorkerCommands commands_;
  ShardLoader loader_;
  UnaccountedTasks unaccounted_tasks_;
  SummaryBuilder summaries_;
  std::vector<EarlyReport> early_reports_;  // received while loading
  bool sending_writes_ = false;
};

}  // namespace mothslip
