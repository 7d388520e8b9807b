// Adds new placements, delegations and completions to a journal write.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "coordination/shard/journal_segments.hpp"
#include "coordination/shard/journal_write.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class TaskDelegation;

class JournalWriteBuilder {
 public:
  JournalWriteBuilder(const ShardContext& context, ShardModel& model, TaskDelegation& delegation,
                      JournalSegments& segments, PendingJournalChanges& pending);

  // Whether the job has completions that must be written to the journal, because no other record is about to
  // contain them.
  [[nodiscard]] static bool needs_journal_entry(const Job& job);
  // Adds the placements that are not in any segment yet, up to the limits of the write. The others stay
  // pending.
  void add_new_placements(JournalWrite& write);
  // Adds the pending delegations, up to the limits of the write.
  void add_delegations(JournalWrite& write);
  // Adds the completions that no other record is about to contain. They must be durable before the exits of
  // the tasks are acknowledged to the workers.
  void add_completions(JournalWrite& write);
  // Takes back the tasks of a delegation that will not be written. They still belong to this shard.
  void revoke_delegation(const NewDelegation& delegation);

 private:
  [[nodiscard]] std::vector<Machine*> machines_with_new_placements();
  bool add_machine_placements(JournalWrite& write, Machine& machine, const std::set<JobPtr>& gangs);
  std::set<JobPtr> add_gangs(JournalWrite& write);

  const ShardContext& ctx_;
  ShardModel& model_;
  TaskDelegation& delegation_;
  JournalSegments& segments_;
  PendingJournalChanges& pending_;
};

}  // namespace mothslip
