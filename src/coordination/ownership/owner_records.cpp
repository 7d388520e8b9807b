#include "coordination/ownership/owner_records.hpp"

#include <cstdlib>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr char kAnnouncementMark = '@';
}  // namespace

Json OwnerRecord::to_json() const { return {{"node", node}, {"boot", boot_id}}; }

OwnerRecord OwnerRecord::from_json(const Json& value) {
  return {value.value("node", ""), value.value("boot", "")};
}

Json NodeAnnouncement::to_json() const {
  Json out = {{"boot", boot_id}};
  if (supports_gangs) out["gangs"] = true;
  return out;
}

std::optional<NodeAnnouncement> NodeAnnouncement::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  return NodeAnnouncement{value.value("boot", ""), value.value("gangs", false)};
}

std::optional<OwnerKey> parse_owner_key(const std::string& key, int shard_count) {
  if (key.size() <= keys::kShardOwners.size()) return std::nullopt;
  const std::string name = key.substr(keys::kShardOwners.size());
  if (name.size() > 1 && name.front() == kAnnouncementMark) return OwnerKey{name.substr(1), 0};
  const int shard = std::atoi(name.c_str());
  if (shard < 0 || shard >= shard_count) return std::nullopt;
  return OwnerKey{"", shard};
}

std::string keys::announcement(const std::string& node) { return kShardOwners + kAnnouncementMark + node; }

}  // namespace mothslip
