#include "coordination/fleet/shard_reports.hpp"

#include <utility>

#include "protocol/names.hpp"

namespace mothslip {

namespace {
constexpr double kReportValidSeconds = 5.0;  // older summaries are not used for decisions
}

ShardReports::ShardReports(const Env& env, const Settings& settings, int shard_count)
    : env_(env), settings_(settings), shard_count_(shard_count) {}

const ShardSummary& ShardReports::update(ShardSummary summary) {
  const int shard = summary.shard;
  for (auto it = machines_.begin(); it != machines_.end();) {
    it = shard_of(it->first, shard_count_) == shard ? machines_.erase(it) : std::next(it);
  }
  ShardReport& report = reports_[shard];
  report.received_at = env_.now();
  const bool new_leader = report.leader_since == 0 || report.summary.fencing_token != summary.fencing_token;
  if (new_leader) report.leader_since = report.received_at;
  report.summary = std::move(summary);
  for (const MachineSummary& machine : report.summary.machines) machines_[machine.name] = &machine;
  return report.summary;
}

bool ShardReports::is_recent(const ShardReport& report) const {
  return env_.now() - report.received_at <= kReportValidSeconds;
}

const MachineSummary* ShardReports::machine(const std::string& machine_name) const {
  const auto it = machines_.find(machine_name);
  return it == machines_.end() ? nullptr : it->second;
}

bool ShardReports::has_recent_report(const std::string& machine_name) const {
  const auto it = reports_.find(shard_of(machine_name, shard_count_));
  return it != reports_.end() && env_.now() - it->second.received_at < kReportValidSeconds;
}

bool ShardReports::has_complete_report(const std::string& machine_name) const {
  const auto it = reports_.find(shard_of(machine_name, shard_count_));
  return it != reports_.end() && env_.now() - it->second.leader_since > settings_.lease_s;
}

}  // namespace mothslip
