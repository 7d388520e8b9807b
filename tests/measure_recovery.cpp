// Measures a rebuild in the simulated cluster: its duration and its load on the state service. This is not a
// test. docs/performance.md has figures.
//     measure_recovery MARKET LOSS
// LOSS is `emptied`, or the number of seconds by which the state service is set back.
#include <cstdlib>
#include <iostream>
#include <string>

#include "sim/days.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

constexpr double kLossAtSeconds = 150;
constexpr double kEndAtSeconds = 700;
constexpr double kNotObserved = -1;

struct Measurement {
  // Times are measured from the loss.
  double published_after_s = kNotObserved;
  double first_start_after_s = kNotObserved;
  double nine_tenths_answered_after_s = kNotObserved;
  std::size_t machines = 0;
  int placed_before_loss = 0;
  int lost_tasks = 0;
  int changes = 0;
};

bool all_nodes_serve(const World& world) {
  for (const auto& process : world.nodes) {
    if (!process.node || !process.node->serving() || process.node->incarnation().is_first()) return false;
  }
  return true;
}

// Returns the share of open jobs, submitted before the loss, whose users have no unanswered poll.
double answered_share(const World& world) {
  int open = 0;
  int answered = 0;
  for (const auto& [ref, job] : world.jobs) {
    if (!job.accepted || job.user_saw_done || job.user_saw_aborted || job.submit_at > kLossAtSeconds)
      continue;
    open++;
    answered += job.unanswered_since < 0 ? 1 : 0;
  }
  return open == 0 ? 1 : static_cast<double>(answered) / open;
}

void observe(World& world, Measurement& out, int starts_at_loss) {
  const double since_loss_s = world.now - kLossAtSeconds;
  const bool serving = all_nodes_serve(world);
  if (out.published_after_s < 0 && serving) {
    out.published_after_s = since_loss_s;
    starts_at_loss = world.starts;
  }
  if (serving && out.first_start_after_s < 0 && world.starts > starts_at_loss)
    out.first_start_after_s = since_loss_s;
  // Users poll every 5 s, so that the share means nothing before they have all polled again.
  constexpr double kPollMarginSeconds = 6;
  if (serving && out.nine_tenths_answered_after_s < 0 &&
      since_loss_s > out.published_after_s + kPollMarginSeconds && answered_share(world) >= 0.9)
    out.nine_tenths_answered_after_s = since_loss_s;
  world.in(0.1, [&world, &out, starts_at_loss] { observe(world, out, starts_at_loss); });
}

}  // namespace

int main(int argc, char** argv) {
  set_up_log();
  const int market = argc > 1 ? std::atoi(argv[1]) : 6;
  const std::string loss = argc > 2 ? argv[2] : "emptied";
  Options sim_options = large_fleet(1, market);
  sim_options.recovery = true;
  sim_options.team_cpus = sim_options.team_max_cpus * market / kLargeMarketMachines;
  World world(sim_options);
  submit_mixed_jobs(world, std::max(20, 4 * market), 250);
  Measurement measurement;
  StateService::Snapshot copy;
  if (loss != "emptied")
    world.at(kLossAtSeconds - std::atof(loss.c_str()), [&] { copy = world.state.snapshot(); });
  world.at(kLossAtSeconds, [&] {
    for (const auto& [name, worker] : world.workers) {
      if (!worker->is_up()) continue;
      measurement.machines++;
      for (const Task& task : worker->tasks)
        measurement.placed_before_loss += worker->occupies_machine(task) ? 1 : 0;
    }
    measurement.changes = world.state.requested_changes;
    measurement.lost_tasks = world.tasks_lost_with_lease;
    world.state.restore(copy);
    observe(world, measurement, world.starts);
  });
  world.at(kLossAtSeconds + 60, [&] {
    measurement.changes = world.state.requested_changes - measurement.changes;
    measurement.lost_tasks = world.tasks_lost_with_lease - measurement.lost_tasks;
  });
  world.run_until(kEndAtSeconds);
  int ended_jobs = 0;
  for (const auto& [ref, job] : world.jobs) ended_jobs += job.user_saw_done || job.user_saw_aborted ? 1 : 0;
  std::cout << "machines " << measurement.machines << ", tasks on them " << measurement.placed_before_loss
            << ", loss " << loss << ": serving after " << measurement.published_after_s
            << " s, first start after " << measurement.first_start_after_s
            << " s, nine tenths of open jobs answered after " << measurement.nine_tenths_answered_after_s
            << " s, changes in 60 s " << measurement.changes << ", tasks lost " << measurement.lost_tasks
            << ", jobs ended " << ended_jobs << " of " << world.jobs.size() << ", rules broken "
            << world.violations.size() << '\n';
  return world.violations.empty() ? 0 : 1;
}
