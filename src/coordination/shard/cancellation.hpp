// A cancellation is told to users only once it is durable and every shard that may hold tasks of the job has
// taken note: a delegate that the state service refuses would otherwise go on renewing the leases of machines
// that run cancelled tasks, and so it did, through an outage longer than cancel_s.
//
// Taken note has a delegate whose owner has answered the home's message while its lease was valid, or whose
// key showed that very owner, or no owner, or a later one, after the cancellation: who owns the shard later
// loads its records later. One that shrank, completed or deleted its delegation, or wrote the cancellation
// into it, has shown it too. (Owners that were deposed before are bounded by
// Ownership::may_renew_worker_leases.)
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
