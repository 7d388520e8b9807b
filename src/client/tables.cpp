#include "client/tables.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace mothslip::client {

namespace {

constexpr std::size_t kColumnCount = 6;
using Row = std::array<std::string, kColumnCount>;

// Makes each column as wide as its longest entry, with two blanks between columns.
std::string render(const std::vector<Row>& rows) {
  std::array<std::size_t, kColumnCount> widths{};
  for (const Row& row : rows) {
    for (std::size_t column = 0; column < kColumnCount; column++)
      widths[column] = std::max(widths[column], row[column].size());
  }
  std::string out;
  for (const Row& row : rows) {
    std::string line;
    for (std::size_t column = 0; column < kColumnCount; column++) {
      line += row[column];
      if (column + 1 < kColumnCount) line += std::string(widths[column] - row[column].size() + 2, ' ');
    }
    out += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return out;
}

std::string duration_text(double duration_s) { return std::to_string(std::lround(duration_s)) + " s"; }

std::string or_dash(const std::string& text) { return text.empty() ? "-" : text; }

std::string rebuild_text(const recovery::RebuildStatus& rebuild) {
  std::string out = "phase:        " + rebuild.phase + ", since " + duration_text(rebuild.elapsed_s) + "\n";
  if (rebuild.remaining_wait_s)
    out += "waits:        " + duration_text(*rebuild.remaining_wait_s) + " more\n";
  if (rebuild.records)
    out += "records:      " + std::to_string(rebuild.records->written) + " of " +
           std::to_string(rebuild.records->total) + " written\n";
  for (const std::string& node : rebuild.missing_controllers) out += "not heard:    " + node + "\n";
  return out;
}

}  // namespace

std::string status_text(const recovery::ControllerStatus& status) {
  std::string out = "controller:   " + status.node + "\n";
  out += "incarnation:  " + std::to_string(status.incarnation) + "\n";
  const std::string state = status.serving ? "serving" : "stopped: records are rebuilt or read";
  out += "state:        " + state + "\n";
  if (!status.reason.empty())
    out += (status.serving ? "last reason:  " : "reason:       ") + status.reason + "\n";
  if (!status.recovery) return out;
  const recovery::RecoveryStatus& recovery = *status.recovery;
  out += "rebuilds:     incarnation " + std::to_string(recovery.target_incarnation) +
         (recovery.is_leader ? ", led by this controller\n" : ", led by another controller\n");
  if (recovery.rebuild) out += rebuild_text(*recovery.rebuild);
  return out;
}

std::string unaccounted_table(const recovery::UnaccountedList& list) {
  if (list.entries.empty()) return "every job is accounted for\n";
  std::vector<Row> rows = {{"JOB", "TEAM", "CLASS", "HELD", "DECIDED", "WHY"}};
  for (const recovery::UnaccountedEntry& entry : list.entries) {
    const std::string held = entry.held_tasks ? std::to_string(*entry.held_tasks) : "all";
    rows.push_back({or_dash(entry.job), or_dash(entry.team), or_dash(entry.job_class), held,
                    or_dash(entry.pending_decision), or_dash(entry.reason)});
  }
  return render(rows);
}

}  // namespace mothslip::client
