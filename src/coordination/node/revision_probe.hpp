// Reads of the state service's revision for whoever watches for lost state (StateMonitor). Without a monitor
// nothing is read.
#pragma once

#include <cstdint>

#include "coordination/state/state_client.hpp"

namespace mothslip {

class RevisionProbe {
 public:
  // `monitor` may be null; it and the references must outlive the probe.
  RevisionProbe(Env& env, StateClient& state, StateMonitor* monitor)
      : env_(env), state_(state), monitor_(monitor) {}

  // Reads the revision at intervals from now on, the first time after one interval.
  void start();
  // A worker has shown this revision, in a fencing token or an attempt number. One that is newer than any
  // known is checked against the service.
  void check_reported(std::uint64_t revision);

 private:
  void read_at_intervals();

  Env& env_;
  StateClient& state_;
  StateMonitor* monitor_;
  bool is_checking_ = false;  // a read for `check_reported` is under way
};

}  // namespace mothslip
