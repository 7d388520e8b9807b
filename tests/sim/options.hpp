// What a simulated day begins with: its seed, the faults of the network and the deployment.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mothslip::sim {

// Clocks of nodes and machines run so much slower or faster than the world's.
inline constexpr double kSlowestClockRate = 0.9996;
inline constexpr double kFastestClockRate = 1.0004;

// The operators' bound: seconds after which nothing of a cancelled job runs.
inline constexpr double kMaxCancelSeconds = 42;

struct Options {
  std::uint64_t seed = 1;
  int nodes = 3;
  double message_loss_share = 0.002;  // share of messages, and of answers, that are lost
  double message_copy_share =
      0;                         // share of reports, submissions and cancellations of which a copy comes late
  double commit_copy_share = 0;  // the same for transactions
  double late_commit_share =
      0;  // share of transactions that get no answer and are carried out 2 to 12 s later
  double max_copy_delay_s = 45;  // seconds, at the most
  int jobs = 24;
  int shard_count = 0;  // as recorded before the first start; 0: the nodes decide
  // The deployment.
  int market_machines = 2;  // machines of each type, zone and kind
  std::vector<std::string> zones = {"a", "b"};
  double report_s = 1.5;
  double lease_s = 12;
  double gang_wait_s = 35;
  double gang_peer_s = 5;
  double team_cpus = 24;
  double team_max_cpus = 48;
  double state_rps = 100;
  double write_rps = 30;
  int txn_ops = 24;
  double value_kb = 8;
  // Announced limits (`state.next`); 0: none are.
  double next_value_kb = 0;
  int next_txn_ops = 0;
  double next_write_rps = 0;
  bool earlier_version = false;  // all nodes begin as the version before: Nodes::upgrade
  double cloud_rps = 2;
  std::size_t items_per_page = 7;  // items a page of the state service: small, so that paging is always used
  bool rate_limits = false;        // the state service and the cloud answer 429
  bool external_nodes = false;     // the nodes are not of this world: Network::call_node
  bool recovery = false;           // lost state is noticed and rebuilt
  bool poll_all_nodes =
      false;  // users ask at all nodes around each acceptance, cancellation and end of a job
};

}  // namespace mothslip::sim
