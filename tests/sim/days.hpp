// What simulated days are made of: jobs, and picks among nodes and machines.
#pragma once

#include "sim/world.hpp"

namespace mothslip::sim {

UserJob make_job(World& world, int number, double from, double to);
// A plain array: nothing binds its tasks, and nobody cancels it. Submitted within a second of `at`.
UserJob plain_job(World& world, int number, double at, int task_count, double run_s, int cores = 2);
// Likewise, as a gang: all in one zone, on ordinary machines, saving every 10 s of progress.
UserJob gang_job(World& world, int number, double at, int task_count, double run_s, int cores = 2);
// As many as the options say, submitted between these times.
void add_jobs(World& world, double from, double to);
// Five nodes and up to sixteen times so many machines: two types, four zones, ordinary and spot.
inline constexpr int kLargeMarket = 125;
Options large_fleet(std::uint64_t seed, int market = kLargeMarket);
// Jobs of three sizes, a third of them in the first seconds.
void add_crowd(World& world, int jobs, double until);
int some_node(World& world);
Worker* some_worker(World& world);  // null: there is none
// SIM_SEEDS=N plays N seeds of each day, for a search; the suite itself plays a few.
int seeds();

}  // namespace mothslip::sim
