// The records about owners in the state service, under keys::kShardOwners, and the parser for their keys.
//
//   parts/P      OwnerRecord of shard P, attached to the owner's lease; its revision is the fencing token
//   parts/@NODE  NodeAnnouncement of a live node, attached to its lease
#pragma once

#include <optional>
#include <string>

#include "protocol/messages.hpp"

namespace mothslip {

struct OwnerRecord {
  std::string node;
  std::string boot_id;  // distinguishes the process that claimed the shard from others of the same node

  [[nodiscard]] Json to_json() const;
  // Reads missing fields as empty: the owner of a rebuilt incarnation (kRebuiltOwner) has no boot id.
  static OwnerRecord from_json(const Json& value);
};

struct NodeAnnouncement {
  std::string boot_id;          // as in OwnerRecord
  bool supports_gangs = false;  // earlier versions do not write this field

  [[nodiscard]] Json to_json() const;
  // Returns nullopt if the value is not an object.
  static std::optional<NodeAnnouncement> from_json(const Json& value);
};

// The node or the shard that a key under keys::kShardOwners names.
struct OwnerKey {
  std::string node;  // the node of an announcement; empty if the key names a shard
  int shard = 0;
};
// Returns nullopt if the key names neither, or if the shard number is not below `shard_count`.
std::optional<OwnerKey> parse_owner_key(const std::string& key, int shard_count);

namespace keys {
std::string announcement(const std::string& node);
}  // namespace keys

}  // namespace mothslip
