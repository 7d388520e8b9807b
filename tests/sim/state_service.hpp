// The state service of the simulated cluster: a key-value store with revisions, leases and watches, as the
// protocol says; with the faults that a test may give it.
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
  // 0: there is no such key.
  [[nodiscard]] std::uint64_t revision(const std::string& key) const;

  // Every call is answered 503, no lease expires; when it is over, all leases get their full time again.
  void set_outage(bool out);
  double answer_delay_s = 0;       // every answer takes so much longer
  int rate_limited_calls = 0;      // calls answered 429
  int oversized_transactions = 0;  // transactions answered 400 for their size or that of a value
  bool allows_oversized = false;   // without this such a transaction breaks a rule of the simulated cluster
  int requested_changes = 0;       // asked for in transactions
  // From now on; what is stored stays.
  void lower_limits(double value_kb, int txn_ops, double write_rps);
  void corrupt(const std::string& key) { values_[key] = "spoiled"; }  // as if written by something else
  void rewrite_unchanged(const std::string& key);  // the same value under a new revision, by something else
  bool are_watches_paused = false;                 // open watches tell nothing
  void resume_watches();
  // What the service holds now, to be set back to later. It may forget the leases.
  struct Snapshot {
    std::map<std::string, Json> values;
    std::map<std::string, std::uint64_t> revisions;
    std::map<std::string, std::uint64_t> lease_ids;  // of keys that are bound to a lease
    std::map<std::uint64_t, double> leases;          // by id: seconds to live
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
  // False: the rate of writes does not allow so many changes now.
  bool try_take_writes(std::size_t changes);
  // Keys whose revision is another.
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
