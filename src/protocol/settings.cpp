#include "protocol/settings.hpp"

#include <INIReader.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <sstream>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace mothslip {

namespace {

// Reads the fields of one table of the settings file. A missing or invalid field throws SettingsError with
// the file and the field's path. `default_value` is the value of an optional field that is missing.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string file, std::string path)
      : table_(table), file_(std::move(file)), path_(std::move(path)) {}

  [[noreturn]] void fail(const std::string& field, const std::string& what) const {
    throw SettingsError(file_ + ": " + (path_.empty() ? field : path_ + "." + field) + ": " + what);
  }
  std::string text(const std::string& field) const {
    const auto value = table_[field].value_exact<std::string>();
    if (!table_.contains(field)) fail(field, "missing");
    if (!value || value->empty()) fail(field, "must be a non-empty string");
    return *value;
  }
  double number(const std::string& field, double min_value) const {
    if (!table_.contains(field)) fail(field, "missing");
    const auto node = table_[field];
    if (!node.is_number()) fail(field, "must be a number");
    const double value = *node.value<double>();
    if (!std::isfinite(value) || value < min_value)
      fail(field, "must be at least " + std::to_string(min_value));
    return value;
  }
  double number_or(const std::string& field, double min_value, double default_value) const {
    return table_.contains(field) ? number(field, min_value) : default_value;
  }
  std::string address(const std::string& field) const {
    std::string value = text(field);
    const auto colon = value.rfind(':');
    bool is_valid =
        colon != std::string::npos && colon > 0 && colon + 1 < value.size() && value.size() - colon <= 6;
    for (std::size_t i = 0; is_valid && i < value.size(); i++) {
      if (i == colon) continue;
      is_valid = (value[i] >= '0' && value[i] <= '9') || (i < colon && value[i] == '.');
    }
    if (!is_valid) fail(field, "must be a numeric IPv4 address with a port");
    return value;
  }
  TableReader subtable(const std::string& field) const {
    const toml::table* table = table_[field].as_table();
    if (table == nullptr) fail(field, table_.contains(field) ? "must be a table" : "missing");
    return TableReader(*table, file_, path_.empty() ? field : path_ + "." + field);
  }
  std::vector<TableReader> tables(const std::string& field) const {
    std::vector<TableReader> out;
    if (!table_.contains(field)) return out;
    const toml::array* list = table_[field].as_array();
    if (list == nullptr) fail(field, "must be a list of tables");
    for (std::size_t i = 0; i < list->size(); i++) {
      const std::string name = field + "[" + std::to_string(i) + "]";
      const toml::table* table = list->get(i)->as_table();
      if (table == nullptr) fail(name, "must be a table");
      out.emplace_back(*table, file_, path_.empty() ? name : path_ + "." + name);
    }
    return out;
  }
  std::vector<std::string> texts(const std::string& field) const {
    std::vector<std::string> out;
    if (!table_.contains(field)) return out;
    const toml::array* list = table_[field].as_array();
    if (list == nullptr) fail(field, "must be a list of strings");
    for (const auto& item : *list) {
      const auto value = item.value_exact<std::string>();
      if (!value) fail(field, "must be a list of strings");
      out.push_back(*value);
    }
    return out;
  }
  bool has(const std::string& field) const { return table_.contains(field); }

 private:
  const toml::table& table_;
  std::string file_;
  std::string path_;  // the table's path; empty for the whole file
};

// A guest team has neither a guarantee nor a limit, and both are 0 in the file. When that 0 was read as a
// limit of nothing, all jobs of such a team were refused with status 422.
double limit_or_unlimited(double limit) { return limit > 0 ? limit : kUnlimited; }

std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw SettingsError(file + ": cannot be read");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

// A missing guarantee or limit counts as 0, except that each team must state its limit of cores.
void read_teams(const TableReader& settings, Settings& out) {
  for (const TableReader& item : settings.tables("teams")) {
    Team team;
    team.name = item.text("name");
    team.cpus = item.number_or("cpus", 0, 0);
    team.cpus_max = limit_or_unlimited(item.number("cpus_max", 0));
    team.gpus = item.number_or("gpus", 0, 0);
    team.gpus_max = limit_or_unlimited(item.number_or("gpus_max", 0, 0));
    out.teams.push_back(team);
  }
}

void read_objectives(const TableReader& settings, Settings& out) {
  for (const TableReader& item : settings.tables("objectives")) {
    Objective objective;
    objective.kind = item.text("kind");
    objective.job_class = item.has("class") ? item.text("class") : "";
    objective.share = item.number_or("share", 0, 0);
    objective.within_s = item.number_or("within_s", 0, 0);
    out.objectives.push_back(objective);
  }
}

void read_workers(const TableReader& workers, Settings& out) {
  out.report_s = workers.number("report_s", 0.01);
  out.lease_s = workers.number("lease_s", 0.1);
  out.cancel_s = workers.number("cancel_s", 0.1);
  out.gang_wait_s = workers.number_or("gang_wait_s", 0.1, out.gang_wait_s);
  out.gang_peer_s = workers.number_or("gang_peer_s", 0.1, out.gang_peer_s);
}

// The table `next` announces the values that the limits may change to.
void read_state_limits(const TableReader& state, Settings& out) {
  out.state_rps = out.next_state_rps = state.number("rps", 1);
  out.state_write_rps = out.next_write_rps = state.number("write_rps", 1);
  out.value_kb = state.number("value_kb", 1);
  out.txn_ops = static_cast<int>(state.number("txn_ops", 4));
  if (!state.has("next")) return;
  const TableReader next = state.subtable("next");
  out.next_state_rps = std::min(out.state_rps, next.number_or("rps", 1, out.state_rps));
  out.next_write_rps = std::min(out.state_write_rps, next.number_or("write_rps", 1, out.state_write_rps));
  out.value_kb = std::min(out.value_kb, next.number_or("value_kb", 1, out.value_kb));
  out.txn_ops = std::min(out.txn_ops, static_cast<int>(next.number_or("txn_ops", 4, out.txn_ops)));
}

void read_cloud_limits(const TableReader& cloud, Settings& out) {
  out.cloud_rps = cloud.number("rps", 0.1);
  out.list_lag_s = cloud.number("list_lag_s", 0);
}

void read_machine_limits(const TableReader& limits, Settings& out) {
  out.cpu_share = limits.number_or("cpu_share", 0, 1);
  out.mem_mb = limits.number_or("mem_mb", 0, 0);
  out.max_sockets = static_cast<int>(limits.number_or("max_sockets", 0, 0));
}

toml::table parse_toml(const std::string& text, const std::string& name) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    throw SettingsError(name + ": line " + std::to_string(error.source().begin.line) + ": " +
                        std::string(error.description()));
  }
}

// A numeric field of the operators' file.
struct TuningField {
  const char* section;
  const char* name;
  double Tuning::*value;
};
// The fields are listed in the order in which they are checked.
constexpr TuningField kTuningFields[] = {
    {"fleet", "headroom", &Tuning::headroom},
    {"fleet", "headroom_spread", &Tuning::headroom_spread},
    {"fleet", "idle_ordinary_s", &Tuning::idle_ordinary_s},
    {"fleet", "idle_return_s", &Tuning::idle_return_s},
    {"preference", "alignment", &Tuning::weight_alignment},
    {"preference", "fitness", &Tuning::weight_fitness},
    {"preference", "locality", &Tuning::weight_locality},
    {"preference", "slack", &Tuning::weight_slack},
    {"preference", "urgency", &Tuning::weight_urgency},
};

}  // namespace

int Settings::team_index(const std::string& name) const {
  for (std::size_t i = 0; i < teams.size(); i++) {
    if (teams[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

std::string Settings::member_address(const std::string& member) const {
  for (const Member& other : members) {
    if (other.node == member) return other.address;
  }
  return "";
}

Settings parse_settings(const std::string& text, const std::string& name) {
  const toml::table table = parse_toml(text, name);
  const TableReader root(table, name, "");
  Settings out;
  out.node = root.text("node");
  out.area = root.text("area");
  out.client_address = root.address("front");
  out.peer_address = root.address("back");
  for (const TableReader& item : root.tables("members"))
    out.members.push_back({item.text("node"), item.text("area"), item.address("address")});
  const TableReader outside = root.subtable("outside");
  out.cloud = outside.address("cloud");
  out.state = outside.address("state");
  const TableReader settings = root.subtable("settings");
  out.zones = settings.texts("zones");
  out.skew_s = settings.number_or("skew_ms", 0, 0) / 1000;
  read_teams(settings, out);
  read_objectives(settings, out);
  read_workers(settings.subtable("workers"), out);
  read_state_limits(settings.subtable("state"), out);
  read_cloud_limits(settings.subtable("cloud"), out);
  if (settings.has("machine_limits")) read_machine_limits(settings.subtable("machine_limits"), out);
  return out;
}

void parse_tuning(const std::string& text, const std::string& name, Tuning& tuning) {
  const INIReader ini(text.c_str(), text.size());
  if (ini.ParseError() != 0)
    throw SettingsError(name + ": line " + std::to_string(ini.ParseError()) + ": invalid INI syntax");
  for (const TuningField& field : kTuningFields) {
    const std::string raw_value = ini.Get(field.section, field.name, "");
    if (raw_value.empty()) continue;
    char* end = nullptr;
    const double value = std::strtod(raw_value.c_str(), &end);
    if (*end != '\0' || !std::isfinite(value) || value < 0) {
      std::string what = name;
      what.append(": ").append(field.section).append(".").append(field.name);
      throw SettingsError(what.append(": must be a number of at least 0"));
    }
    tuning.*field.value = value;
  }
  const std::string recovery = ini.Get("recovery", "enabled", "no");
  if (recovery != "yes" && recovery != "no")
    throw SettingsError(name + ": recovery.enabled: must be yes or no");
  tuning.recovery = recovery == "yes";
}

Settings load_settings(const std::string& file, const std::string& ini) {
  Settings out = parse_settings(read_file(file), file);
  if (!ini.empty()) parse_tuning(read_file(ini), ini, out.tuning);
  return out;
}

}  // namespace mothslip
