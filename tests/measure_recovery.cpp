// Measures a rebuilding in the simulated cluster: how long it takes, and how much it asks of the state
// service. Not a test; docs/performance.md has figures.
//     measure_recovery MARKET LOSS     LOSS: emptied, or a number of seconds that the service is set back
#include <cstdlib>
#include <iostream>
#include <string>

#include "sim/days.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

constexpr double kLossAt = 150;
constexpr double kEnd = 700;
constexpr double kNever = -1;

struct Measured {
  double published = kNever;  // seconds after the loss
  double first_start = kNever;
  double nine_tenths_answered = kNever;
  std::size_t machines = 0;
  int placed_before = 0;
  int lost_tasks = 0;
  int changes = 0;
};

bool all_serve(const World& world) {
  for (const auto& process : world.nodes) {
    if (!process.node || !process.node->serving() || process.node->incarnation().is_first()) return false;
  }
  return true;
}

// Of the jobs that are open to their users, those that have been answered since.
double answered_share(const World& world) {
  int open = 0;
  int answered = 0;
  for (const auto& [ref, job] : world.jobs) {
    if (!job.accepted || job.user_saw_done || job.user_saw_aborted || job.submit_at > kLossAt) continue;
    open++;
    answered += job.unanswered_since < 0 ? 1 : 0;
  }
  return open == 0 ? 1 : static_cast<double>(answered) / open;
}

void observe(World& world, Measured& out, int starts_at_loss) {
  const double since = world.now - kLossAt;
  const bool serving = all_serve(world);
  if (out.published < 0 && serving) {
    out.published = since;
    starts_at_loss = world.starts;
  }
  if (serving && out.first_start < 0 && world.starts > starts_at_loss) out.first_start = since;
  // (Users ask every 5 s: before that nobody has asked again.)
  constexpr double kAskedAgain = 6;
  if (serving && out.nine_tenths_answered < 0 && since > out.published + kAskedAgain &&
      answered_share(world) >= 0.9)
    out.nine_tenths_answered = since;
  world.in(0.1, [&world, &out, starts_at_loss] { observe(world, out, starts_at_loss); });
}

}  // namespace

int main(int argc, char** argv) {
  set_up_log();
  const int market = argc > 1 ? std::atoi(argv[1]) : 6;
  const std::string loss = argc > 2 ? argv[2] : "emptied";
  Options options = large_fleet(1, market);
  options.recovery = true;
  options.team_cpus = options.team_max_cpus * market / kLargeMarketMachines;
  World world(options);
  add_mixed_load(world, std::max(20, 4 * market), 250);
  Measured measured;
  StateService::Snapshot copy;
  if (loss != "emptied") world.at(kLossAt - std::atof(loss.c_str()), [&] { copy = world.state.snapshot(); });
  world.at(kLossAt, [&] {
    for (const auto& [name, worker] : world.workers) {
      if (!worker->is_up()) continue;
      measured.machines++;
      for (const Task& task : worker->tasks) measured.placed_before += worker->occupies_machine(task) ? 1 : 0;
    }
    measured.changes = world.state.requested_changes;
    measured.lost_tasks = world.tasks_lost_with_lease;
    world.state.restore(copy);
    observe(world, measured, world.starts);
  });
  world.at(kLossAt + 60, [&] {
    measured.changes = world.state.requested_changes - measured.changes;
    measured.lost_tasks = world.tasks_lost_with_lease - measured.lost_tasks;
  });
  world.run_until(kEnd);
  int told = 0;
  for (const auto& [ref, job] : world.jobs) told += job.user_saw_done || job.user_saw_aborted ? 1 : 0;
  std::cout << "machines " << measured.machines << ", tasks on them " << measured.placed_before << ", loss "
            << loss << ": serving after " << measured.published << " s, first start after "
            << measured.first_start << " s, nine tenths of open jobs answered after "
            << measured.nine_tenths_answered << " s, changes in 60 s " << measured.changes << ", tasks lost "
            << measured.lost_tasks << ", jobs ended " << told << " of " << world.jobs.size()
            << ", rules broken " << world.violations.size() << '\n';
  return world.violations.empty() ? 0 : 1;
}
