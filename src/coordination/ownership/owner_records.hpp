// What the state service holds about owners, under keys::kShardOwners, and the reading of watch keys there.
//
//   parts/P      OwnerRecord of shard P, under the owner's lease; its revision is the shard's fencing token
//   parts/@NODE  NodeAnnouncement: the node lives; under its lease too
#pragma once

#include <optional>
#include <string>

#include "protocol/messages.hpp"

namespace mothslip {

struct OwnerRecord {
  std::string node;
  std::string boot_id;  // tells the process that took the shard from other processes of the same node

  [[nodiscard]] Json to_json() const;
  // Missing fields are read as empty: the owner of a rebuilt incarnation (kRebuiltOwner) has no boot.
  static OwnerRecord from_json(const Json& value);
};

struct NodeAnnouncement {
  std::string boot_id;          // as in OwnerRecord
  bool supports_gangs = false;  // it can run gangs; earlier versions say nothing of them

  [[nodiscard]] Json to_json() const;
  // Nothing where the value is no object.
  static std::optional<NodeAnnouncement> from_json(const Json& value);
};

// What a key under keys::kShardOwners is about.
struct OwnerKey {
  std::string node;  // of an announcement; empty: the key is that of a shard
  int shard = 0;
};
// Nothing where the key names neither, or a shard that is not one of `shard_count`.
std::optional<OwnerKey> parse_owner_key(const std::string& key, int shard_count);

namespace keys {
std::string announcement(const std::string& node);
}  // namespace keys

}  // namespace mothslip
