// Applies the outcome of a journal write to the model: the whole write is durable, or all of it was rejected.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "coordination/shard/journal_segments.hpp"
#include "coordination/shard/journal_write.hpp"
#include "coordination/shard/journal_write_builder.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class DelegatedJobCheck;
class GangScheduler;
class WorkerCommands;

class JournalOutcome {
 public:
  // Collaborators that act on changes that have become durable.
  struct Collaborators {
    GangScheduler& gangs;
    DelegatedJobCheck& delegated_jobs;
    WorkerCommands& commands;
  };
  JournalOutcome(const ShardContext& context, ShardModel& model, Collaborators collaborators,
                 JournalSegments& segments, JournalWriteBuilder& builder, PendingJournalChanges& pending);

  // Called when the write is durable at this revision. Its new placements may now be launched, and the
  // placements that it removed are dropped.
  void on_written(const JournalWrite& write, std::uint64_t revision);
  // Called when the write was rejected. `failed` contains the keys whose guards failed; it is empty if the
  // transaction was too large. If cancellations and deposed leaders of other shards explain every failed
  // guard, undoes the write in memory and returns true. Otherwise returns false and changes nothing.
  bool on_refused(const JournalWrite& write, const std::vector<std::string>& failed);

 private:
  [[nodiscard]] std::set<JobPtr> mark_recorded(const JournalWrite& write);
  [[nodiscard]] std::set<JobPtr> mark_stops_recorded(const JournalWrite& write);
  void drop_removed_placements(const JournalWrite& write);
  [[nodiscard]] bool explains_refusal(const JournalWrite& write, const std::string& key,
                                      std::set<JobPtr>& delegated_here) const;
  void undo_delegations(const JournalWrite& write, const std::set<std::string>& failed);
  void undo_added_placements(const JournalWrite& write, const std::set<std::string>& failed);
  void mark_segments_for_rewrite(const JournalWrite& write);

  const ShardContext& ctx_;
  ShardModel& model_;
  GangScheduler& gangs_;
  DelegatedJobCheck& delegated_jobs_;
  WorkerCommands& commands_;
  JournalSegments& segments_;
  JournalWriteBuilder& builder_;
  PendingJournalChanges& pending_;
};

}  // namespace mothslip
