// Checks whether the record `meta` belongs to the incarnation in which this node works.
//
// A different incarnation means that lost records are being rebuilt, or have been. The rebuild needs the
// state that this node holds in memory, so the node must not drop it then (src/recovery).
#pragma once

#include <functional>
#include <optional>

#include "coordination/state/state_client.hpp"

namespace mothslip {

class IncarnationCheck {
 public:
  // `monitor` is null if this node does not monitor for lost state.
  IncarnationCheck(Env& env, StateClient& state, StateMonitor* monitor)
      : env_(env), state_(state), monitor_(monitor) {}

  // Returns the record, or nullopt if its format is unknown, it belongs to another incarnation, or a rebuild
  // is in progress.
  [[nodiscard]] std::optional<MetaRecord> read_current(const Json& meta) const;

  // Reads `meta` from the state service and calls `confirmed` if it belongs to this incarnation; otherwise
  // notifies the monitor. If the service does not answer, calls `retry` after a short delay. Without a
  // monitor nothing is read, and `confirmed` is called before this function returns.
  void confirm(std::function<void()> confirmed, std::function<void()> retry);

 private:
  Env& env_;
  StateClient& state_;
  StateMonitor* monitor_;
};

}  // namespace mothslip
