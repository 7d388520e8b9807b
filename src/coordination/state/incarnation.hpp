// Incarnations of the records in the state service.
//
// When the service has lost recent records, the rebuilt ones begin a new incarnation: their keys have a
// prefix that no earlier key had, and every revision counts `token_offset` more than the service says. So
//  * transactions from before the loss, however late, touch keys that nobody reads any more;
//  * fencing tokens, attempt numbers and rental names come from revisions: all are larger than any before,
//    although the service gives its revisions out anew.
// Everything above StateClient works with own keys and offset revisions; KeySpace translates.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

struct Incarnation {
  int number = 1;
  std::string prefix;                         // of its keys; empty in the first incarnation
  std::uint64_t token_offset = 0;             // added to the revisions of the state service
  std::vector<std::string> earlier_prefixes;  // of the incarnations before: job endings stay where they are

  [[nodiscard]] bool is_first() const { return number == 1; }
  friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

// The record `meta`, which every incarnation shares.
struct MetaRecord {
  int shards = 0;
  Incarnation incarnation;
  // The highest incarnation number that anybody has begun to rebuild; above `incarnation.number` while a
  // rebuilding is under way.
  int rebuild_number = 1;

  [[nodiscard]] bool is_rebuilding() const { return rebuild_number > incarnation.number; }
  [[nodiscard]] Json to_json() const;
  // Nothing where the record is of a form that this version does not know.
  static std::optional<MetaRecord> from_json(const Json& value);
};

class KeySpace {
 public:
  explicit KeySpace(Incarnation incarnation = {}) : incarnation_(std::move(incarnation)) {}

  [[nodiscard]] const Incarnation& incarnation() const { return incarnation_; }
  // The key, or prefix of keys, under which the state service holds it. An absolute key ("/e/0/job-1") names
  // what the service holds without the prefix of an incarnation.
  [[nodiscard]] std::string stored_key(const std::string& key) const;
  // Where the ending of a job may be: in this incarnation, then in those before, as absolute keys.
  [[nodiscard]] std::vector<std::string> ending_keys(int shard, const std::string& ref) const;
  [[nodiscard]] std::string logical_key(const std::string& stored) const;
  [[nodiscard]] std::uint64_t to_logical_revision(std::uint64_t revision) const;
  [[nodiscard]] std::uint64_t to_stored_revision(std::uint64_t revision) const;
  // The body of a transaction as the state service has to see it.
  [[nodiscard]] std::string stored_body(std::string body) const;
  // Keys and revisions of an answer, in place.
  void translate_reply(Json& body) const;

 private:
  void translate_fields(Json& object) const;

  Incarnation incarnation_;
};

}  // namespace mothslip
