// What a node tells whoever watches for lost state (src/recovery): everything that can contradict what the
// state service has said before. Without such a watcher nothing is told, and nothing is asked for its sake.
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

  // The newest revision that anybody is known to have seen.
  [[nodiscard]] virtual std::uint64_t newest_revision() const = 0;
  // State was found to be lost: the node is about to be stopped and must not give anything up meanwhile.
  [[nodiscard]] virtual bool is_state_lost() const = 0;
  // The state service was at `revision` when it answered; `newest_when_asked` was known when it was asked.
  virtual void on_revision(std::uint64_t newest_when_sent, std::uint64_t revision) = 0;
  // Another controller has seen this revision.
  virtual void on_peer_revision(std::uint64_t revision) = 0;
  // The service contradicts a durable answer of its own.
  virtual void on_contradiction(const std::string& what) = 0;
  // `meta` is not that of this node's incarnation.
  virtual void on_other_incarnation() = 0;
};

}  // namespace mothslip
