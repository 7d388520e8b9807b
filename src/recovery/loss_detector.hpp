// Notices that the state service has lost recent records.
//
// What proves it, and nothing else does:
//  * a revision lower than one that somebody had seen before the question was asked: revisions only rise;
//  * a lease that ended before its time, or a segment of a shard's journal that somebody other than its owner
//    has changed: what the service answered is no longer so;
//  * a `meta` that is missing, or of another incarnation.
// An outage, a lost or late answer and a watch that is too old are none of these.
#pragma once

#include <functional>
#include <string>

#include "coordination/state/state_monitor.hpp"

namespace mothslip::recovery {

class LossDetector final : public StateMonitor {
 public:
  // Called once, from within whatever the node was doing: it must not destroy the node there.
  using LossHandler = std::function<void(const std::string& reason)>;
  // `newest`: the newest revision that is known to begin with.
  LossDetector(std::uint64_t newest, LossHandler on_loss);

  [[nodiscard]] std::uint64_t newest() const override { return newest_revision_; }
  [[nodiscard]] bool lost() const override { return lost_; }
  void on_revision(std::uint64_t newest_when_asked, std::uint64_t revision) override;
  void on_peer_revision(std::uint64_t revision) override;
  void on_contradiction(const std::string& what) override;
  void on_other_incarnation() override;

 private:
  void report_loss(const std::string& reason);

  std::uint64_t newest_revision_;  // revision that anybody is known to have seen
  bool lost_ = false;
  LossHandler on_loss_;
};

}  // namespace mothslip::recovery
