#include "sim/days.hpp"

#include <algorithm>
#include <cstdlib>

namespace mothslip::sim {

UserJob make_job(World& world, int number, double earliest_at, double latest_at) {
  UserJob job;
  job.ref = "job-" + std::to_string(100 + number * 7 % 1000) + std::to_string(number);
  job.task_count = 1 + static_cast<int>(world.rng() % 12);
  job.run_s = world.uniform(2, 20);
  job.submit_at = world.uniform(earliest_at, latest_at);
  if (world.rng() % 5 == 0) job.cancel_at = job.submit_at + world.uniform(0, 30);
  const int cores = 1 + static_cast<int>(world.rng() % 8);
  const bool same_zone = world.rng() % 5 == 0;
  job.body = {{"ref", job.ref},
              {"workload", "w"},
              {"owner", world.rng() % 2 == 0 ? "red" : "blue"},
              {"shape", "array"},
              {"urgency", world.rng() % 2 == 0 ? "urgent" : "normal"},
              {"pieces", job.task_count},
              {"cores", cores},
              {"accelerators", 0},
              {"memory_gb", cores * 2},
              {"bundle", "img-" + std::to_string(world.rng() % 3)},
              {"pull_gb", 1},
              {"flavours", nullptr},
              {"hall", world.rng() % 6 == 0 ? Json("b") : Json(nullptr)},
              {"together", same_zone},
              {"scatter", !same_zone && world.rng() % 5 == 0},
              {"loaner", world.rng() % 3 != 0},
              {"guess_s", job.run_s * world.uniform(0.5, 1.5)},
              {"snapshot_every_s", 0},
              {"snapshot_cost_s", 0},
              {"due_s", nullptr}};
  return job;
}

Options large_fleet(std::uint64_t seed, int market_machines) {
  constexpr int kZones = 4;
  Options out;
  out.seed = seed;
  out.nodes = 5;
  out.market_machines = market_machines;
  out.zones.clear();
  for (int i = 0; i < kZones; i++) out.zones.push_back("hall-" + std::to_string(i));
  out.report_s = 4;
  out.lease_s = 20;
  out.team_cpus = 4000;
  out.team_max_cpus = 9000;
  out.state_rps = 200;
  out.write_rps = 50;
  out.txn_ops = 12;
  out.cloud_rps = 8;
  out.items_per_page = 500;
  out.enforces_rate_limits = true;
  return out;
}

void submit_mixed_jobs(World& world, int jobs, double last_submit_at) {
  for (int i = 0; i < jobs; i++) {
    UserJob job;
    job.ref = "job-" + std::to_string(100000 + i * 7919 % 100000);
    const int kind = i % 4;
    job.task_count = kind == 0 ? 10 : 40;
    job.run_s = world.uniform(15, 40);
    job.submit_at = i < jobs / 3 ? world.uniform(2, 12) : world.uniform(12, last_submit_at);
    if (i % 20 == 19) job.cancel_at = job.submit_at + world.uniform(1, 40);
    const int cores = kind == 0 ? 12 : kind == 1 ? 4 : 2;
    job.body = {{"ref", job.ref},
                {"workload", kind == 0   ? "large"
                             : kind == 1 ? "middle"
                                         : "small"},
                {"owner", i % 2 == 0 ? "red" : "blue"},
                {"shape", "array"},
                {"urgency", kind >= 2 ? "urgent" : "normal"},
                {"pieces", job.task_count},
                {"cores", cores},
                {"accelerators", 0},
                {"memory_gb", cores * 2},
                {"bundle", "img-" + std::to_string(i % 15)},
                {"pull_gb", 1},
                {"flavours", nullptr},
                {"hall", nullptr},
                {"together", false},
                {"scatter", false},
                {"loaner", true},
                {"guess_s", job.run_s * world.uniform(0.6, 1.4)},
                {"snapshot_every_s", 0},
                {"snapshot_cost_s", 0},
                {"due_s", job.run_s * 3 + 40}};
    world.submit(job);
  }
}

int random_node(World& world) {
  return static_cast<int>(world.rng() % static_cast<std::uint64_t>(world.options.nodes));
}

void submit_jobs(World& world, double earliest_at, double latest_at) {
  for (int i = 0; i < world.options.jobs; i++) world.submit(make_job(world, i, earliest_at, latest_at));
}

Worker* random_worker(World& world) {
  std::vector<Worker*> alive;
  for (auto& [name, worker] : world.workers) {
    if (!worker->dead) alive.push_back(worker.get());
  }
  return alive.empty() ? nullptr : alive[world.rng() % alive.size()];
}

UserJob plain_job(World& world, int number, double earliest_at, int task_count, double run_s, int cores) {
  UserJob job = make_job(world, number, earliest_at, earliest_at + 1);
  job.cancel_at = -1;
  job.task_count = task_count;
  job.run_s = run_s;
  job.body["pieces"] = task_count;
  job.body["cores"] = cores;
  job.body["memory_gb"] = 2 * cores;
  job.body["together"] = job.body["scatter"] = false;
  job.body["hall"] = nullptr;
  job.body["loaner"] = true;
  job.body["guess_s"] = run_s;
  return job;
}

UserJob gang_job(World& world, int number, double earliest_at, int task_count, double run_s, int cores) {
  UserJob job = plain_job(world, number, earliest_at, task_count, run_s, cores);
  job.body["shape"] = "ensemble";
  job.body["workload"] = "g";
  job.body["together"] = true;
  job.body["loaner"] = false;
  job.body["snapshot_every_s"] = 10;
  job.body["snapshot_cost_s"] = 1;
  return job;
}

int seed_count() {
  const char* const given = std::getenv("SIM_SEEDS");
  return given == nullptr ? 4 : std::max(1, std::atoi(given));
}

}  // namespace mothslip::sim
