// Accessors for the fields of the state service's answers that the recovery reads.
#pragma once

#include <cstdint>

#include "coordination/state/state_client.hpp"

namespace mothslip::recovery {

// The value stored under the key that was read; null if the answer has none.
[[nodiscard]] inline Json stored_data(const StateReply& reply) { return reply.body.value("data", Json()); }

// The revision of the last write of the key that was read.
[[nodiscard]] inline std::uint64_t stored_revision(const StateReply& reply) {
  return reply.body.value("stamp", std::uint64_t{0});
}

// The id of the lease that was created; 0 if none was.
[[nodiscard]] inline std::uint64_t created_lease(const StateReply& reply) {
  return reply.ok() ? reply.body.value("hold", std::uint64_t{0}) : 0;
}

// The record `meta` that was read; nullopt if the read failed, or if this version does not know the format of
// the record.
[[nodiscard]] inline std::optional<MetaRecord> meta_of(const StateReply& reply) {
  if (!reply.ok()) return std::nullopt;
  return MetaRecord::from_json(stored_data(reply));
}

}  // namespace mothslip::recovery
