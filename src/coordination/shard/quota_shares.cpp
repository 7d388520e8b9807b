// How a team's limits are split among the shards, and how shares of them move: by one conditional write each.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/shard/shard_leader.hpp"

namespace mothslip {

namespace {
constexpr double kGrain = 64;  // quota shares move in steps of 1/64, so that sums stay exact

double grains(double amount) { return std::floor(amount * kGrain + 1e-9) / kGrain; }
}  // namespace

void ShardLeader::load_teams() {
  ctx_.state->list(RequestPriority::kLease, keys::kTeams,
                   alive([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLeader::load_teams);
                     for (const StateItem& item : items) {
                       const int team = std::atoi(item.key.c_str() + keys::kTeams.size());
                       if (team >= 0 && team < static_cast<int>(teams_.size()))
                         note_team(team, item.data, item.revision);
                     }
                     // One that never moved is split evenly, without a record.
                     for (int t = 0; t < static_cast<int>(teams_.size()); t++) {
                       if (splits_.count(t) == 0) note_team(t, even_split(t), 0);
                     }
                     load_segments();
                   }));
}

Json ShardLeader::even_split(int team) const {
  const Team& limits = ctx_.settings->teams[static_cast<std::size_t>(team)];
  Json cores = Json::array();
  Json gpus = Json::array();
  const double c = grains(limits.cpus_max / ctx_.shard_count);
  const double g = grains(limits.gpus_max / ctx_.shard_count);
  for (int p = 0; p < ctx_.shard_count; p++) {
    cores.push_back(p > 0 ? c : limits.cpus_max - c * (ctx_.shard_count - 1));
    gpus.push_back(p > 0 ? g : limits.gpus_max - g * (ctx_.shard_count - 1));
  }
  return {{"c", std::move(cores)}, {"g", std::move(gpus)}};
}

void ShardLeader::note_team(int team, const Json& data, std::uint64_t revision) {
  try {
    const auto at = static_cast<std::size_t>(id_);
    teams_.set_quota(team, data.at("c").at(at).get<double>(), data.at("g").at(at).get<double>(), revision);
    splits_[team] = data;
  } catch (const Json::exception&) {
    spdlog::error("record {} cannot be read", keys::team(team));
  }
}

void ShardLeader::on_team_event(const Json& event) {
  if (!event.contains("put") || !event.contains("data")) return;
  const int team = std::atoi(event["put"].get_ref<const std::string&>().c_str() + keys::kTeams.size());
  const auto revision = event.value("stamp", std::uint64_t{0});
  if (team < 0 || team >= static_cast<int>(teams_.size()) || revision <= teams_.revision(team)) return;
  if (moving_.count(team) > 0) return;  // our own move finds out
  note_team(team, event["data"], revision);
}

void ShardLeader::note_short(const Job& job) {
  if (starving(job)) {
    // All that others can spare is for one task of it.
    short_of_[job.team] = job.start_demand();
    pressing_.insert(job.team);
    return;
  }
  if (pressing_.count(job.team) > 0) return;
  Resources& more = short_of_[job.team];
  for (std::size_t r = 0; r < 3; r++) more[r] = std::max(more[r], job.demand[r] * job.waiting.size());
}

// What the team's waiting tasks would take of the room that our machines have.
Resources ShardLeader::could_start(int team) const {
  Resources room{};
  for (const auto& [name, machine] : machines_) {
    if (machine->type < 0 || !machine->schedulable() || !machine->heard) continue;
    for (std::size_t r = 0; r < room.size(); r++) room[r] += std::max(0.0, machine->room[r]);
  }
  Resources wanted{};
  for (const auto& [name, job] : jobs_) {
    if (job->over() || job->cancelling || job->team != team || job->at_fault()) continue;
    for (std::size_t r = 0; r < room.size(); r++) wanted[r] += job->demand[r] * job->waiting.size();
  }
  for (std::size_t r = 0; r < room.size(); r++) wanted[r] = std::min(wanted[r], room[r]);
  return wanted;
}

void ShardLeader::request_quota() {
  if (short_of_.empty() || state_silent()) return;
  asked_for_quota_ = next_shard(asked_for_quota_);
  Json wants = Json::array();
  for (const auto& [team, more] : short_of_) {
    const bool pressing = pressing_.count(team) > 0;
    Json want = {team, more[0] - teams_.spare_cores(team), more[2] - teams_.spare_gpus(team), pressing};
    if (pressing) {
      const Resources all = could_start(team);
      want.push_back(all[0] - teams_.spare_cores(team));
      want.push_back(all[2] - teams_.spare_gpus(team));
    }
    wants.push_back(std::move(want));
  }
  short_of_.clear();
  pressing_.clear();
  ctx_.ask(asked_for_quota_, "/peer/allow", {{"part", id_}, {"wants", std::move(wants)}}, [](const Json&) {});
}

void ShardLeader::on_quota_request(const Json& body) {
  const int to = body.at("part").get<int>();
  if (to < 0 || to >= ctx_.shard_count || to == id_) return;
  const std::map<int, const Job*> saved_for = saving();
  for (const Json& want : body.at("wants")) {
    const int team = want.at(0).get<int>();
    // Two that save up for the same team would hand it to and fro: the lower shard number goes first.
    const bool pressing = want.at(3).get<bool>();
    if (saved_for.count(team) > 0 && (!pressing || to > id_)) continue;
    // What nobody here waits for goes at once, for all that could start there: task by task, with a round of
    // questions in between, a shard with room stood idle for a minute.
    if (pressing && want.size() > 5 &&
        transfer_quota(team, to, want.at(4).get<double>(), want.at(5).get<double>())) {
      continue;
    }
    transfer_quota(team, to, want.at(1).get<double>(), want.at(2).get<double>(), !pressing);
  }
}

// Gives away what our own waiting tasks cannot use. A remainder too small for any of them goes only to a
// shard of a lower number: two shards that each lack a little would otherwise hand it to and fro.
bool ShardLeader::transfer_quota(int team, int to, double cores, double gpus, bool keep_own) {
  if (team < 0 || team >= static_cast<int>(teams_.size()) || moving_.count(team) > 0 ||
      splits_.count(team) == 0) {
    return false;
  }
  double spare_cores = teams_.spare_cores(team);
  double spare_gpus = teams_.spare_gpus(team);
  bool needed = false;
  for (const auto& [name, job] : jobs_) {
    if (!keep_own || job->over() || job->team != team || job->waiting.empty()) continue;
    needed = true;
    int tasks = job->waiting.size();
    if (job->demand[0] > 0) tasks = std::min(tasks, static_cast<int>(spare_cores / job->demand[0]));
    if (job->demand[2] > 0) tasks = std::min(tasks, static_cast<int>(spare_gpus / job->demand[2]));
    spare_cores -= tasks * job->demand[0];
    spare_gpus -= tasks * job->demand[2];
  }
  if (needed && to > id_) return false;
  const double give_cores = grains(std::clamp(cores, 0.0, std::max(0.0, spare_cores)));
  const double give_gpus = grains(std::clamp(gpus, 0.0, std::max(0.0, spare_gpus)));
  if (give_cores <= 0 && give_gpus <= 0) return false;
  Json split = splits_.at(team);
  const auto from_at = static_cast<std::size_t>(id_);
  const auto to_at = static_cast<std::size_t>(to);
  split["c"][from_at] = split["c"][from_at].get<double>() - give_cores;
  split["c"][to_at] = split["c"][to_at].get<double>() + give_cores;
  split["g"][from_at] = split["g"][from_at].get<double>() - give_gpus;
  split["g"][to_at] = split["g"][to_at].get<double>() + give_gpus;
  Transaction txn = guarded();
  txn.guard(keys::team(team), teams_.revision(team));
  txn.put(keys::team(team), split);
  // Given up before it is written: whenever the write takes effect, we do not use it any more.
  teams_.set_quota(team, split["c"][from_at].get<double>(), split["g"][from_at].get<double>(),
                   teams_.revision(team));
  moving_.insert(team);
  counters_.moves++;
  commit_quota(team, std::make_shared<std::string>(txn.body()), split);
  return true;
}

void ShardLeader::commit_quota(int team, const std::shared_ptr<std::string>& body, const Json& split) {
  ctx_.state->commit_body(
      RequestPriority::kRest, *body, 1, alive([this, team, body, split](const StateReply& reply) {
        if (reply.ok()) {
          moving_.erase(team);
          note_team(team, split, reply.revision());
        } else if (reply.outcome == Outcome::kConflict) {
          // Another move came first, or an unanswered copy of this one: the key tells.
          reload_team(team);
        } else {
          ctx_.env->after(0.3, alive([this, team, body, split] { commit_quota(team, body, split); }));
        }
      }));
}

void ShardLeader::reload_team(int team) {
  ctx_.state->get(RequestPriority::kRest, keys::team(team), alive([this, team](const StateReply& reply) {
                    if (reply.ok() && reply.body.contains("data")) {
                      moving_.erase(team);
                      note_team(team, reply.body["data"], reply.body.value("stamp", std::uint64_t{0}));
                    } else if (reply.outcome == Outcome::kMissing) {
                      moving_.erase(team);
                      note_team(team, even_split(team), 0);
                    } else {
                      ctx_.env->after(0.3, alive([this, team] { reload_team(team); }));
                    }
                  }));
}

}  // namespace mothslip
