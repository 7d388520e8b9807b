#include "protocol/messages.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace mothslip {

namespace {

constexpr int kMaxTasks = 100000;
constexpr std::size_t kMaxText = 256;
constexpr std::size_t kMaxMachineTypes = 64;
constexpr const char* kArrayShape = "array";
constexpr const char* kGangShape = "ensemble";

bool get_text(const Json& body, const char* field, std::string& out) {
  const auto it = body.find(field);
  if (it == body.end() || !it->is_string()) return false;
  out = it->get<std::string>();
  return !out.empty() && out.size() <= kMaxText;
}

bool get_amount(const Json& body, const char* field, double& out) {
  const auto it = body.find(field);
  if (it == body.end() || !it->is_number()) return false;
  out = it->get<double>();
  return std::isfinite(out) && out >= 0;
}

bool get_flag(const Json& body, const char* field, bool& out) {
  const auto it = body.find(field);
  if (it == body.end() || !it->is_boolean()) return false;
  out = it->get<bool>();
  return true;
}

bool get_count(const Json& body, const char* field, std::uint64_t& out) {
  const auto it = body.find(field);
  if (it == body.end()) return false;
  if (it->is_number_unsigned()) {
    out = it->get<std::uint64_t>();
    return true;
  }
  return false;
}

bool present(const Json& body, const char* field) {
  const auto it = body.find(field);
  return it != body.end() && !it->is_null();
}

bool split_task_name(const std::string& task, std::string& ref, int& index) {
  const auto slash = task.rfind('/');
  if (slash == std::string::npos) return false;
  ref = task.substr(0, slash);
  const char* first = task.data() + slash + 1;
  const char* last = task.data() + task.size();
  const auto [end, error] = std::from_chars(first, last, index);
  return error == std::errc() && end == last && index >= 0 && index < kMaxTasks && valid_ref(ref);
}

ExitCause parse_cause(const Json& item) {
  const auto it = item.find("exit_cause");
  if (it == item.end() || !it->is_string()) return ExitCause::kOther;
  const auto& text = it->get_ref<const std::string&>();
  if (text == "done") return ExitCause::kDone;
  if (text == "halted") return ExitCause::kHalted;
  if (text == "error") return ExitCause::kError;
  if (text == "no_room") return ExitCause::kNoRoom;
  if (text == "in_use") return ExitCause::kInUse;
  if (text == "no_such") return ExitCause::kNoSuch;
  if (text == "mates_gone") return ExitCause::kGangPeerLost;
  if (text == "alone") return ExitCause::kGangIncomplete;
  return ExitCause::kOther;
}

}  // namespace

Json parse_json(const std::string& text) { return Json::parse(text, nullptr, false); }

std::string dump_json(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Urgency> parse_urgency(const std::string& text) {
  if (text == "best_effort") return Urgency::kBestEffort;
  if (text == "normal") return Urgency::kNormal;
  if (text == "urgent") return Urgency::kUrgent;
  if (text == "critical") return Urgency::kCritical;
  return std::nullopt;
}

const char* urgency_name(Urgency urgency) {
  switch (urgency) {
    case Urgency::kBestEffort:
      return "best_effort";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kCritical:
      return "critical";
  }
  return "normal";
}

bool valid_ref(const std::string& ref) {
  constexpr std::string_view kPrefix = "job-";
  if (ref.size() <= kPrefix.size() || ref.size() > 40 || ref.compare(0, kPrefix.size(), kPrefix) != 0)
    return false;
  return std::all_of(ref.begin() + kPrefix.size(), ref.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<JobSpec> parse_job(const Json& body, std::string& why) {
  JobSpec spec;
  const auto bad = [&why](const char* field) {
    why = field;
    return std::nullopt;
  };
  if (!get_text(body, "ref", spec.ref) || !valid_ref(spec.ref)) return bad("ref");
  if (!get_text(body, "workload", spec.job_class)) return bad("workload");
  if (!get_text(body, "owner", spec.team)) return bad("owner");
  std::string text;
  if (!get_text(body, "shape", text)) return bad("shape");
  spec.gang = text == kGangShape;
  if (!spec.gang && text != kArrayShape) return bad("shape");
  if (!get_text(body, "urgency", text)) return bad("urgency");
  const auto urgency = parse_urgency(text);
  if (!urgency) return bad("urgency");
  spec.urgency = *urgency;
  std::uint64_t task_count = 0;
  if (!get_count(body, "pieces", task_count) || task_count < 1 || task_count > kMaxTasks)
    return bad("pieces");
  spec.task_count = static_cast<int>(task_count);
  if (!get_amount(body, "cores", spec.cores)) return bad("cores");
  if (!get_amount(body, "accelerators", spec.accelerators)) return bad("accelerators");
  if (!get_amount(body, "memory_gb", spec.memory_gb)) return bad("memory_gb");
  if (spec.cores <= 0 && spec.accelerators <= 0 && spec.memory_gb <= 0) return bad("cores");
  if (!get_text(body, "bundle", spec.image)) return bad("bundle");
  if (!get_amount(body, "pull_gb", spec.image_gb)) return bad("pull_gb");
  if (present(body, "flavours")) {
    const Json& list = body["flavours"];
    if (!list.is_array() || list.size() > kMaxMachineTypes) return bad("flavours");
    std::vector<std::string> machine_types;
    for (const Json& item : list) {
      if (!item.is_string() || item.get_ref<const std::string&>().size() > kMaxText) return bad("flavours");
      machine_types.push_back(item.get<std::string>());
    }
    spec.machine_types = std::move(machine_types);
  }
  if (present(body, "hall")) {
    if (!get_text(body, "hall", text)) return bad("hall");
    spec.zone = text;
  }
  if (!get_flag(body, "together", spec.together)) return bad("together");
  if (!get_flag(body, "scatter", spec.scatter)) return bad("scatter");
  if (!get_flag(body, "loaner", spec.allows_spot)) return bad("loaner");
  if (!get_amount(body, "guess_s", spec.estimated_s)) return bad("guess_s");
  if (!get_amount(body, "snapshot_every_s", spec.checkpoint_interval_s)) return bad("snapshot_every_s");
  if (!get_amount(body, "snapshot_cost_s", spec.checkpoint_cost_s)) return bad("snapshot_cost_s");
  if (present(body, "due_s")) {
    double due = 0;
    if (!get_amount(body, "due_s", due)) return bad("due_s");
    spec.deadline_s = due;
  }
  return spec;
}

Json job_to_json(const JobSpec& spec) {
  Json out = {{"ref", spec.ref},
              {"workload", spec.job_class},
              {"owner", spec.team},
              {"shape", spec.gang ? kGangShape : kArrayShape},
              {"urgency", urgency_name(spec.urgency)},
              {"pieces", spec.task_count},
              {"cores", spec.cores},
              {"accelerators", spec.accelerators},
              {"memory_gb", spec.memory_gb},
              {"bundle", spec.image},
              {"pull_gb", spec.image_gb},
              {"together", spec.together},
              {"scatter", spec.scatter},
              {"loaner", spec.allows_spot},
              {"guess_s", spec.estimated_s},
              {"snapshot_every_s", spec.checkpoint_interval_s},
              {"snapshot_cost_s", spec.checkpoint_cost_s}};
  if (spec.machine_types) out["flavours"] = *spec.machine_types;
  if (spec.zone) out["hall"] = *spec.zone;
  if (spec.deadline_s) out["due_s"] = *spec.deadline_s;
  return out;
}

std::optional<MachineTypes> MachineTypes::parse(const Json& body) {
  if (!body.is_object()) return std::nullopt;
  const auto list = body.find("flavours");
  if (list == body.end() || !list->is_array() || list->empty()) return std::nullopt;
  MachineTypes out;
  for (const Json& item : *list) {
    if (!item.is_object()) return std::nullopt;
    MachineType type;
    if (!get_text(item, "name", type.name) || !get_amount(item, "cores", type.cores) ||
        !get_amount(item, "memory_gb", type.memory_gb)) {
      return std::nullopt;
    }
    get_amount(item, "accelerators", type.accelerators);
    get_amount(item, "local_gb", type.cache_gb);
    get_amount(item, "pull_gb_per_s", type.fetch_gb_per_s);
    get_amount(item, "hourly", type.hourly);
    get_amount(item, "spot_price", type.spot_price);
    get_amount(item, "boot_s", type.boot_s);
    const auto zones = item.find("halls");
    if (zones != item.end() && zones->is_array()) {
      for (const Json& zone : *zones) {
        if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
      }
    }
    out.types_.push_back(std::move(type));
  }
  return out;
}

Json MachineTypes::to_json() const {
  Json list = Json::array();
  for (const MachineType& type : types_) {
    list.push_back({{"name", type.name},
                    {"cores", type.cores},
                    {"accelerators", type.accelerators},
                    {"memory_gb", type.memory_gb},
                    {"local_gb", type.cache_gb},
                    {"pull_gb_per_s", type.fetch_gb_per_s},
                    {"hourly", type.hourly},
                    {"spot_price", type.spot_price},
                    {"boot_s", type.boot_s},
                    {"halls", type.zones}});
  }
  return {{"flavours", list}};
}

double fetch_seconds(const JobSpec& spec, const MachineType& type) {
  return spec.image_gb / std::max(0.01, type.fetch_gb_per_s);
}

int MachineTypes::find(const std::string& name) const {
  for (std::size_t i = 0; i < types_.size(); i++) {
    if (types_[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

void keep_known_machine_types(JobSpec& spec, const MachineTypes& types) {
  if (!spec.machine_types) return;
  std::erase_if(*spec.machine_types, [&types](const std::string& name) { return types.find(name) < 0; });
  std::sort(spec.machine_types->begin(), spec.machine_types->end());
  spec.machine_types->erase(std::unique(spec.machine_types->begin(), spec.machine_types->end()),
                            spec.machine_types->end());
}

std::string never_runs(const JobSpec& spec, const Settings& settings, const MachineTypes& types) {
  const int team = settings.team_index(spec.team);
  if (team < 0) return "unknown team";
  const Team& limits = settings.teams[static_cast<std::size_t>(team)];
  const int at_once = spec.gang ? spec.task_count : 1;
  if (at_once * spec.cores > limits.cpus_max || at_once * spec.accelerators > limits.gpus_max)
    return "beyond the team's limit";
  for (const MachineType& type : types.all()) {
    if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(), type.name) ==
                                  spec.machine_types->end()) {
      continue;
    }
    if (spec.zone && std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end())
      continue;
    if (spec.cores <= type.cores && spec.accelerators <= type.accelerators &&
        spec.memory_gb <= type.memory_gb) {
      return "";
    }
  }
  return "fits no allowed machine type";
}

std::optional<Report> parse_report(const Json& body) {
  if (!body.is_object()) return std::nullopt;
  Report out;
  if (!get_text(body, "host", out.machine_name) || !get_text(body, "address", out.address) ||
      !get_text(body, "flavour", out.machine_type) || !get_text(body, "hall", out.zone) ||
      !get_flag(body, "loaner", out.spot) || !get_count(body, "tenure", out.worker_incarnation) ||
      !get_count(body, "tick", out.sequence) || !get_count(body, "baton", out.fencing_token)) {
    return std::nullopt;
  }
  if (out.machine_name.find_first_of(" /") != std::string::npos) return std::nullopt;
  if (present(body, "warning_s")) {
    double warning = 0;
    if (!body["warning_s"].is_number()) return std::nullopt;
    warning = body["warning_s"].get<double>();
    out.eviction_notice_s = warning;
  }
  const auto task_count = body.find("pieces");
  if (task_count == body.end() || task_count->is_null()) return out;
  if (!task_count->is_array()) return std::nullopt;
  out.tasks.reserve(task_count->size());
  for (const Json& item : *task_count) {
    TaskReport task;
    std::string text;
    if (!item.is_object() || !get_text(item, "piece", text) || !split_task_name(text, task.ref, task.index) ||
        !get_count(item, "try_no", task.attempt) || !get_text(item, "phase", text)) {
      return std::nullopt;
    }
    if (text == "pulling") {
      task.phase = TaskPhase::kFetchingImage;
    } else if (text == "waiting") {
      task.phase = TaskPhase::kWaiting;
    } else if (text == "saving") {
      task.phase = TaskPhase::kCheckpointing;
    } else if (text == "exited") {
      task.phase = TaskPhase::kExited;
      task.cause = parse_cause(item);
    }
    out.tasks.push_back(std::move(task));
  }
  return out;
}

std::string task_name(const std::string& ref, int index) { return ref + "/" + std::to_string(index); }

std::string orders_body(std::uint64_t fencing_token, std::optional<std::uint64_t> worker_incarnation,
                        const std::vector<Order>& orders) {
  Json list = Json::array();
  for (const Order& order : orders) {
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
    list.push_back(std::move(item));
  }
  Json body = {{"baton", fencing_token}, {"orders", std::move(list)}};
  if (worker_incarnation) body["tenure"] = *worker_incarnation;
  return dump_json(body);
}

}  // namespace mothslip
