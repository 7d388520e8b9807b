// The form in which controllers send evidence to one another.
#include "recovery/evidence.hpp"

namespace mothslip::recovery {

namespace {

constexpr int kMostTasks = 100'000;

std::string text_of(const TaskSet& tasks) { return to_ranges(tasks).to_text(); }

std::optional<TaskSet> task_set_of(const Json& value) {
  if (!value.is_string()) return std::nullopt;
  const auto ranges = RangeSet::from_text(value.get<std::string>(), kMostTasks);
  if (!ranges) return std::nullopt;
  return to_task_set(*ranges);
}

Json job_json(const JobEvidence& job) {
  Json out = Json::object();
  if (job.record) out["head"] = job.record->to_json();
  if (job.ending) out["ending"] = wire_name(*job.ending);
  if (job.in_store) out["in_store"] = true;
  if (job.accepted) out["accepted"] = true;
  if (job.owner_knows_it) out["owned"] = true;
  if (job.without_description) out["undescribed"] = true;
  if (job.may_have_ended) out["may_have_ended"] = true;
  if (!job.held.isEmpty()) out["held"] = text_of(job.held);
  if (!job.done.isEmpty()) out["done"] = text_of(job.done);
  if (!job.seen.isEmpty()) out["seen"] = text_of(job.seen);
  for (const auto& [shard, tasks] : job.delegated) out["lent"][std::to_string(shard)] = text_of(tasks);
  for (const auto& [task, placement] : job.placements)
    out["placed"].push_back({task, placement.machine, placement.attempt});
  return out;
}

std::optional<JobEvidence> job_of(const Json& value) {
  JobEvidence out;
  if (value.contains("head")) {
    out.record = JobRecord::from_json(value["head"]);
    if (!out.record) return std::nullopt;
  }
  if (value.contains("ending")) {
    const auto status = terminal_status(value["ending"].get<std::string>(), 0);
    if (!status) return std::nullopt;
    out.ending = status->phase;
  }
  out.in_store = value.value("in_store", false);
  out.accepted = value.value("accepted", false);
  out.owner_knows_it = value.value("owned", false);
  const auto done = task_set_of(value.value("done", Json("")));
  const auto seen = task_set_of(value.value("seen", Json("")));
  const auto held = task_set_of(value.value("held", Json("")));
  if (!done || !seen || !held) return std::nullopt;
  out.without_description = value.value("undescribed", false);
  out.held = *held;
  out.may_have_ended = value.value("may_have_ended", false);
  out.done = *done;
  out.seen = *seen;
  const Json delegated = value.value("lent", Json::object());
  for (const auto& [shard, tasks] : delegated.items()) {
    const auto set = task_set_of(tasks);
    if (!set) return std::nullopt;
    out.delegated[std::stoi(shard)] = *set;
  }
  const Json placements = value.value("placed", Json::array());
  for (const Json& placed : placements)
    out.placements[placed.at(0).get<int>()] = {placed.at(1).get<std::string>(),
                                               placed.at(2).get<std::uint64_t>()};
  return out;
}

}  // namespace

Json Evidence::to_json() const {
  Json out = {{"shards", shards}, {"newest", newest}};
  for (const auto& [shard, owner] : owners)
    out["owners"].push_back({shard, owner.token, owner.loaded, owner.had_lease, owner.lease_left_s});
  for (const auto& [name, machine] : machines) out["machines"][name] = machine.to_json();
  for (const auto& [ref, job] : jobs) out["jobs"][ref] = job_json(job);
  return out;
}

std::optional<Evidence> Evidence::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  Evidence out;
  try {
    out.shards = value.at("shards").get<int>();
    out.newest = value.at("newest").get<std::uint64_t>();
    const Json owner_list = value.value("owners", Json::array());
    for (const Json& owner : owner_list)
      out.owners[owner.at(0).get<int>()] = {owner.at(1).get<std::uint64_t>(), owner.at(2).get<bool>(),
                                            owner.at(3).get<bool>(), owner.at(4).get<double>()};
    const Json machine_map = value.value("machines", Json::object());
    for (const auto& [name, machine] : machine_map.items()) {
      auto record = MachineRecord::from_json(machine);
      if (!record) return std::nullopt;
      out.machines.emplace(name, std::move(*record));
    }
    const Json job_map = value.value("jobs", Json::object());
    for (const auto& [ref, job] : job_map.items()) {
      auto evidence = job_of(job);
      if (!evidence || !valid_ref(ref)) return std::nullopt;
      out.jobs.emplace(ref, std::move(*evidence));
    }
  } catch (const std::exception&) {  // of the JSON library, or a shard that is no number
    return std::nullopt;
  }
  return out;
}

}  // namespace mothslip::recovery
