// Requests to the state service and its replies, as typed values.
//
// The state service defines the names of the JSON fields ("k", "stamp", "epoch", "hold", ...). Only this file
// and KeySpace write and read them. StateClient translates the keys and revisions of each reply into those of
// this node's incarnation before it passes the reply on.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

// The result of a call.
enum class Outcome {
  kOk,
  kMissing,   // 404
  kConflict,  // 409: a guard failed, and nothing was changed
  kGone,      // 410
  kInvalid,   // 400, also for an unknown lease: nothing was changed
  kRefused,   // 429, 503, or refused by this node's request queue: the call was not executed
  kUnknown,   // no conclusive response: the call may have been executed, or may be executed later
};

// Returns the outcome that an HTTP status of the service stands for. Status 0 is a call without an answer.
[[nodiscard]] Outcome outcome_of_status(int status);

// One change under a watched prefix.
struct WatchEvent {
  bool is_put = false;         // false: the key was deleted
  std::string key;             // empty if the service named no key
  Json data;                   // null if the key was deleted or the put carried no data
  bool has_data = false;       // true if the put carried data, even a null value
  std::uint64_t revision = 0;  // revision of the change
};

// One record that a list or a scan returned.
struct StateItem {
  std::string key;
  Json data;
  std::uint64_t revision = 0;  // revision of the record's last change
};

struct StateReply {
  Outcome outcome = Outcome::kUnknown;
  Json body;  // an object if ok(); otherwise the parsed body, which may be null or discarded

  [[nodiscard]] bool ok() const { return outcome == Outcome::kOk; }
  // Returns the revision of the service when it answered, or the revision of a commit; 0 if not given.
  [[nodiscard]] std::uint64_t revision() const { return number("epoch"); }

  // For the reply to a read of one key: whether the record exists, and the record itself (null if it does not
  // exist).
  [[nodiscard]] bool has_data() const { return ok() && body.contains("data"); }
  [[nodiscard]] const Json& data() const;
  // Returns the revision of that record's last change; 0 if not given.
  [[nodiscard]] std::uint64_t item_revision() const { return number("stamp"); }
  // Returns the lease that was created, or the lease to which the record is attached; 0 if there is none.
  [[nodiscard]] std::uint64_t lease_id() const { return number("hold"); }

  // For the reply to a watch: returns the changes, oldest first; empty if the reply has no events.
  [[nodiscard]] std::vector<WatchEvent> events() const;
  // For the reply to a list: moves out the items of this page; empty if the reply has no items.
  [[nodiscard]] std::vector<StateItem> take_items();
  // For the reply to a list of the prefix `key`: turns it into the reply to a read of that key, with the
  // revision of the service.
  [[nodiscard]] StateReply take_record(const std::string& key) &&;
  // For the reply to a list: returns true if more pages follow.
  [[nodiscard]] bool has_more_items() const { return body.value("more", false); }

  // For the reply to a commit that failed with kConflict: returns the keys whose guards failed.
  [[nodiscard]] std::vector<std::string> failed_keys() const;

 private:
  [[nodiscard]] std::uint64_t number(const char* field) const {
    return body.is_object() ? body.value(field, std::uint64_t{0}) : 0;
  }
};

// Changes that the service makes atomically, provided that the guarded keys have the given revisions.
// Shards check for work to commit far more often than they find any, so an unsent transaction is cheap.
struct Transaction {
  // Pairs of key and revision; revision 0 means that the key must not exist.
  std::vector<std::pair<std::string, std::uint64_t>> guards;
  Json changes = Json::array();  // the changes, in the JSON form of the service

  void guard(const std::string& key, std::uint64_t revision) { guards.emplace_back(key, revision); }
  void put(const std::string& key, Json data) {
    changes.push_back({{"put", key}, {"data", std::move(data)}});
  }
  // The service deletes the record when the lease ends.
  void put_with_lease(const std::string& key, Json data, std::uint64_t lease_id) {
    changes.push_back({{"put", key}, {"data", std::move(data)}, {"hold", lease_id}});
  }
  void remove(const std::string& key) { changes.push_back({{"delete", key}}); }
  // Returns the body of the commit request.
  [[nodiscard]] std::string body() const;
};

}  // namespace mothslip
