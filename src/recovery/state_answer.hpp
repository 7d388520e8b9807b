// The fields of the state service's answers that the rebuilding reads.
#pragma once

#include <cstdint>

#include "coordination/state/state_client.hpp"

namespace mothslip::recovery {

// What is stored under the key that was read; null where the answer names nothing.
[[nodiscard]] inline Json stored_data(const StateReply& reply) { return reply.body.value("data", Json()); }

// The revision of the last write of the key that was read.
[[nodiscard]] inline std::uint64_t stored_revision(const StateReply& reply) {
  return reply.body.value("stamp", std::uint64_t{0});
}

// The lease that was created; 0: none.
[[nodiscard]] inline std::uint64_t created_lease(const StateReply& reply) {
  return reply.ok() ? reply.body.value("hold", std::uint64_t{0}) : 0;
}

// `meta` as it was read; nothing where it was not, or has a form that this version does not know.
[[nodiscard]] inline std::optional<MetaRecord> meta_of(const StateReply& reply) {
  if (!reply.ok()) return std::nullopt;
  return MetaRecord::from_json(stored_data(reply));
}

}  // namespace mothslip::recovery
