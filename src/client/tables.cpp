#include "client/tables.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace mothslip::client {

namespace {

constexpr std::size_t kColumns = 6;
using Row = std::array<std::string, kColumns>;

std::string render(const std::vector<Row>& rows) {
  std::array<std::size_t, kColumns> widths{};
  for (const Row& row : rows) {
    for (std::size_t column = 0; column < kColumns; column++)
      widths[column] = std::max(widths[column], row[column].size());
  }
  std::string out;
  for (const Row& row : rows) {
    std::string line;
    for (std::size_t column = 0; column < kColumns; column++) {
      line += row[column];
      if (column + 1 < kColumns) line += std::string(widths[column] - row[column].size() + 2, ' ');
    }
    out += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return out;
}

std::string rounded(double seconds) { return std::to_string(std::lround(seconds)) + " s"; }

std::string rebuild_text(const Json& rebuild) {
  std::string out = "phase:        " + rebuild.value("phase", "") + ", since " +
                    rounded(rebuild.value("since_s", 0.0)) + "\n";
  if (rebuild.contains("waits_s"))
    out += "waits:        " + rounded(rebuild["waits_s"].get<double>()) + " more\n";
  if (rebuild.contains("records"))
    out += "records:      " + std::to_string(rebuild.value("written", 0)) + " of " +
           std::to_string(rebuild.value("records", 0)) + " written\n";
  for (const Json& node : rebuild.value("not_heard", Json::array()))
    out += "not heard:    " + node.get<std::string>() + "\n";
  return out;
}

}  // namespace

std::string status_text(const Json& status) {
  const bool serving = status.value("serving", false);
  std::string out = "controller:   " + status.value("node", "") + "\n";
  out += "incarnation:  " + std::to_string(status.value("incarnation", 0)) + "\n";
  out +=
      std::string("state:        ") + (serving ? "serving" : "stopped: records are rebuilt or read") + "\n";
  if (const std::string reason = status.value("reason", ""); !reason.empty())
    out += (serving ? "last reason:  " : "reason:       ") + reason + "\n";
  if (!status.contains("recovery")) return out;
  const Json& recovery = status["recovery"];
  out += "rebuilds:     incarnation " + std::to_string(recovery.value("begun", 0)) +
         (recovery.value("leads", false) ? ", led by this controller\n" : ", led by another controller\n");
  if (recovery.contains("rebuild")) out += rebuild_text(recovery["rebuild"]);
  return out;
}

std::string unaccounted_table(const Json& list) {
  const Json entries = list.value("unaccounted", Json::array());
  if (entries.empty()) return "every job is accounted for\n";
  std::vector<Row> rows = {{"JOB", "TEAM", "CLASS", "HELD", "DECIDED", "WHY"}};
  for (const Json& entry : entries) {
    const auto field = [&entry](const char* name) {
      const std::string text = entry.value(name, "");
      return text.empty() ? std::string("-") : text;
    };
    const std::string held =
        entry.contains("held_tasks") ? std::to_string(entry["held_tasks"].get<int>()) : "all";
    rows.push_back({field("job"), field("team"), field("class"), held, field("decided"), field("reason")});
  }
  return render(rows);
}

}  // namespace mothslip::client
