// Decides what a node does with a report from a worker whose shard another node owns.
//
// Normally the worker is redirected to the owner. An owner that its workers cannot reach, while its lease in
// the state service and its links to the other nodes are fine, would otherwise lose all of its machines: they
// would be redirected to it again and again until their leases are over. Their reports are then relayed to
// the owner, which answers them as usual; the decision never changes who owns the shard.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mothslip {

// Times are in seconds, by any one clock.
class ReportRelay {
 public:
  enum class Route {
    kRedirect,  // tell the worker to report to the owner
    kRelay,     // pass the report on to the owner, and its answer back
    kNextNode,  // the owner cannot be reached from here either: another node may do better
  };

  // A report as far as the decision needs it.
  struct ReportInfo {
    std::string machine_name;
    std::uint64_t token = 0;  // the highest fencing token that the worker has seen
    std::string owner;        // node that owns the worker's shard
    std::uint64_t owner_token = 0;
  };

  // A heartbeat: `owner` is alive, and holds shards under these tokens.
  void on_owner_heartbeat(const std::string& owner, const std::vector<std::uint64_t>& tokens, double now);
  // A relayed report got no answer from `owner`.
  void on_relay_failed(const std::string& owner) { last_heartbeat_at_.erase(owner); }

  // To be asked once for each report: the decision goes by the earlier ones.
  Route route(const ReportInfo& report, double now);
  // Machines that are remembered; for tests.
  [[nodiscard]] std::size_t size() const { return machines_.size(); }

 private:
  static constexpr double kNever = -1e9;
  // What is remembered of a machine whose worker came here.
  struct RelayedMachine {
    std::uint64_t owner_token = 0;     // of the shard's owner then; with another the rest counts for nothing
    double last_redirect_at = kNever;  // last
    double relay_until = kNever;       // its reports are relayed until then
    double last_report_at = kNever;
  };

  // The owner with this token has been there for long enough to have served its workers.
  [[nodiscard]] bool has_settled(std::uint64_t token, double now) const;
  // The owner was heard from a short while ago.
  [[nodiscard]] bool is_reachable(const std::string& owner, double now) const;
  void evict_stale_machines(double now);

  std::map<std::string, RelayedMachine> machines_;       // by name
  std::map<std::uint64_t, double> token_first_seen_at_;  // owners' tokens, and when each was first seen here
  std::map<std::string, double> last_heartbeat_at_;      // by node: when it was heard last
  double next_eviction_at_ = 0;
};

}  // namespace mothslip
