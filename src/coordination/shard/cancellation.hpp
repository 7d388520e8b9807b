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
  // Answers users that wait for the job's cancellation longer than they should, and drops answered ones.
  void expire_waiters(Job& job);

  // Answers the responder once the cancellation is durable and all who may run tasks of the job know of it,
  // or shortly with 503. The job must be known.
  void cancel(const std::string& ref, Responder responder);
  // Writes the next cancellation that a user has asked for; false: there is none.
  bool commit_cancels();
  // At home: it is durable now, or was when it was loaded.
  void on_cancellation_durable(const JobPtr& job);
  // Looks at every cancellation that is not confirmed yet.
  void retry_cancellations();
  void confirm(const JobPtr& job);
  // Delegate: the home's owner says that a job is cancelled.
  CancellationReply on_job_cancelled(const CancellationNotice& notice);
  // Delegate: where the home cannot reach this leader, it reads that it knows. (A delegation without tasks on
  // machines is deleted instead.)
  bool record_seen_cancellations();

 private:
  void ask_delegate(const JobPtr& job, int shard);
  void check_owner_changed(const JobPtr& job, int shard, std::uint64_t noted);
  [[nodiscard]] bool tasks_stopped(const Job& job) const;

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  TaskDelegation& delegation_;
  WorkerCommands& commands_;
  CallbackGuard alive_;
  bool cancellation_timer_armed_ = false;  // until the unconfirmed cancellations are looked at again
};

}  // namespace mothslip
