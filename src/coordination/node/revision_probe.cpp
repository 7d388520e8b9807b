#include "coordination/node/revision_probe.hpp"

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kIntervalSeconds = 2.0;
}  // namespace

void RevisionProbe::start() {
  if (monitor_ != nullptr) env_.after(kIntervalSeconds, [this] { read_at_intervals(); });
}

// Other calls tell the revision only now and then; one that falls has to be noticed before others raise it
// again. (The state client passes the answer's revision on to the monitor.)
void RevisionProbe::read_at_intervals() {
  state_.get(RequestPriority::kLease, keys::kRevisionProbe, [](const StateReply&) {});
  env_.after(kIntervalSeconds, [this] { read_at_intervals(); });
}

// Fencing tokens and attempt numbers come from revisions: what a worker shows is no newer than the service,
// which is asked now. (The answer itself goes to the monitor too, which does not know of what was shown.)
void RevisionProbe::check_reported(std::uint64_t revision) {
  if (monitor_ == nullptr || revision <= monitor_->newest_revision() || is_checking_) return;
  is_checking_ = true;
  state_.get(RequestPriority::kLease, keys::kRevisionProbe, [this, revision](const StateReply& reply) {
    is_checking_ = false;
    if (reply.outcome == Outcome::kMissing) monitor_->on_revision(revision, reply.revision());
  });
}

}  // namespace mothslip
