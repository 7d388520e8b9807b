// The last summary of every shard, as far as its leader has sent one to this fleet leader.
#pragma once

#include <map>
#include <string>

#include "coordination/fleet/shard_summary.hpp"
#include "transport/env.hpp"

namespace mothslip {

// The last summary of a shard and when it came. Times are seconds of Env::now().
struct ShardReport {
  ShardSummary summary;
  double received_at = 0;
  double leader_since = 0;  // first summary from the shard's present leader
};

class ShardReports {
 public:
  // The arguments outlive this object.
  ShardReports(const Env& env, const Settings& settings, int shard_count);

  // Replaces the shard's summary, and what was known of its machines. The summary stays where it is until the
  // shard's next one.
  const ShardSummary& update(ShardSummary summary);

  // By shard.
  [[nodiscard]] const std::map<int, ShardReport>& all() const { return reports_; }
  [[nodiscard]] bool is_complete() const { return static_cast<int>(reports_.size()) == shard_count_; }
  [[nodiscard]] int shard_count() const { return shard_count_; }
  // The report is recent enough to act on it.
  [[nodiscard]] bool is_recent(const ShardReport& report) const;

  // The machine in the last summary of its shard; null when that does not name it.
  [[nodiscard]] const MachineSummary* machine(const std::string& machine_name) const;
  // The leader of the machine's shard has sent a summary lately.
  [[nodiscard]] bool has_recent_report(const std::string& machine_name) const;
  // The leader of the machine's shard has led it for longer than a lease, so that it knows all machines that
  // are up. A new leader knows those with placements from its records, the others once they report: of what
  // it does not name yet, nothing is concluded before. (Incident db4e: idle machines that were up went back
  // as "never came up" a second after each failover.)
  [[nodiscard]] bool has_complete_report(const std::string& machine_name) const;

 private:
  const Env& env_;
  const Settings& settings_;
  int shard_count_;
  std::map<int, ShardReport> reports_;                     // by shard
  std::map<std::string, const MachineSummary*> machines_;  // those in the summaries, by name
};

}  // namespace mothslip
