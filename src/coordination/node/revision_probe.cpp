#include "coordination/node/revision_probe.hpp"

namespace mothslip {

namespace {
constexpr double kIntervalSeconds = 2.0;
}  // namespace

void RevisionProbe::start() {
  if (monitor_ != nullptr) env_.after(kIntervalSeconds, [this] { read_at_intervals(); });
}

// Other calls return the revision only occasionally. A decrease must be detected before other writes raise
// the revision again. The state client passes the revision of the answer on to the monitor, so the callback
// is empty.
void RevisionProbe::read_at_intervals() {
  state_.read_revision(RequestPriority::kLease, [](std::optional<std::uint64_t>) {});
  env_.after(kIntervalSeconds, [this] { read_at_intervals(); });
}

// Fencing tokens and attempt numbers are revisions, so a reported one cannot exceed the current revision of
// the state service, which is read here. The monitor also receives the answer from the state client, but
// without the reported revision.
void RevisionProbe::check_reported(std::uint64_t revision) {
  if (monitor_ == nullptr || revision <= monitor_->newest_revision() || is_checking_) return;
  is_checking_ = true;
  state_.read_revision(RequestPriority::kLease, [this, revision](std::optional<std::uint64_t> current) {
    is_checking_ = false;
    if (current) monitor_->on_revision(revision, *current);
  });
}

}  // namespace mothslip
