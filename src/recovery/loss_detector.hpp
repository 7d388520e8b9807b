// Detects that the state service has lost recent records.
//
// Only the following observations prove a loss:
//  * The service answers with a revision lower than one that was known before the request was sent. Revisions
//    only increase.
//  * A lease ended before its expiry, or a process other than the owner of a shard changed a segment of the
//    shard's journal. Both contradict an earlier answer of the service.
//  * The record `meta` is missing or belongs to another incarnation.
// An outage, a lost or late answer or a watch whose start revision is too old does not prove a loss.
#pragma once

#include <functional>
#include <string>

#include "coordination/state/state_monitor.hpp"

namespace mothslip::recovery {

class LossDetector final : public StateMonitor {
 public:
  // Called once, from within a call of the node, so the handler must not destroy the node.
  using LossHandler = std::function<void(const std::string& reason)>;
  // `newest_revision` is the newest revision known at the start.
  LossDetector(std::uint64_t newest_revision, LossHandler on_loss);

  [[nodiscard]] std::uint64_t newest_revision() const override { return newest_revision_; }
  [[nodiscard]] bool is_state_lost() const override { return lost_; }
  void on_revision(std::uint64_t newest_when_asked, std::uint64_t revision) override;
  void on_peer_revision(std::uint64_t revision) override;
  void on_contradiction(const std::string& what) override;
  void on_other_incarnation() override;

 private:
  void report_loss(const std::string& reason);

  std::uint64_t newest_revision_;  // newest revision that any process is known to have seen
  bool lost_ = false;
  LossHandler on_loss_;
};

}  // namespace mothslip::recovery
