// Building blocks of simulated scenarios: jobs, and random choices of nodes and machines.
#pragma once

#include "sim/world.hpp"

namespace mothslip::sim {

UserJob make_job(World& world, int number, double earliest_at, double latest_at);
// Creates an array job without placement constraints that nobody cancels. It is submitted within one second
// of `earliest_at`.
UserJob plain_job(World& world, int number, double earliest_at, int task_count, double run_s, int cores = 2);
// Creates a gang of the same kind. Its tasks run in one zone on ordinary machines, and it saves a
// checkpoint every 10 s of progress.
UserJob gang_job(World& world, int number, double earliest_at, int task_count, double run_s, int cores = 2);
// Submits as many jobs as the options specify, at random times between the two given ones.
void submit_jobs(World& world, double earliest_at, double latest_at);
// Options for a cluster of five nodes, in which up to 16 * `market_machines` machines can be rented: two
// machine types, four zones, ordinary and spot.
inline constexpr int kLargeMarketMachines = 125;
Options large_fleet(std::uint64_t seed, int market_machines = kLargeMarketMachines);
// Submits jobs of three sizes, a third of them within the first seconds.
void submit_mixed_jobs(World& world, int jobs, double last_submit_at);
int random_node(World& world);
// Returns null if no machine is alive.
Worker* random_worker(World& world);
// Returns the number of seeds that each scenario runs with. SIM_SEEDS=N sets it, to search for faults; the
// default is small.
int seed_count();

}  // namespace mothslip::sim
