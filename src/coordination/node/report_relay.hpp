// Decides how a node handles a report from a worker whose shard another node owns.
//
// Normally the worker is redirected to the owner. If the owner is unreachable for its workers while its lease
// and its connections to the other nodes are intact, redirecting them repeatedly until their leases expire
// would cost the owner all its machines. In that case, their reports are relayed to the owner, which answers
// them as usual. The decision never changes which node owns the shard.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mothslip {

// All times are in seconds, by the same clock.
class ReportRelay {
 public:
  enum class Route {
    kRedirect,  // redirect the worker to the owner
    kRelay,     // forward the report to the owner, and its answer to the worker
    kNextNode,  // refer the worker to another node, because this node cannot reach the owner either
  };

  // The part of a report that the decision depends on.
  struct ReportInfo {
    std::string machine_name;
    std::uint64_t token = 0;  // the highest fencing token that the worker has seen
    std::string owner;        // the node that owns the worker's shard
    std::uint64_t owner_token = 0;
  };

  // Records a heartbeat of `owner`, which holds shards with these fencing tokens.
  void on_owner_heartbeat(const std::string& owner, const std::vector<std::uint64_t>& tokens, double now);
  // Records that `owner` did not answer a relayed report.
  void on_relay_failed(const std::string& owner) { last_heartbeat_at_.erase(owner); }

  // Must be called exactly once for each report, because the decision depends on the earlier reports.
  Route route(const ReportInfo& report, double now);
  // Returns the number of machines whose state is kept; for tests.
  [[nodiscard]] std::size_t size() const { return machines_.size(); }

 private:
  static constexpr double kNever = -1e9;
  // The state that is kept for a machine whose worker has reported to this node.
  struct RelayedMachine {
    std::uint64_t owner_token = 0;  // of the shard's owner then; if it changes, the fields below are reset
    double last_redirect_at = kNever;
    double relay_until = kNever;  // its reports are relayed until this time
    double last_report_at = kNever;
  };

  // Returns true if the owner with this token has held the shard for long enough to have served its workers.
  [[nodiscard]] bool has_settled(std::uint64_t token, double now) const;
  // Returns true if the owner has sent a heartbeat within the time-out.
  [[nodiscard]] bool is_reachable(const std::string& owner, double now) const;
  void evict_stale_machines(double now);

  std::map<std::string, RelayedMachine> machines_;  // by name
  // By fencing token of an owner: when this node first received it.
  std::map<std::uint64_t, double> token_first_seen_at_;
  std::map<std::string, double> last_heartbeat_at_;  // by node
  double next_eviction_at_ = 0;
};

}  // namespace mothslip
