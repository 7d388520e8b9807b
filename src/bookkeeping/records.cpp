#include "bookkeeping/records.hpp"

#include <algorithm>

namespace mothslip {

namespace {
constexpr int kMaxTasks = 100'000;  // tasks of a job, as the protocol says
}  // namespace

Json JobRecord::to_json() const {
  Json out = {{"job", job_to_json(spec)}, {"at", submitted}};
  if (aborted) out["phase"] = "aborted";
  if (spread) out["spread"] = true;
  return out;
}

std::optional<JobRecord> JobRecord::from_json(const Json& value) {
  if (!value.is_object() || !value.contains("job")) return std::nullopt;
  std::string why;
  auto spec = parse_job(value["job"], why);
  if (!spec) return std::nullopt;
  JobRecord out;
  out.spec = std::move(*spec);
  out.submitted = value.value("at", 0.0);
  out.aborted = value.value("phase", "") == "aborted";
  out.spread = value.value("spread", false);
  return out;
}

Json MachineRecord::to_json() const {
  std::map<std::string, Json> by_job;
  for (const PlacementRecord& item : placements) {
    Json& list = by_job.try_emplace(item.ref, Json::array()).first->second;
    list.push_back(item.index);
    list.push_back(item.attempt);
  }
  Json jobs = Json::object();
  for (auto& [ref, list] : by_job) jobs[ref] = std::move(list);
  Json out = {{"a", address}, {"f", machine_type},       {"z", zone},
              {"s", spot},    {"t", worker_incarnation}, {"p", std::move(jobs)}};
  if (!stopping.empty()) out["x"] = stopping;
  return out;
}

std::optional<MachineRecord> MachineRecord::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  MachineRecord out;
  try {
    out.address = value.at("a").get<std::string>();
    out.machine_type = value.at("f").get<std::string>();
    out.zone = value.at("z").get<std::string>();
    out.spot = value.at("s").get<bool>();
    out.worker_incarnation = value.at("t").get<std::uint64_t>();
    for (const auto& [ref, list] : value.at("p").items()) {
      for (std::size_t i = 0; i + 1 < list.size(); i += 2) {
        out.placements.push_back({ref, list[i].get<int>(), list[i + 1].get<std::uint64_t>()});
      }
    }
    if (value.contains("x")) out.stopping = value["x"].get<std::vector<std::uint64_t>>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return out;
}

Json SegmentRecord::to_json() const {
  Json by_name = Json::object();
  for (const auto& [name, machine] : machines) by_name[name] = machine.to_json();
  Json out = {{"m", std::move(by_name)}};
  if (!done.empty()) out["d"] = done;
  return out;
}

std::optional<SegmentRecord> SegmentRecord::from_json(const Json& value) {
  if (!value.is_object() || !value.contains("m") || !value["m"].is_object()) return std::nullopt;
  SegmentRecord out;
  for (const auto& [name, machine] : value["m"].items()) {
    auto record = MachineRecord::from_json(machine);
    if (!record) return std::nullopt;
    out.machines.emplace(name, std::move(*record));
  }
  const auto done = value.find("d");
  if (done != value.end()) {
    if (!done->is_object()) return std::nullopt;
    for (const auto& [key, ranges] : done->items()) {
      if (!ranges.is_string()) return std::nullopt;
      out.done.emplace(key, ranges.get<std::string>());
    }
  }
  return out;
}

Json DelegationRecord::to_json() const {
  Json out = {{"home", home_shard},    {"stamp", job_revision},    {"works", works},
              {"head", job.to_json()}, {"range", range.to_text()}, {"done", done.to_text()}};
  if (fails) out["fails"] = true;
  return out;
}

std::optional<DelegationRecord> DelegationRecord::from_json(const Json& value) {
  if (!value.is_object() || !value.contains("head")) return std::nullopt;
  auto job_record = JobRecord::from_json(value["head"]);
  if (!job_record) return std::nullopt;
  DelegationRecord out;
  out.home_shard = value.value("home", 0);
  out.job_revision = value.value("stamp", std::uint64_t{0});
  out.works = value.value("works", false);
  out.fails = value.value("fails", false);
  const int task_count = job_record->spec.task_count;
  out.job = std::move(*job_record);
  auto range = RangeSet::from_text(value.value("range", ""), task_count);
  auto done = RangeSet::from_text(value.value("done", ""), task_count);
  if (!range || !done) return std::nullopt;
  out.range = std::move(*range);
  out.done = std::move(*done);
  return out;
}

RangeSet UnaccountedRecord::held_of(int task_count) const {
  if (rerun) return {};
  if (!all) return held;
  RangeSet out;
  out.insert(0, task_count);
  return out;
}

Json UnaccountedRecord::to_json() const {
  Json out = {{"held", held.to_text()}, {"reason", reason}, {"team", team}, {"class", job_class}};
  if (all) out["all"] = true;
  if (rerun) out["rerun"] = true;
  if (may_have_ended) out["may_have_ended"] = true;
  return out;
}

std::optional<UnaccountedRecord> UnaccountedRecord::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  UnaccountedRecord out;
  auto held = RangeSet::from_text(value.value("held", ""), kMaxTasks);
  if (!held) return std::nullopt;
  out.held = std::move(*held);
  out.all = value.value("all", false);
  out.rerun = value.value("rerun", false);
  out.may_have_ended = value.value("may_have_ended", false);
  out.reason = value.value("reason", "");
  out.team = value.value("team", "");
  out.job_class = value.value("class", "");
  return out;
}

std::uint64_t newest_shown(const Report& report) {
  std::uint64_t out = report.fencing_token;
  for (const TaskReport& task : report.tasks) out = std::max(out, task.attempt >> kAttemptShift);
  return out;
}

Json ending_json(const char* phase, int task_count) { return {{"phase", phase}, {"pieces", task_count}}; }

}  // namespace mothslip
