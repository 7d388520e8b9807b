#include "recovery/loss_detector.hpp"

#include <algorithm>
#include <utility>

namespace mothslip::recovery {

LossDetector::LossDetector(std::uint64_t newest_revision, LossHandler on_loss)
    : newest_revision_(newest_revision), on_loss_(std::move(on_loss)) {}

void LossDetector::on_revision(std::uint64_t newest_when_asked, std::uint64_t revision) {
  if (revision < newest_when_asked) {
    // This text is shown to operators as the reason in the recovery status and stays as it is.
    report_loss("the state service is at revision " + std::to_string(revision) + " after " +
                std::to_string(newest_when_asked));
    return;
  }
  newest_revision_ = std::max(newest_revision_, revision);
}

void LossDetector::on_peer_revision(std::uint64_t revision) {
  newest_revision_ = std::max(newest_revision_, revision);
}

void LossDetector::on_contradiction(const std::string& what) { report_loss(what); }

void LossDetector::on_other_incarnation() {
  // This text is shown to operators as the reason in the recovery status and stays as it is.
  report_loss("meta is missing or of another incarnation");
}

void LossDetector::report_loss(const std::string& reason) {
  if (lost_) return;
  lost_ = true;
  on_loss_(reason);
}

}  // namespace mothslip::recovery
