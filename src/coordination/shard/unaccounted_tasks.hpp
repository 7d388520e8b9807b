// An operator's decisions about tasks that could not be accounted for when lost records were rebuilt.
#pragma once

#include <string>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class Cancellation;
class RecordCommitter;

class UnaccountedTasks {
 public:
  UnaccountedTasks(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                   Cancellation& cancellation);
  enum class Decision { kDone, kRerun, kCancelled };

  // An operator's decision about the tasks that are held of a job: all count as done, all are started, or the
  // job is cancelled. False: nothing of the job is held here. Safe to repeat; durable a moment later.
  bool resolve(const std::string& ref, Decision decision);

 private:
  void count_held_as_done(const JobPtr& job);
  void rerun_held(const JobPtr& job);
  void resolve_without_description(const std::string& ref, Decision decision);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  Cancellation& cancellation_;
};

}  // namespace mothslip
