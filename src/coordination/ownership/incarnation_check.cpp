#include "coordination/ownership/incarnation_check.hpp"

#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kRetrySeconds = 0.3;
}  // namespace

std::optional<MetaRecord> IncarnationCheck::read(const Json& meta) const {
  auto record = MetaRecord::from_json(meta);
  if (!record || record->rebuilding()) return std::nullopt;
  if (record->incarnation != state_.key_space().incarnation()) return std::nullopt;
  return record;
}

void IncarnationCheck::confirm(std::function<void()> confirmed, std::function<void()> retry) {
  if (monitor_ == nullptr) return confirmed();
  state_.get(RequestPriority::kLease, keys::kMeta,
             [this, confirmed = std::move(confirmed), retry = std::move(retry)](const StateReply& reply) {
               const bool other = reply.ok() && !read(reply.data());
               if (other || reply.outcome == Outcome::kMissing) return monitor_->on_other_incarnation();
               if (reply.ok()) return confirmed();
               env_.after(kRetrySeconds, retry);
             });
}

}  // namespace mothslip
