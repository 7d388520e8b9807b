// Applies operators' decisions about tasks that could not be accounted for when lost records were rebuilt.
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

  // Applies an operator's decision about the held tasks of a job: all are marked done, all are run again, or
  // the job is cancelled. Returns false if no task of the job is held at this shard. The call can be
  // repeated. The decision becomes durable after the call has returned.
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
