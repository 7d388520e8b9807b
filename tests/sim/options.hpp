// Options of a simulated scenario: its seed, the faults of the network and the deployment.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mothslip::sim {

// Range of the speeds of nodes' and machines' clocks relative to the simulation's clock.
inline constexpr double kSlowestClockRate = 0.9996;
inline constexpr double kFastestClockRate = 1.0004;

// The operators' bound for cancellation: after this time no task of a cancelled job may run.
inline constexpr double kMaxCancelSeconds = 42;

struct Options {
  std::uint64_t seed = 1;
  int nodes = 3;
  // Share of requests and of answers that are lost.
  double message_loss_share = 0.002;
  // Share of reports, submissions and cancellations that are followed by a late duplicate.
  double message_duplicate_share = 0;
  // Share of transactions that are followed by a late duplicate.
  double commit_duplicate_share = 0;
  // Share of transactions that get no answer and are applied 2 to 12 s late.
  double late_commit_share = 0;
  double max_duplicate_delay_s = 45;
  int jobs = 24;
  // Number of shards recorded before the first start. With 0, the nodes choose it.
  int shard_count = 0;
  // Settings of the deployment.
  // Machines that can be rented per type, zone and kind.
  int market_machines = 2;
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
  // Announced limits (`state.next`). With 0, no limit is announced.
  double next_value_kb = 0;
  int next_txn_ops = 0;
  double next_write_rps = 0;
  // All nodes start as the earlier version; see Nodes::upgrade.
  bool runs_earlier_version = false;
  double cloud_rps = 2;
  // Page size of the state service. It is small so that every list needs paging.
  std::size_t items_per_page = 7;
  // The state service and the cloud answer 429 above their rates.
  bool enforces_rate_limits = false;
  // The nodes run outside of this simulation; see Network::send_to_external_node.
  bool has_external_nodes = false;
  // Loss of the state service's data is detected and the records are rebuilt.
  bool recovery = false;
  // Users poll all nodes around each acceptance, cancellation and end of a job.
  bool poll_all_nodes = false;
};

}  // namespace mothslip::sim
