// Finds out what has become of a job whose tasks are delegated to this shard, when its job record is not as
// the delegation says.
//
// A write that was refused because of the job record, or a list without it, does not show that the job was
// cancelled: the state service may have lost records. Only the record of the cancellation, or of the job's
// ending, shows that. If there is neither, the state service contradicts its earlier answers, because a job
// record changes only with a cancellation and is deleted only together with the write of the ending.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class TaskDelegation;

class DelegatedJobCheck {
 public:
  DelegatedJobCheck(const ShardContext& context, TaskDelegation& delegation)
      : ctx_(context), delegation_(delegation) {}

  // Reads the records of the job, which must be delegated to this shard, until its state is certain. Nothing
  // is placed for the job meanwhile (Job::record_check_inflight). Has no effect if the job is known to be
  // over or is already being checked.
  void check(const JobPtr& job);

 private:
  void read_job_record(const JobPtr& job);
  void on_job_record(const JobPtr& job, const StateReply& reply);
  // `keys`: the keys at which the ending may be stored. Those before index `next` have been read without
  // success.
  void read_ending(const JobPtr& job, std::vector<std::string> keys, std::size_t next);
  void on_ending(const JobPtr& job, const StateReply& reply);
  void retry(const JobPtr& job);
  void on_contradiction(const JobPtr& job, const char* finding);

  const ShardContext& ctx_;
  TaskDelegation& delegation_;
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
