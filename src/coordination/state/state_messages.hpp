// Requests to the state service and its answers, as typed values.
//
// The service names the fields of its JSON itself ("k", "stamp", "epoch", "hold", ...); they are written and
// read here and in KeySpace only. Keys and revisions of an answer are those of this node's incarnation:
// StateClient has translated them before anybody sees the answer.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

// What became of a call.
enum class Outcome {
  kOk,
  kMissing,   // 404
  kConflict,  // 409: a guard failed, nothing was changed
  kGone,      // 410
  kInvalid,   // 400, or 400 "no such lease": nothing was changed
  kRefused,   // 429, 503, or refused here: not executed
  kUnknown,   // no response: may have been executed, or may be executed later
};

// The outcome that an HTTP status of the service stands for; 0 is a call that was not answered.
[[nodiscard]] Outcome outcome_of_status(int status);

// One change under a watched prefix.
struct WatchEvent {
  bool put = false;            // false: the key was deleted
  std::string key;             // empty: the service named none
  Json data;                   // null when the key was deleted, or without data
  bool has_data = false;       // the put carried data, be it null
  std::uint64_t revision = 0;  // of the change
};

// One record that a list or scan found.
struct StateItem {
  std::string key;
  Json data;
  std::uint64_t revision = 0;  // of the record's last change
};

struct StateReply {
  Outcome outcome = Outcome::kUnknown;
  Json body;  // an object whenever ok(); otherwise whatever came, also null or discarded

  [[nodiscard]] bool ok() const { return outcome == Outcome::kOk; }
  // The service's revision when it answered, or that of a commit; 0: not told.
  [[nodiscard]] std::uint64_t revision() const { return number("epoch"); }

  // Of the answer to a read of one key: the record is there, and this is it (null when it is not).
  [[nodiscard]] bool has_data() const { return ok() && body.contains("data"); }
  [[nodiscard]] const Json& data() const;
  // Revision of that record's last change; 0: not told.
  [[nodiscard]] std::uint64_t item_revision() const { return number("stamp"); }
  // The lease that was created, or that holds the record; 0: none.
  [[nodiscard]] std::uint64_t lease_id() const { return number("hold"); }

  // Of the answer to a watch, oldest change first; empty when the answer has no events.
  [[nodiscard]] std::vector<WatchEvent> events() const;
  // Of the answer to a list, one page; empty when the answer has no items.
  [[nodiscard]] std::vector<StateItem> take_items();
  // More pages follow that one.
  [[nodiscard]] bool has_more_items() const { return body.value("more", false); }

  // Of the answer to a commit that failed with kConflict: the keys whose guard failed.
  [[nodiscard]] std::vector<std::string> failed_keys() const;

 private:
  [[nodiscard]] std::uint64_t number(const char* field) const {
    return body.is_object() ? body.value(field, std::uint64_t{0}) : 0;
  }
};

// Changes that are made all or none, on the condition that the guarded keys have the given revisions.
// Shards look for something to commit far more often than they find it: a transaction is cheap until it is
// sent.
struct Transaction {
  std::vector<std::pair<std::string, std::uint64_t>> guards;  // key and revision; 0: the key must not exist
  Json changes = Json::array();                               // the changes, as the service takes them

  void guard(const std::string& key, std::uint64_t revision) { guards.emplace_back(key, revision); }
  void put(const std::string& key, Json data) {
    changes.push_back({{"put", key}, {"data", std::move(data)}});
  }
  // The record goes when the lease ends.
  void put_with_lease(const std::string& key, Json data, std::uint64_t lease_id) {
    changes.push_back({{"put", key}, {"data", std::move(data)}, {"hold", lease_id}});
  }
  void remove(const std::string& key) { changes.push_back({{"delete", key}}); }
  // The body of the commit.
  [[nodiscard]] std::string body() const;
};

}  // namespace mothslip
