#include "coordination/shard/quota_shares.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
// Quota is transferred in steps of 1/64 core or GPU, so that sums are exact.
constexpr double kStepsPerUnit = 64;
double round_down_to_step(double amount) { return std::floor(amount * kStepsPerUnit + 1e-9) / kStepsPerUnit; }
}  // namespace

QuotaShares::QuotaShares(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                         PlacementRules& rules)
    : ctx_(context), model_(model), committer_(committer), rules_(rules) {}

void QuotaShares::load(const std::vector<StateItem>& items) {
  const int team_count = static_cast<int>(model_.teams().size());
  for (const StateItem& item : items) {
    const int team = std::atoi(item.key.c_str() + keys::kQuotaSplits.size());
    if (team >= 0 && team < team_count) read_split(team, item.data, item.revision);
  }
  for (int team = 0; team < team_count; team++) {
    if (splits_.count(team) == 0) set_split(team, even_split(team), 0);
  }
}

QuotaSplit QuotaShares::even_split(int team) const {
  const Team& limits = ctx_.settings->teams[static_cast<std::size_t>(team)];
  const double cores = round_down_to_step(limits.cpus_max / ctx_.shard_count);
  const double gpus = round_down_to_step(limits.gpus_max / ctx_.shard_count);
  const int others = ctx_.shard_count - 1;
  QuotaSplit out;
  out.cores.assign(static_cast<std::size_t>(ctx_.shard_count), cores);
  out.gpus.assign(static_cast<std::size_t>(ctx_.shard_count), gpus);
  // The first shard gets the remainder that does not divide evenly.
  out.cores[0] = limits.cpus_max - cores * others;
  out.gpus[0] = limits.gpus_max - gpus * others;
  return out;
}

void QuotaShares::set_split(int team, const QuotaSplit& split, std::uint64_t revision) {
  const auto index = static_cast<std::size_t>(ctx_.shard);
  if (index >= split.cores.size() || index >= split.gpus.size()) {
    spdlog::error("quota split record {} is ignored: it has no entry for this shard",
                  keys::quota_split(team));
    return;
  }
  model_.teams().set_quota(team, split.cores[index], split.gpus[index], revision);
  splits_[team] = split;
}

void QuotaShares::read_split(int team, const Json& record, std::uint64_t revision) {
  try {
    set_split(team, QuotaSplit::from_json(record), revision);
  } catch (const MalformedMessage&) {
    spdlog::error("quota split record {} is ignored: it is malformed", keys::quota_split(team));
  }
}

void QuotaShares::on_quota_event(const Json& event) {
  if (!event.contains("put") || !event.contains("data")) return;
  const int team = std::atoi(event["put"].get_ref<const std::string&>().c_str() + keys::kQuotaSplits.size());
  const auto revision = event.value("stamp", std::uint64_t{0});
  if (team < 0 || team >= static_cast<int>(model_.teams().size()) ||
      revision <= model_.teams().revision(team))
    return;
  if (transferring_teams_.count(team) > 0) return;  // the transfer in flight detects the change
  read_split(team, event["data"], revision);
}

void QuotaShares::add_shortage(const Job& job) {
  if (rules_.is_starving(job)) {
    // Other shards are asked for the quota that this job alone needs to start: one task, or a whole gang.
    shortages_[job.team] = job.start_demand();
    starving_teams_.insert(job.team);
    return;
  }
  if (starving_teams_.count(job.team) > 0) return;
  Resources& needed = shortages_[job.team];
  for (std::size_t r = 0; r < 3; r++) needed[r] = std::max(needed[r], job.demand[r] * job.waiting.size());
}

// Returns how much of the free room on the shard's machines the team's waiting tasks could use.
Resources QuotaShares::startable_demand(int team) const {
  Resources room{};
  for (const auto& [name, machine] : model_.machines()) {
    if (machine->type < 0 || !machine->schedulable() || !machine->has_reported) continue;
    for (std::size_t r = 0; r < room.size(); r++) room[r] += std::max(0.0, machine->room[r]);
  }
  Resources wanted{};
  for (const auto& [name, job] : model_.jobs()) {
    if (job->is_over() || job->cancelling || job->team != team || job->is_faulty()) continue;
    for (std::size_t r = 0; r < room.size(); r++) wanted[r] += job->demand[r] * job->waiting.size();
  }
  for (std::size_t r = 0; r < room.size(); r++) wanted[r] = std::min(wanted[r], room[r]);
  return wanted;
}

void QuotaShares::request_quota() {
  if (shortages_.empty() || committer_.is_state_service_unresponsive()) return;
  last_shard_asked_ = ctx_.next_shard(last_shard_asked_);
  QuotaRequest request{ctx_.shard, {}};
  for (const auto& [team, needed] : shortages_) {
    const double spare_cores = model_.teams().spare_cores(team);
    const double spare_gpus = model_.teams().spare_gpus(team);
    QuotaShortfall want{
        team, needed[0] - spare_cores, needed[2] - spare_gpus, starving_teams_.count(team) > 0, {}};
    if (want.starving) {
      const Resources startable = startable_demand(team);
      want.startable_shortfall = QuotaAmount{startable[0] - spare_cores, startable[2] - spare_gpus};
    }
    request.shortfalls.push_back(want);
  }
  shortages_.clear();
  starving_teams_.clear();
  ctx_.call_leader(last_shard_asked_, peer_paths::kQuotaRequest, request.to_json(), [](const Json&) {});
}

void QuotaShares::on_quota_request(const QuotaRequest& request) {
  const int to = request.shard;
  if (to < 0 || to >= ctx_.shard_count || to == ctx_.shard) return;
  const std::map<int, const Job*> saved_for = rules_.quota_reserved_for();
  for (const QuotaShortfall& want : request.shortfalls) {
    // Two shards that save up quota for the same team would pass it back and forth, so the shard with the
    // lower number goes first.
    if (saved_for.count(want.team) > 0 && (!want.starving || to > ctx_.shard)) continue;
    // Quota that no task here waits for is transferred at once, for all tasks that could start at the other
    // shard. When it was transferred task by task, with a round of requests in between, a shard with room
    // stood idle for a minute.
    if (want.starving && want.startable_shortfall &&
        transfer_quota(want.team, to, want.startable_shortfall->cores, want.startable_shortfall->gpus)) {
      continue;
    }
    transfer_quota(want.team, to, want.cores, want.gpus, !want.starving);
  }
}

// Returns the part of the shard's share of the team's quota that its own waiting tasks leave unused. While
// such tasks wait, a shard with a higher number gets nothing: two shards that each lack a little would
// otherwise pass the remainder back and forth.
QuotaAmount QuotaShares::transferable_quota(int team, int to, bool keep_own) const {
  QuotaAmount spare{model_.teams().spare_cores(team), model_.teams().spare_gpus(team)};
  if (!keep_own) return spare;
  bool has_waiting_tasks = false;
  for (const auto& [name, job] : model_.jobs()) {
    if (job->is_over() || job->team != team || job->waiting.empty()) continue;
    has_waiting_tasks = true;
    int tasks = job->waiting.size();
    if (job->demand[0] > 0) tasks = std::min(tasks, static_cast<int>(spare.cores / job->demand[0]));
    if (job->demand[2] > 0) tasks = std::min(tasks, static_cast<int>(spare.gpus / job->demand[2]));
    spare.cores -= tasks * job->demand[0];
    spare.gpus -= tasks * job->demand[2];
  }
  return has_waiting_tasks && to > ctx_.shard ? QuotaAmount{} : spare;
}

bool QuotaShares::transfer_quota(int team, int to, double cores, double gpus, bool keep_own) {
  if (team < 0 || team >= static_cast<int>(model_.teams().size()) || transferring_teams_.count(team) > 0 ||
      splits_.count(team) == 0) {
    return false;
  }
  const QuotaAmount spare = transferable_quota(team, to, keep_own);
  const double give_cores = round_down_to_step(std::clamp(cores, 0.0, std::max(0.0, spare.cores)));
  const double give_gpus = round_down_to_step(std::clamp(gpus, 0.0, std::max(0.0, spare.gpus)));
  if (give_cores <= 0 && give_gpus <= 0) return false;
  QuotaSplit split = splits_.at(team);
  const auto from_index = static_cast<std::size_t>(ctx_.shard);
  const auto to_index = static_cast<std::size_t>(to);
  if (to_index >= split.cores.size() || to_index >= split.gpus.size()) return false;
  split.cores[from_index] -= give_cores;
  split.cores[to_index] += give_cores;
  split.gpus[from_index] -= give_gpus;
  split.gpus[to_index] += give_gpus;
  Transaction txn = committer_.guarded_transaction();
  txn.guard(keys::quota_split(team), model_.teams().revision(team));
  txn.put(keys::quota_split(team), split.to_json());
  // The quota is given up before the write is sent, so that this shard no longer uses it, whenever the write
  // takes effect.
  model_.teams().set_quota(team, split.cores[from_index], split.gpus[from_index],
                           model_.teams().revision(team));
  transferring_teams_.insert(team);
  model_.counters().quota_transfers++;
  commit_quota(team, std::make_shared<std::string>(txn.body()), split);
  return true;
}

void QuotaShares::commit_quota(int team, const std::shared_ptr<std::string>& body, const QuotaSplit& split) {
  ctx_.state->commit_body(
      RequestPriority::kOther, *body, 1, callback_guard_([this, team, body, split](const StateReply& reply) {
        if (reply.ok()) {
          transferring_teams_.erase(team);
          set_split(team, split, reply.revision());
        } else if (reply.outcome == Outcome::kConflict) {
          // Another transfer came first, or a copy of this one whose answer was lost. The record shows which.
          reload_team(team);
        } else {
          ctx_.env->after(0.3,
                          callback_guard_([this, team, body, split] { commit_quota(team, body, split); }));
        }
      }));
}

void QuotaShares::reload_team(int team) {
  ctx_.state->get(RequestPriority::kOther, keys::quota_split(team),
                  callback_guard_([this, team](const StateReply& reply) {
                    if (reply.has_data()) {
                      transferring_teams_.erase(team);
                      read_split(team, reply.data(), reply.item_revision());
                    } else if (reply.outcome == Outcome::kMissing) {
                      transferring_teams_.erase(team);
                      set_split(team, even_split(team), 0);
                    } else {
                      ctx_.env->after(0.3, callback_guard_([this, team] { reload_team(team); }));
                    }
                  }));
}

}  // namespace mothslip
