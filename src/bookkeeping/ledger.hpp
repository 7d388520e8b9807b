// What a part knows in memory of its jobs and machines, and what each team uses.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/ranges.hpp"
#include "bookkeeping/records.hpp"
#include "scheduling/preference.hpp"
#include "transport/http.hpp"

namespace mothslip {

struct Job {
  HeadRecord head;
  std::uint64_t head_stamp = 0;
  int team = 0;
  int bundle = 0;
  Resources demand{};

  RangeSet waiting;
  RangeSet done;
  RangeSet unsaved;  // done, but not yet durable: must not be reaped
  double unsaved_since = 0;
  std::uint64_t progress_stamp = 0;
  bool progress_inflight = false;

  int placed = 0;
  std::map<int, int> placed_by_hall;
  bool finishing = false;   // the ending is on its way to the state service
  bool cancelling = false;  // the cancellation is on its way
  bool cleaning = false;
  std::vector<Responder> cancel_waiters;

  int error_streak = 0;
  std::vector<std::pair<double, int>> backoff;  // when, which task
  double first_seen = 0;

  [[nodiscard]] const JobSpec& spec() const { return head.spec; }
  [[nodiscard]] bool over() const { return head.aborted || complete(); }
  [[nodiscard]] bool complete() const { return done.size() >= head.spec.pieces; }
  [[nodiscard]] bool durable(int index) const { return done.contains(index) && !unsaved.contains(index); }
};
using JobPtr = std::shared_ptr<Job>;

struct Placement {
  enum class Stage {
    kNew,       // in memory only; no launch may be sent
    kRecorded,  // durable; launches may be sent
    kFreeing,   // known to be gone from the machine; counts until the record without it is durable
  };
  JobPtr job;
  int index = 0;
  std::uint64_t try_no = 0;
  Stage stage = Stage::kNew;
  bool inherited = false;       // recorded by an earlier owner, who may have sent the launch
  std::uint64_t sent_tick = 0;  // tick of the report whose answer last carried the launch
  std::uint64_t seen_tick = 0;  // last report that showed it
  PiecePhase phase = PiecePhase::kPulling;
  double running_since = 0;
  double requeue_delay = 0;
  bool stop_asked = false;
};

struct Machine {
  std::string name;
  HostRecord record;  // identity and tenure; its placements field is unused here
  int type = 0;
  int hall = 0;
  Resources capacity{};
  Resources room{};
  std::vector<Placement> placements;
  std::vector<PieceReport> strays;  // of the last report: not among the placements

  std::uint64_t stamp = 0;  // of its record
  bool dirty = false;
  bool inflight = false;

  std::uint64_t tick = 0;
  bool heard = false;      // reported to this owner
  bool acked = false;      // acknowledged our baton
  double last_answer = 0;  // last time our answer may have renewed its lease
  double last_heard = 0;
  double first_heard = 0;
  double busy_at = 0;  // last time it had a placement
  std::optional<double> warned_at;
  bool draining = false;
  bool winding = false;  // takes nothing new, for now
  bool sick = false;
  int error_streak = 0;
  std::vector<std::string> errors_of;  // jobs behind the streak
  double no_fill_until = 0;
  std::vector<std::pair<int, double>> images;  // most recent last: bundle, GB

  Responder answer;  // a report waits for a commit
  double answer_by = 0;
  bool direct_inflight = false;

  // May anything new be started here?
  [[nodiscard]] bool welcome() const { return !draining && !sick && !warned_at; }
  [[nodiscard]] bool has_image(int bundle) const {
    for (const auto& [image, gb] : images) {
      if (image == bundle) return true;
    }
    return false;
  }
  void use_image(int bundle, double gb, double cache_gb) {
    std::erase_if(images, [bundle](const auto& item) { return item.first == bundle; });
    images.emplace_back(bundle, gb);
    double total = 0;
    for (const auto& item : images) total += item.second;
    while (images.size() > 1 && total > cache_gb) {
      total -= images.front().second;
      images.erase(images.begin());
    }
  }
};

// Use of each team against its limits. What is placed counts until it is known to be gone.
class TeamLedger {
 public:
  explicit TeamLedger(const std::vector<Team>& teams) {
    for (const Team& team : teams) rows_.push_back({team, 0, 0});
  }
  [[nodiscard]] bool room(int team, const Resources& demand) const {
    const Row& row = at(team);
    return row.cores + demand[0] <= row.team.cpus_max + kSlop &&
           row.gpus + demand[2] <= row.team.gpus_max + kSlop;
  }
  [[nodiscard]] bool in_guarantee(int team, const Resources& demand) const {
    const Row& row = at(team);
    return row.cores + demand[0] <= row.team.cpus + kSlop && row.gpus + demand[2] <= row.team.gpus + kSlop;
  }
  // Tasks of this size that the team's limit still lets in.
  [[nodiscard]] int tasks_within_limit(int team, const Resources& demand) const {
    const Row& row = at(team);
    double count = 1e6;
    if (demand[0] > 0) count = std::min(count, (row.team.cpus_max - row.cores + kSlop) / demand[0]);
    if (demand[2] > 0) count = std::min(count, (row.team.gpus_max - row.gpus + kSlop) / demand[2]);
    return std::max(0, static_cast<int>(count));
  }
  void add(int team, const Resources& demand) {
    rows_[static_cast<std::size_t>(team)].cores += demand[0];
    rows_[static_cast<std::size_t>(team)].gpus += demand[2];
  }
  void remove(int team, const Resources& demand) {
    rows_[static_cast<std::size_t>(team)].cores -= demand[0];
    rows_[static_cast<std::size_t>(team)].gpus -= demand[2];
  }
  [[nodiscard]] double cores(int team) const { return at(team).cores; }

 private:
  // Sums of decimal fractions come out a hair off; far below any real demand.
  static constexpr double kSlop = 1e-9;
  struct Row {
    Team team;
    double cores = 0;
    double gpus = 0;
  };
  [[nodiscard]] const Row& at(int team) const { return rows_[static_cast<std::size_t>(team)]; }
  std::vector<Row> rows_;
};

}  // namespace mothslip
