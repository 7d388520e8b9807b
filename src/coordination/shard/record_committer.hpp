// Transactions of a shard's leader. Each is repeated until its outcome is certain, and guarded by the
// leader's fencing token. The number of transactions in flight is bounded by kind (slot).
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
  // Kinds of transactions; of each only so many are in flight at a time.
  enum Slot { kCancelSlot = 0, kJournalSlot, kDoneSlot, kRestSlot, kSlotCount };
  // Called when a transaction is refused, with the keys whose guards failed. May settle failed guards on keys
  // of others and return true; otherwise the shard is given up.
  using ConflictHandler = std::function<bool(const std::vector<std::string>& failed)>;
  struct Hooks {
    std::function<void()> send_due_writes;      // room for another transaction, or something to write
    std::function<void()> value_limit_reduced;  // the state service takes smaller values than before
  };
  RecordCommitter(const ShardContext& context, Hooks hooks);

  // Whether another transaction of this kind may be sent.
  [[nodiscard]] bool has_room(Slot slot) const { return inflight_[slot] < kMaxInFlight[slot]; }
  // The largest value that a record may have, in bytes.
  [[nodiscard]] double max_value_bytes() const { return max_value_bytes_; }
  // Sends whatever is due and may be sent.
  void send_due_writes() { hooks_.send_due_writes(); }

  // A transaction that is guarded by the leader's fencing token.
  Transaction guarded_transaction() const;
  // Repeats the transaction until its outcome is certain; `done` gets the revision of the change. Where it is
  // refused and `conflict` does not settle that, the shard is given up.
  void commit(RequestPriority priority, int slot, const Transaction& txn,
              std::function<void(std::uint64_t)> on_done, ConflictHandler on_conflict = nullptr);
  // No transaction has been answered for a while.
  [[nodiscard]] bool state_silent() const;

 private:
  struct Write;
  static constexpr int kMaxInFlight[kSlotCount] = {2, 1, 2, 1};
  void try_commit(const std::shared_ptr<Write>& write);
  void on_refused(const std::shared_ptr<Write>& write, const StateReply& reply);
  bool reduce_write_sizes();
  void find_revision(const std::shared_ptr<Write>& write, std::size_t effect_index, std::uint64_t revision);
  void settle(const Write& write, std::uint64_t revision);

  const ShardContext& ctx_;
  Hooks hooks_;
  CallbackGuard callback_guard_;
  double max_value_bytes_;  // the state service takes no larger value
  int inflight_[kSlotCount] = {};
  double unanswered_since_ = 0;  // seconds of the steady clock; 0: the last commit was answered
};

}  // namespace mothslip
