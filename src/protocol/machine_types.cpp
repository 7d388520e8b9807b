#include "protocol/machine_types.hpp"

#include <algorithm>
#include <utility>

namespace mothslip {

namespace {
constexpr double kMinFetchGbPerSecond = 0.01;  // prevents a division by 0 for a type without a rate

// The name, cores and memory are required. Other fields are optional.
std::optional<MachineType> parse_machine_type(const Json& item) {
  if (!item.is_object()) return std::nullopt;
  MachineType type;
  if (!fields::read_text(item, "name", type.name) || !fields::read_non_negative(item, "cores", type.cores) ||
      !fields::read_non_negative(item, "memory_gb", type.memory_gb)) {
    return std::nullopt;
  }
  fields::read_non_negative(item, "accelerators", type.accelerators);
  fields::read_non_negative(item, "local_gb", type.cache_gb);
  fields::read_non_negative(item, "pull_gb_per_s", type.fetch_gb_per_s);
  fields::read_non_negative(item, "hourly", type.hourly_price);
  fields::read_non_negative(item, "spot_price", type.spot_price);
  fields::read_non_negative(item, "boot_s", type.boot_s);
  const auto zones = item.find("halls");
  if (zones == item.end() || !zones->is_array()) return type;
  for (const Json& zone : *zones) {
    if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
  }
  return type;
}

template <typename T>
bool contains(const std::vector<T>& list, const T& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// Returns whether a task of the job fits an empty machine of this type and may run there.
bool can_run_task(const MachineType& type, const JobSpec& spec) {
  if (spec.machine_types && !contains(*spec.machine_types, type.name)) return false;
  if (spec.zone && !contains(type.zones, *spec.zone)) return false;
  return spec.cores <= type.cores && spec.accelerators <= type.accelerators &&
         spec.memory_gb <= type.memory_gb;
}
}  // namespace

std::optional<MachineTypes> MachineTypes::parse(const Json& body) {
  if (!body.is_object()) return std::nullopt;
  const auto list = body.find("flavours");
  if (list == body.end() || !list->is_array() || list->empty()) return std::nullopt;
  MachineTypes out;
  for (const Json& item : *list) {
    auto type = parse_machine_type(item);
    if (!type) return std::nullopt;
    out.types_.push_back(std::move(*type));
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
                    {"hourly", type.hourly_price},
                    {"spot_price", type.spot_price},
                    {"boot_s", type.boot_s},
                    {"halls", type.zones}});
  }
  return {{"flavours", list}};
}

double image_fetch_s(const JobSpec& spec, const MachineType& type) {
  return spec.image_gb / std::max(kMinFetchGbPerSecond, type.fetch_gb_per_s);
}

int MachineTypes::find(const std::string& name) const {
  for (std::size_t i = 0; i < types_.size(); i++) {
    if (types_[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

void remove_unknown_machine_types(JobSpec& spec, const MachineTypes& types) {
  if (!spec.machine_types) return;
  std::vector<std::string>& names = *spec.machine_types;
  std::erase_if(names, [&types](const std::string& name) { return types.find(name) < 0; });
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
}

std::string unschedulable_reason(const JobSpec& spec, const Settings& settings, const MachineTypes& types) {
  const int team = settings.team_index(spec.team);
  if (team < 0) return "unknown team";
  const Team& limits = settings.teams[static_cast<std::size_t>(team)];
  const int concurrent_tasks = spec.is_gang ? spec.task_count : 1;
  if (concurrent_tasks * spec.cores > limits.cpus_max ||
      concurrent_tasks * spec.accelerators > limits.gpus_max)
    return "beyond the team's limit";
  const bool fits = std::any_of(types.all().begin(), types.all().end(),
                                [&spec](const MachineType& type) { return can_run_task(type, spec); });
  return fits ? "" : "fits no allowed machine type";
}

}  // namespace mothslip
