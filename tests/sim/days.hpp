// What simulated days are made of: jobs, and picks among nodes and machines.
#pragma once

#include "sim/world.hpp"

namespace mothslip::sim {

UserJob make_job(World& world, int number, double earliest_at, double latest_at);
// A plain array: nothing binds its tasks, and nobody cancels it. Submitted within a second of `at`.
UserJob plain_job(World& world, int number, double earliest_at, int task_count, double run_s, int cores = 2);
// Likewise, as a gang: all in one zone, on ordinary machines, saving every 10 s of progress.
UserJob gang_job(World& world, int number, double earliest_at, int task_count, double run_s, int cores = 2);
// As many as the options say, submitted between these times.
void add_jobs(World& world, double earliest_at, double latest_at);
// Five nodes and up to sixteen times so many machines: two types, four zones, ordinary and spot.
inline constexpr int kLargeMarketMachines = 125;
Options large_fleet(std::uint64_t seed, int market_machines = kLargeMarketMachines);
// Jobs of three sizes, a third of them in the first seconds.
void add_mixed_load(World& world, int jobs, double last_submit_at);
int random_node(World& world);
Worker* random_worker(World& world);  // null: there is none
// SIM_SEEDS=N plays N seeds of each day, for a search; the suite itself plays a few.
int seed_count();

}  // namespace mothslip::sim
