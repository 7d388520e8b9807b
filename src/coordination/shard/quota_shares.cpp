#include "coordination/shard/quota_shares.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
constexpr double kGrain = 64;  // quota shares move in steps of 1/64, so that sums stay exact
double grains(double amount) { return std::floor(amount * kGrain + 1e-9) / kGrain; }
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
  const double cores = grains(limits.cpus_max / ctx_.shard_count);
  const double gpus = grains(limits.gpus_max / ctx_.shard_count);
  const int others = ctx_.shard_count - 1;
  QuotaSplit out;
  out.cores.assign(static_cast<std::size_t>(ctx_.shard_count), cores);
  out.gpus.assign(static_cast<std::size_t>(ctx_.shard_count), gpus);
  // The first shard has what does not divide evenly.
  out.cores[0] = limits.cpus_max - cores * others;
  out.gpus[0] = limits.gpus_max - gpus * others;
  return out;
}

void QuotaShares::set_split(int team, const QuotaSplit& split, std::uint64_t revision) {
  const auto at = static_cast<std::size_t>(ctx_.shard);
  if (at >= split.cores.size() || at >= split.gpus.size()) {
    spdlog::error("record {} cannot be read", keys::quota_split(team));
    return;
  }
  model_.teams().set_quota(team, split.cores[at], split.gpus[at], revision);
  splits_[team] = split;
}

void QuotaShares::read_split(int team, const Json& record, std::uint64_t revision) {
  try {
    set_split(team, QuotaSplit::from_json(record), revision);
  } catch (const MalformedMessage&) {
    spdlog::error("record {} cannot be read", keys::quota_split(team));
  }
}

void QuotaShares::on_quota_event(const Json& event) {
  if (!event.contains("put") || !event.contains("data")) return;
  const int team = std::atoi(event["put"].get_ref<const std::string&>().c_str() + keys::kQuotaSplits.size());
  const auto revision = event.value("stamp", std::uint64_t{0});
  if (team < 0 || team >= static_cast<int>(model_.teams().size()) ||
      revision <= model_.teams().revision(team))
    return;
  if (moving_.count(team) > 0) return;  // the move under way finds out
  read_split(team, event["data"], revision);
}

void QuotaShares::note_shortage(const Job& job) {
  if (rules_.is_starving(job)) {
    // All that others can spare is for one task of it.
    short_of_[job.team] = job.start_demand();
    starving_teams_.insert(job.team);
    return;
  }
  if (starving_teams_.count(job.team) > 0) return;
  Resources& more = short_of_[job.team];
  for (std::size_t r = 0; r < 3; r++) more[r] = std::max(more[r], job.demand[r] * job.waiting.size());
}

// What the team's waiting tasks would take of the room that the shard's machines have.
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
  if (short_of_.empty() || committer_.state_silent()) return;
  asked_for_quota_ = ctx_.next_shard(asked_for_quota_);
  QuotaRequest request{ctx_.shard, {}};
  for (const auto& [team, more] : short_of_) {
    const double spare_cores = model_.teams().spare_cores(team);
    const double spare_gpus = model_.teams().spare_gpus(team);
    QuotaWant want{team, more[0] - spare_cores, more[2] - spare_gpus, starving_teams_.count(team) > 0, {}};
    if (want.starving) {
      const Resources all = startable_demand(team);
      want.startable = SpareQuota{all[0] - spare_cores, all[2] - spare_gpus};
    }
    request.wants.push_back(want);
  }
  short_of_.clear();
  starving_teams_.clear();
  ctx_.ask(asked_for_quota_, peer_paths::kQuotaRequest, request.to_json(), [](const Json&) {});
}

void QuotaShares::on_quota_request(const QuotaRequest& request) {
  const int to = request.shard;
  if (to < 0 || to >= ctx_.shard_count || to == ctx_.shard) return;
  const std::map<int, const Job*> saved_for = rules_.quota_reserved_for();
  for (const QuotaWant& want : request.wants) {
    // Two that save up for the same team would hand it to and fro: the lower shard number goes first.
    if (saved_for.count(want.team) > 0 && (!want.starving || to > ctx_.shard)) continue;
    // What nobody here waits for goes at once, for all that could start there: task by task, with a round of
    // questions in between, a shard with room stood idle for a minute.
    if (want.starving && want.startable &&
        transfer_quota(want.team, to, want.startable->cores, want.startable->gpus)) {
      continue;
    }
    transfer_quota(want.team, to, want.cores, want.gpus, !want.starving);
  }
}

// What of the shard's share of the team's quota its own waiting tasks leave. Nothing, for a shard of a higher
// number, where some wait: two shards that each lack a little would otherwise hand the remainder to and fro.
SpareQuota QuotaShares::transferable(int team, int to, bool keep_own) const {
  SpareQuota spare{model_.teams().spare_cores(team), model_.teams().spare_gpus(team)};
  if (!keep_own) return spare;
  bool needed = false;
  for (const auto& [name, job] : model_.jobs()) {
    if (job->is_over() || job->team != team || job->waiting.empty()) continue;
    needed = true;
    int tasks = job->waiting.size();
    if (job->demand[0] > 0) tasks = std::min(tasks, static_cast<int>(spare.cores / job->demand[0]));
    if (job->demand[2] > 0) tasks = std::min(tasks, static_cast<int>(spare.gpus / job->demand[2]));
    spare.cores -= tasks * job->demand[0];
    spare.gpus -= tasks * job->demand[2];
  }
  return needed && to > ctx_.shard ? SpareQuota{} : spare;
}

bool QuotaShares::transfer_quota(int team, int to, double cores, double gpus, bool keep_own) {
  if (team < 0 || team >= static_cast<int>(model_.teams().size()) || moving_.count(team) > 0 ||
      splits_.count(team) == 0) {
    return false;
  }
  const SpareQuota spare = transferable(team, to, keep_own);
  const double give_cores = grains(std::clamp(cores, 0.0, std::max(0.0, spare.cores)));
  const double give_gpus = grains(std::clamp(gpus, 0.0, std::max(0.0, spare.gpus)));
  if (give_cores <= 0 && give_gpus <= 0) return false;
  QuotaSplit split = splits_.at(team);
  const auto from_at = static_cast<std::size_t>(ctx_.shard);
  const auto to_at = static_cast<std::size_t>(to);
  if (to_at >= split.cores.size() || to_at >= split.gpus.size()) return false;
  split.cores[from_at] -= give_cores;
  split.cores[to_at] += give_cores;
  split.gpus[from_at] -= give_gpus;
  split.gpus[to_at] += give_gpus;
  Transaction txn = committer_.guarded_transaction();
  txn.guard(keys::quota_split(team), model_.teams().revision(team));
  txn.put(keys::quota_split(team), split.to_json());
  // Given up before it is written: whenever the write takes effect, this shard does not use it any more.
  model_.teams().set_quota(team, split.cores[from_at], split.gpus[from_at], model_.teams().revision(team));
  moving_.insert(team);
  model_.counters().moves++;
  commit_quota(team, std::make_shared<std::string>(txn.body()), split);
  return true;
}

void QuotaShares::commit_quota(int team, const std::shared_ptr<std::string>& body, const QuotaSplit& split) {
  ctx_.state->commit_body(
      RequestPriority::kRest, *body, 1, alive_([this, team, body, split](const StateReply& reply) {
        if (reply.ok()) {
          moving_.erase(team);
          set_split(team, split, reply.revision());
        } else if (reply.outcome == Outcome::kConflict) {
          // Another move came first, or an unanswered copy of this one: the key tells.
          reload_team(team);
        } else {
          ctx_.env->after(0.3, alive_([this, team, body, split] { commit_quota(team, body, split); }));
        }
      }));
}

void QuotaShares::reload_team(int team) {
  ctx_.state->get(RequestPriority::kRest, keys::quota_split(team),
                  alive_([this, team](const StateReply& reply) {
                    if (reply.ok() && reply.body.contains("data")) {
                      moving_.erase(team);
                      read_split(team, reply.body["data"], reply.body.value("stamp", std::uint64_t{0}));
                    } else if (reply.outcome == Outcome::kMissing) {
                      moving_.erase(team);
                      set_split(team, even_split(team), 0);
                    } else {
                      ctx_.env->after(0.3, alive_([this, team] { reload_team(team); }));
                    }
                  }));
}

}  // namespace mothslip
