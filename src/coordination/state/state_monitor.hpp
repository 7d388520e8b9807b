// Interface through which a node reports observations that may show that the state service has lost records
// (implemented in src/recovery). A node without a monitor reports nothing and sends no extra requests.
#pragma once

#include <cstdint>
#include <string>

namespace mothslip {

class StateMonitor {
 public:
  StateMonitor() = default;
  StateMonitor(const StateMonitor&) = delete;
  StateMonitor& operator=(const StateMonitor&) = delete;
  virtual ~StateMonitor() = default;

  // Returns the newest revision that any controller or worker is known to have seen.
  [[nodiscard]] virtual std::uint64_t newest_revision() const = 0;
  // Returns true once a loss of records has been detected. The node is about to be stopped and must not drop
  // any shard or lease until then.
  [[nodiscard]] virtual bool is_state_lost() const = 0;
  // Reports that the state service answered at `revision`. `newest_when_sent` is the value of
  // `newest_revision` when the request was sent.
  virtual void on_revision(std::uint64_t newest_when_sent, std::uint64_t revision) = 0;
  // Reports that another controller has seen this revision.
  virtual void on_peer_revision(std::uint64_t revision) = 0;
  // Reports that the state service contradicts a durable answer that it gave earlier.
  virtual void on_contradiction(const std::string& what) = 0;
  // Reports that the `meta` record does not belong to this node's incarnation.
  virtual void on_other_incarnation() = 0;
};

}  // namespace mothslip
