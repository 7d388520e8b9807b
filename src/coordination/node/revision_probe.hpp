// Reads the revision of the state service for the StateMonitor, which detects lost state. Reads nothing if
// there is no monitor.
#pragma once

#include <cstdint>

#include "coordination/state/state_client.hpp"

namespace mothslip {

class RevisionProbe {
 public:
  // `monitor` may be null. The monitor and the references must outlive this object.
  RevisionProbe(Env& env, StateClient& state, StateMonitor* monitor)
      : env_(env), state_(state), monitor_(monitor) {}

  // Starts reading the revision at intervals, the first time after one interval.
  void start();
  // Checks a revision that a worker has reported, in a fencing token or an attempt number. A revision newer
  // than any known one is compared with that of the state service.
  void check_reported(std::uint64_t revision);

 private:
  void read_at_intervals();

  Env& env_;
  StateClient& state_;
  StateMonitor* monitor_;
  bool is_checking_ = false;  // a read for `check_reported` is in progress
};

}  // namespace mothslip
