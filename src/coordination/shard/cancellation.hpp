// Cancellation of jobs. A cancellation is confirmed to users only once it is durable and every shard that may
// hold tasks of the job has acknowledged it. Otherwise a delegate that the state service refuses would
// continue to renew the leases of machines that run cancelled tasks. That happened, throughout an outage
// longer than cancel_s.
//
// A delegate has acknowledged the cancellation in each of these cases:
// - Its owner has answered the home shard's message while the owner's lease was valid.
// - After the cancellation, the owner key of its shard showed the owner that had answered, a later owner or
//   none. A node that becomes the owner later also loads the records of the shard later.
// - The delegate has reduced, completed or deleted its delegation, or has written the cancellation into it.
// Owners that were deposed earlier are covered by Ownership::may_renew_worker_leases.
#pragma once

#include <string>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_messages.hpp"
#include "coordination/shard/shard_model.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class RecordCommitter;
class TaskDelegation;
class WorkerCommands;

class Cancellation {
 public:
  Cancellation(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
               TaskDelegation& delegation, WorkerCommands& commands);
  // Answers the users who have waited too long for the job's cancellation, and removes answered waiters.
  void expire_waiters(Job& job);

  // Answers the responder once the cancellation is durable and all shards that may run tasks of the job have
  // acknowledged it, or after a short wait with 503. The job must be known.
  void cancel(const std::string& ref, Responder responder);
  // Writes the next cancellation that a user has requested. Returns false if there is none.
  bool commit_cancellations();
  // Home: called when the cancellation has become durable, or was durable when the job was loaded.
  void on_cancellation_durable(const JobPtr& job);
  // Checks every cancellation that is not confirmed yet, and asks the delegates whose acknowledgement is
  // missing.
  void retry_cancellations();
  void confirm(const JobPtr& job);
  // Delegate: handles the home shard's message that a job is cancelled.
  CancellationReply on_job_cancelled(const CancellationNotice& notice);
  // Delegate: writes the acknowledgement into the delegation record, so that a home shard that cannot reach
  // this leader can read it. A delegation without placed tasks is deleted instead. Returns false if there is
  // nothing to write.
  bool record_acknowledgements();

 private:
  void ask_delegate(const JobPtr& job, int shard);
  void check_owner_changed(const JobPtr& job, int shard, std::uint64_t acknowledging_token);
  [[nodiscard]] bool tasks_stopped(const Job& job) const;

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  TaskDelegation& delegation_;
  WorkerCommands& commands_;
  CallbackGuard callback_guard_;
  bool cancellation_timer_armed_ = false;  // until unconfirmed cancellations are checked again
};

}  // namespace mothslip
