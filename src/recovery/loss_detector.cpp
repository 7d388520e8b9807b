#include "recovery/loss_detector.hpp"

#include <algorithm>
#include <utility>

namespace mothslip::recovery {

LossDetector::LossDetector(std::uint64_t newest, LossHandler on_loss)
    : newest_revision_(newest), on_loss_(std::move(on_loss)) {}

void LossDetector::on_revision(std::uint64_t newest_when_asked, std::uint64_t revision) {
  if (revision < newest_when_asked) {
    report_loss("the state service answered with revision " + std::to_string(revision) +
                ", although it had reached revision " + std::to_string(newest_when_asked));
    return;
  }
  newest_revision_ = std::max(newest_revision_, revision);
}

void LossDetector::on_peer_revision(std::uint64_t revision) {
  newest_revision_ = std::max(newest_revision_, revision);
}

void LossDetector::on_contradiction(const std::string& what) { report_loss(what); }

void LossDetector::on_other_incarnation() {
  report_loss("the record meta is missing or belongs to another incarnation");
}

void LossDetector::report_loss(const std::string& reason) {
  if (lost_) return;
  lost_ = true;
  on_loss_(reason);
}

}  // namespace mothslip::recovery
