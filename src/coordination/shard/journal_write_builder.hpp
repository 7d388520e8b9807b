// Fills a write of the journal with what is new: placements, delegations and completions.
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

  // Completions of the job that no record is about to hold.
  [[nodiscard]] static bool needs_journal_entry(const Job& job);
  // Adds the placements that are in no segment yet, as far as the write has room; the rest stays pending.
  void add_new_placements(JournalWrite& write);
  // Adds the pending delegations, as far as the write has room.
  void add_delegations(JournalWrite& write);
  // Adds completions that no other record is about to hold: they must be durable before their exit is
  // acknowledged to the worker.
  void add_completions(JournalWrite& write);
  // The delegation was not written: its tasks still belong to this shard.
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
