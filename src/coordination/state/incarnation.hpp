// Incarnations of the records in the state service.
//
// When the service has lost recent records, the rebuilt records form a new incarnation. Their keys have a
// prefix that no earlier key had, and `token_offset` is added to every revision of the service. This has two
// effects:
//  * A delayed transaction from before the loss changes only keys that no controller reads any more.
//  * Fencing tokens, attempt numbers and rental names are derived from revisions. All of them are larger than
//    any earlier one, although the service assigns the same revisions again.
// The callers of StateClient use logical keys and revisions: keys without the prefix, revisions with the
// offset. KeySpace translates between these and the stored keys and revisions of the service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

struct Incarnation {
  int number = 1;
  std::string prefix;                         // of all keys of this incarnation; empty in the first
  std::uint64_t token_offset = 0;             // added to the revisions of the service
  std::vector<std::string> earlier_prefixes;  // of earlier incarnations, where their job endings stay

  [[nodiscard]] bool is_first() const { return number == 1; }
  friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

// The record `meta`, which all incarnations share.
struct MetaRecord {
  int shards = 0;
  Incarnation incarnation;
  // The highest incarnation number for which a rebuild has been started. It is above `incarnation.number`
  // while a rebuild is in progress. The stored field is named "begun".
  int target_incarnation = 1;

  [[nodiscard]] bool is_rebuilding() const { return target_incarnation > incarnation.number; }
  [[nodiscard]] Json to_json() const;
  // Returns nullopt if this version does not know the format of the record.
  static std::optional<MetaRecord> from_json(const Json& value);
};

class KeySpace {
 public:
  explicit KeySpace(Incarnation incarnation = {}) : incarnation_(std::move(incarnation)) {}

  [[nodiscard]] const Incarnation& incarnation() const { return incarnation_; }
  // Returns the stored key for a logical key, or the stored prefix for a prefix of keys. An absolute key
  // ("/e/0/job-1") is the stored key after its leading slash: no incarnation prefix is added.
  [[nodiscard]] std::string stored_key(const std::string& key) const;
  // Returns the keys under which the ending of a job may be recorded: the key of this incarnation, followed
  // by those of earlier incarnations as absolute keys.
  [[nodiscard]] std::vector<std::string> ending_keys(int shard, const std::string& ref) const;
  [[nodiscard]] std::string logical_key(const std::string& stored) const;
  [[nodiscard]] std::uint64_t to_logical_revision(std::uint64_t revision) const;
  [[nodiscard]] std::uint64_t to_stored_revision(std::uint64_t revision) const;
  // Returns the body of a transaction with stored keys and revisions.
  [[nodiscard]] std::string stored_body(std::string body) const;
  // Translates the keys and revisions of a reply in place.
  void translate_reply(Json& body) const;

 private:
  void translate_fields(Json& object) const;

  Incarnation incarnation_;
};

}  // namespace mothslip
