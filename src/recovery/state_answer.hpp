// Reads records from the state service's answers that only the recovery needs.
#pragma once

#include <optional>

#include "coordination/state/incarnation.hpp"
#include "coordination/state/state_messages.hpp"

namespace mothslip::recovery {

// The record `meta` that was read; nullopt if the read failed, or if this version does not know the format of
// the record.
[[nodiscard]] inline std::optional<MetaRecord> meta_of(const StateReply& reply) {
  if (!reply.ok()) return std::nullopt;
  return MetaRecord::from_json(reply.data());
}

}  // namespace mothslip::recovery
