// The state service of the simulated cluster: a key-value store with revisions, leases and watches, as the
// protocol specifies, and with faults that a test can inject.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip::sim {

class World;

class StateService {
 public:
  using Reply = std::function<void(int status, Json body)>;
  explicit StateService(World& world);
  void handle(const std::string& method, const std::string& target, const std::string& body,
              const Reply& reply);
  [[nodiscard]] const std::map<std::string, Json>& values() const { return values_; }
  // Returns the revision of the key, or 0 if the key does not exist.
  [[nodiscard]] std::uint64_t revision(const std::string& key) const;

  // Starts or ends an outage. During an outage every call is answered 503 and no lease expires. When it
  // ends, all leases are extended by their full time to live.
  void set_outage(bool out);
  // Additional delay of every answer.
  double answer_delay_s = 0;
  int rate_limited_calls = 0;      // answered 429
  int oversized_transactions = 0;  // answered 400 for their size or that of a value
  // Whether an oversized transaction is permitted. Otherwise it is a violation.
  bool allows_oversized = false;
  // Changes requested in transactions.
  int requested_changes = 0;
  // Lowers the limits from now on. Stored values stay.
  void lower_limits(double value_kb, int txn_ops, double write_rps);
  // Overwrites the value as a foreign writer would.
  void corrupt(const std::string& key) { values_[key] = "spoiled"; }
  // Stores the same value under a new revision, as a foreign writer would.
  void rewrite_unchanged(const std::string& key);
  // While true, open watches report no changes.
  bool are_watches_paused = false;
  void resume_watches();
  // The content of the service, which a test can restore later, with or without its leases.
  struct Snapshot {
    std::map<std::string, Json> values;
    std::map<std::string, std::uint64_t> revisions;
    // Keys that are bound to a lease, with the lease's id.
    std::map<std::string, std::uint64_t> lease_ids;
    // Time to live in seconds by lease id.
    std::map<std::uint64_t, double> leases;
    std::uint64_t revision = 1;
    std::uint64_t next_lease = 1;
  };
  [[nodiscard]] Snapshot snapshot() const;
  void restore(const Snapshot& snapshot);
  void clear() { restore({}); }

 private:
  struct Watch {
    std::string prefix;
    std::uint64_t from;
    Reply reply;
    bool is_closed = false;
  };
  struct Lease {
    double ttl_s;
    double expires_at;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    Json event;
  };
  void open_watch(const std::string& target, const Reply& reply);
  void list_keys(const std::string& target, const Reply& reply);
  void read_key(const std::string& key, const Reply& reply);
  void commit(const Json& transaction, const std::string& text, const Reply& reply);
  void grant_lease(const Json& request, const Reply& reply);
  void renew_lease(std::uint64_t id, const Reply& reply);

  [[nodiscard]] bool exceeds_limits(const Json& changes, std::size_t conditions) const;
  // Takes the changes from the write budget, or returns false if the write rate does not allow them now.
  bool try_take_writes(std::size_t changes);
  // Returns the guarded keys whose revision differs from the expected one.
  [[nodiscard]] Json failed_guards(const Json& transaction) const;
  [[nodiscard]] bool has_unknown_lease(const Json& changes) const;
  void apply(const Json& change);

  void expire_leases();
  void record_change(const std::string& key, Json event);
  void serve_watches();
  bool answer_watch(Watch& watch);
  void erase(const std::string& key);

  World& world_;
  std::map<std::string, Json> values_;
  std::map<std::string, std::uint64_t> revisions_;
  std::map<std::string, std::uint64_t> lease_ids_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  bool outage_ = false;
  TokenBucket call_limiter_;
  TokenBucket write_limiter_;
  double value_kb_;
  std::size_t txn_ops_;
};

}  // namespace mothslip::sim
