// Whether the record `meta` is that of the incarnation in which this node works.
//
// Another one tells that lost records are being rebuilt, or have been: what this node knows is needed then
// and must not be given up (src/recovery).
#pragma once

#include <functional>
#include <optional>

#include "coordination/state/state_client.hpp"

namespace mothslip {

class IncarnationCheck {
 public:
  // `monitor`: null when nobody watches for lost state.
  IncarnationCheck(Env& env, StateClient& state, StateMonitor* monitor)
      : env_(env), state_(state), monitor_(monitor) {}

  // The record, unless it is of another form or incarnation, or a rebuilding is under way.
  [[nodiscard]] std::optional<MetaRecord> read_current(const Json& meta) const;

  // Reads `meta` from the state service and calls `confirmed` when it is that of this incarnation. Otherwise
  // the monitor is told; without an answer `retry` is called a little later. Nothing is asked without a
  // monitor: `confirmed` is then called from within.
  void confirm(std::function<void()> confirmed, std::function<void()> retry);

 private:
  Env& env_;
  StateClient& state_;
  StateMonitor* monitor_;
};

}  // namespace mothslip
