// The last summary that this fleet leader has received from each shard.
#pragma once

#include <map>
#include <string>

#include "coordination/fleet/shard_summary.hpp"
#include "transport/env.hpp"

namespace mothslip {

// The last summary of a shard. Times are in seconds of Env::now().
struct ShardReport {
  ShardSummary summary;
  double received_at = 0;
  double leader_since = 0;  // time of the first summary from the shard's present leader
};

class ShardReports {
 public:
  // All references must outlive this object.
  ShardReports(const Env& env, const Settings& settings, int shard_count);

  // Replaces the shard's summary and the list of its machines. The returned reference is valid until the next
  // summary of the same shard.
  const ShardSummary& update(ShardSummary summary);

  // Returns the reports by shard.
  [[nodiscard]] const std::map<int, ShardReport>& all() const { return reports_; }
  // Returns true if every shard has sent a summary.
  [[nodiscard]] bool is_complete() const { return static_cast<int>(reports_.size()) == shard_count_; }
  [[nodiscard]] int shard_count() const { return shard_count_; }
  // Returns true if the report is recent enough to base decisions on it.
  [[nodiscard]] bool is_recent(const ShardReport& report) const;

  // Returns the machine as in the last summary of its shard, or null if that summary does not contain it.
  [[nodiscard]] const MachineSummary* machine(const std::string& machine_name) const;
  // Returns true if the leader of the machine's shard has sent a summary recently.
  [[nodiscard]] bool has_recent_report(const std::string& machine_name) const;
  // Returns true if the present leader of the machine's shard has led it for longer than a lease. Its summary
  // then contains all machines that are up. A new leader knows the machines with placements from its records,
  // and the others only once they have reported. Until then, a machine that is missing from the summary may
  // be up. In incident db4e, idle machines that were up were returned one second after each failover, as
  // machines that had never booted.
  [[nodiscard]] bool has_complete_report(const std::string& machine_name) const;

 private:
  const Env& env_;
  const Settings& settings_;
  int shard_count_;
  std::map<int, ShardReport> reports_;                     // by shard
  std::map<std::string, const MachineSummary*> machines_;  // the machines in all summaries, by name
};

}  // namespace mothslip
