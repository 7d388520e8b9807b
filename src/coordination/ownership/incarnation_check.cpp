#include "coordination/ownership/incarnation_check.hpp"

#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kRetryDelaySeconds = 0.3;
}  // namespace

std::optional<MetaRecord> IncarnationCheck::read_current(const Json& meta) const {
  auto record = MetaRecord::from_json(meta);
  if (!record || record->is_rebuilding()) return std::nullopt;
  if (record->incarnation != state_.key_space().incarnation()) return std::nullopt;
  return record;
}

void IncarnationCheck::confirm(std::function<void()> confirmed, std::function<void()> retry) {
  if (monitor_ == nullptr) return confirmed();
  state_.get(RequestPriority::kLease, keys::kMeta,
             [this, confirmed = std::move(confirmed), retry = std::move(retry)](const StateReply& reply) {
               const bool is_other = reply.ok() && !read_current(reply.data());
               if (is_other || reply.outcome == Outcome::kMissing) return monitor_->on_other_incarnation();
               if (reply.ok()) return confirmed();
               env_.after(kRetryDelaySeconds, retry);
             });
}

}  // namespace mothslip
