// Commits the transactions of a shard's leader. Each is guarded by the leader's fencing token and repeated
// until its outcome is certain. The number of transactions in flight is limited for each kind (slot).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/state/state_client.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class RecordCommitter {
 public:
  // Kinds of transactions: cancellations; journal writes; endings, progress and delegation records;
  // everything else.
  enum Slot { kCancelSlot = 0, kJournalSlot, kCompletionSlot, kOtherSlot, kSlotCount };
  // Called when a transaction was rejected, with the keys whose guards failed (none if it was too large).
  // Returns true if it has handled the rejection. Otherwise the shard is restarted.
  using ConflictHandler = std::function<bool(const std::vector<std::string>& failed)>;
  struct Hooks {
    std::function<void()> send_due_writes;      // a transaction has finished, or something is due
    std::function<void()> value_limit_reduced;  // max_value_bytes() has been reduced
  };
  RecordCommitter(const ShardContext& context, Hooks hooks);

  [[nodiscard]] bool has_room(Slot slot) const { return inflight_[slot] < kMaxInFlight[slot]; }
  // Maximum size of a record's value.
  [[nodiscard]] double max_value_bytes() const { return max_value_bytes_; }
  // Sends all writes that are due and that the slots have room for.
  void send_due_writes() { hooks_.send_due_writes(); }

  // Returns an empty transaction that is guarded by the leader's fencing token.
  Transaction guarded_transaction() const;
  // Repeats the transaction until its outcome is certain. Calls `on_done` with the revision of the change if
  // it succeeded. If it was rejected and `on_conflict` does not handle the rejection, restarts the shard.
  void commit(RequestPriority priority, int slot, const Transaction& txn,
              std::function<void(std::uint64_t)> on_done, ConflictHandler on_conflict = nullptr);
  // Whether the state service has neither executed nor rejected a transaction for some time.
  [[nodiscard]] bool is_state_service_unresponsive() const;

 private:
  struct Write;
  static constexpr int kMaxInFlight[kSlotCount] = {2, 1, 2, 1};
  void try_commit(const std::shared_ptr<Write>& write);
  void on_refused(const std::shared_ptr<Write>& write, const StateReply& reply);
  void report_contradiction(const Write& write, const std::vector<std::string>& failed) const;
  bool reduce_write_sizes();
  void find_revision(const std::shared_ptr<Write>& write, std::size_t effect_index, std::uint64_t revision);
  void settle(const Write& write, std::uint64_t revision);

  const ShardContext& ctx_;
  Hooks hooks_;
  CallbackGuard callback_guard_;
  double max_value_bytes_;
  int inflight_[kSlotCount] = {};
  // Env time since which attempts to commit have been unanswered or turned away because of overload; 0: the
  // last transaction has a certain outcome.
  double unanswered_since_ = 0;
};

}  // namespace mothslip
