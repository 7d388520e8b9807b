#include "protocol/worker_messages.hpp"

#include <utility>

#include "protocol/job_spec.hpp"

namespace mothslip {

namespace {
struct NamedCause {
  const char* wire_name;
  ExitCause cause;
};
constexpr NamedCause kCauses[] = {
    {"done", ExitCause::kDone},
    {"halted", ExitCause::kStopped},
    {"error", ExitCause::kError},
    {"no_room", ExitCause::kNoRoom},
    {"in_use", ExitCause::kOtherAttemptOnMachine},
    {"no_such", ExitCause::kUnknownJob},
    {"mates_gone", ExitCause::kGangPeerLost},
    {"alone", ExitCause::kGangIncomplete},
};

ExitCause parse_cause(const Json& item) {
  const auto it = item.find("exit_cause");
  if (it == item.end() || !it->is_string()) return ExitCause::kOther;
  const auto& text = it->get_ref<const std::string&>();
  for (const NamedCause& entry : kCauses) {
    if (text == entry.wire_name) return entry.cause;
  }
  return ExitCause::kOther;
}

// A phase that this version does not recognize counts as running, because the task occupies room on the
// machine.
TaskPhase parse_phase(const std::string& text) {
  if (text == "pulling") return TaskPhase::kFetchingImage;
  if (text == "waiting") return TaskPhase::kWaiting;
  if (text == "saving") return TaskPhase::kCheckpointing;
  if (text == "exited") return TaskPhase::kExited;
  return TaskPhase::kRunning;
}

std::optional<TaskReport> parse_task_report(const Json& item) {
  if (!item.is_object()) return std::nullopt;
  TaskReport task;
  std::string name;
  std::string phase;
  if (!fields::read_text(item, "piece", name) || !parse_task_name(name, task.ref, task.index) ||
      !fields::read_count(item, "try_no", task.attempt) || !fields::read_text(item, "phase", phase)) {
    return std::nullopt;
  }
  task.phase = parse_phase(phase);
  if (task.phase == TaskPhase::kExited) task.cause = parse_cause(item);
  return task;
}

// Reads all fields of a report except the tasks.
bool read_machine(const Json& body, Report& out) {
  if (!fields::read_text(body, "host", out.machine_name) ||
      !fields::read_text(body, "address", out.address) ||
      !fields::read_text(body, "flavour", out.machine_type) || !fields::read_text(body, "hall", out.zone) ||
      !fields::read_flag(body, "loaner", out.spot) ||
      !fields::read_count(body, "tenure", out.worker_incarnation) ||
      !fields::read_count(body, "tick", out.sequence) ||
      !fields::read_count(body, "baton", out.fencing_token)) {
    return false;
  }
  // The machine name becomes part of keys and of task names.
  if (out.machine_name.find_first_of(" /") != std::string::npos) return false;
  if (!fields::is_present(body, "warning_s")) return true;
  const Json& notice = body["warning_s"];
  if (!notice.is_number()) return false;
  out.eviction_notice_s = notice.get<double>();
  return true;
}

Json order_to_json(const Order& order) {
  Json item = {{"piece", order.task}, {"try_no", order.attempt}};
  switch (order.verb) {
    case Order::Verb::kLaunch:
      item["verb"] = "launch";
      break;
    case Order::Verb::kAcknowledgeExit:
      item["verb"] = "reap";
      break;
    case Order::Verb::kStop:
      item["verb"] = "stop";
      item["wind_down_s"] = order.grace_s;
      break;
  }
  return item;
}
}  // namespace

std::optional<Report> parse_report(const Json& body) {
  if (!body.is_object()) return std::nullopt;
  Report out;
  if (!read_machine(body, out)) return std::nullopt;
  if (!fields::is_present(body, "pieces")) return out;
  const Json& list = body["pieces"];
  if (!list.is_array()) return std::nullopt;
  out.tasks.reserve(list.size());
  for (const Json& item : list) {
    auto task = parse_task_report(item);
    if (!task) return std::nullopt;
    out.tasks.push_back(std::move(*task));
  }
  return out;
}

std::string orders_body(std::uint64_t fencing_token, std::optional<std::uint64_t> worker_incarnation,
                        const std::vector<Order>& orders) {
  Json list = Json::array();
  for (const Order& order : orders) list.push_back(order_to_json(order));
  Json body = {{"baton", fencing_token}, {"orders", std::move(list)}};
  if (worker_incarnation) body["tenure"] = *worker_incarnation;
  return dump_json(body);
}

}  // namespace mothslip
