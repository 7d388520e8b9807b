#include "recovery/operator_messages.hpp"

#include <utility>

namespace mothslip::recovery {

Json RebuildStatus::to_json() const {
  Json out = {{"phase", phase},    {"since_s", elapsed_s}, {"not_heard", missing_controllers},
              {"open", open_jobs}, {"ended", ended_jobs},  {"unaccounted", unaccounted_jobs}};
  if (remaining_wait_s) out["waits_s"] = *remaining_wait_s;
  if (records) {
    out["records"] = records->total;
    out["written"] = records->written;
  }
  return out;
}

RebuildStatus RebuildStatus::from_json(const Json& value) {
  RebuildStatus out;
  out.phase = value.value("phase", "");
  out.elapsed_s = value.value("since_s", 0.0);
  const Json missing_controllers = value.value("not_heard", Json::array());
  for (const Json& node : missing_controllers) out.missing_controllers.push_back(node.get<std::string>());
  out.open_jobs = value.value("open", 0);
  out.ended_jobs = value.value("ended", 0);
  out.unaccounted_jobs = value.value("unaccounted", 0);
  if (value.contains("waits_s")) out.remaining_wait_s = value["waits_s"].get<double>();
  if (value.contains("records"))
    out.records = Records{value["records"].get<std::size_t>(), value.value("written", std::size_t{0})};
  return out;
}

Json RecoveryStatus::to_json() const {
  Json out = {{"begun", target_incarnation}, {"leads", is_leader}};
  if (rebuild) out["rebuild"] = rebuild->to_json();
  return out;
}

RecoveryStatus RecoveryStatus::from_json(const Json& value) {
  RecoveryStatus out;
  out.target_incarnation = value.value("begun", 0);
  out.is_leader = value.value("leads", false);
  if (value.contains("rebuild")) out.rebuild = RebuildStatus::from_json(value["rebuild"]);
  return out;
}

Json ControllerStatus::to_json() const {
  Json out = {{"node", node},
              {"incarnation", incarnation},
              {"serving", serving},
              {"doubt_s", stale_risk_s},
              {"newest", newest_revision},
              {"reason", reason}};
  if (recovery) {
    out["recovery"] = recovery->to_json();
    out["suspended_s"] = suspended_s;
  }
  return out;
}

ControllerStatus ControllerStatus::from_json(const Json& value) {
  ControllerStatus out;
  out.node = value.value("node", "");
  out.incarnation = value.value("incarnation", 0);
  out.serving = value.value("serving", false);
  out.stale_risk_s = value.value("doubt_s", 0.0);
  out.newest_revision = value.value("newest", std::uint64_t{0});
  out.reason = value.value("reason", "");
  if (value.contains("recovery")) out.recovery = RecoveryStatus::from_json(value["recovery"]);
  out.suspended_s = value.value("suspended_s", 0.0);
  return out;
}

Json UnaccountedEntry::to_json() const {
  Json out = {{"job", job}, {"reason", reason}};
  if (!is_readable) return out;
  out["team"] = team;
  out["class"] = job_class;
  out["may_have_ended"] = may_have_ended;
  out["decided"] = pending_decision;
  if (held_tasks) out["held_tasks"] = *held_tasks;
  return out;
}

UnaccountedEntry UnaccountedEntry::from_json(const Json& value) {
  UnaccountedEntry out;
  out.job = value.value("job", "");
  out.reason = value.value("reason", "");
  out.is_readable = value.contains("team");
  out.team = value.value("team", "");
  out.job_class = value.value("class", "");
  out.may_have_ended = value.value("may_have_ended", false);
  out.pending_decision = value.value("decided", "");
  if (value.contains("held_tasks")) out.held_tasks = value["held_tasks"].get<int>();
  return out;
}

Json UnaccountedList::to_json() const {
  Json jobs = Json::array();
  for (const UnaccountedEntry& entry : entries) jobs.push_back(entry.to_json());
  return {{"unaccounted", std::move(jobs)}};
}

UnaccountedList UnaccountedList::from_json(const Json& value) {
  UnaccountedList out;
  const Json jobs = value.value("unaccounted", Json::array());
  for (const Json& job : jobs) out.entries.push_back(UnaccountedEntry::from_json(job));
  return out;
}

}  // namespace mothslip::recovery
