// Failures that overlap. Each test brings one combination about, asserts that the combination occurred, and
// checks all rules of the protocol and the conditions at the end of the run. docs/design.md explains for each
// combination which mechanism keeps the rules. Combinations around a cancellation are in cancel_test.cpp.
#include <gtest/gtest.h>

#include "bookkeeping/records.hpp"
#include "sim/checks.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

class OverlappingFailures : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  static Options options() {
    Options out;
    out.seed = static_cast<std::uint64_t>(GetParam()) + 100;
    out.nodes = GetParam() % 2 == 0 ? 5 : 3;
    return out;
  }
};

// Returns a random responsive machine that has tasks, or null if there is none.
Worker* random_busy_worker(World& world) {
  std::vector<Worker*> busy;
  for (auto& [name, worker] : world.workers) {
    if (worker->is_up() && !worker->hung && !worker->tasks.empty()) busy.push_back(worker.get());
  }
  return busy.empty() ? nullptr : busy[world.rng() % busy.size()];
}

void crash_all(World& world, double restart_after_s) {
  for (int i = 0; i < world.options.nodes; i++) world.nodes.crash(i, restart_after_s);
}

// Counts the machines among `names` that have been returned or have died.
template <class Names>
int count_dead(const World& world, const Names& names) {
  int dead = 0;
  for (const std::string& name : names) dead += world.workers.at(name)->dead ? 1 : 0;
  return dead;
}

// The jobs of team red share one home shard, so that their tasks are delegated to the other shards. The tasks
// of team blue end just before 60 s and free capacity.
void submit_jobs_of_two_teams(World& world) {
  for (int i = 0; i < 20; i++) {
    UserJob job = plain_job(world, i, i < 14 ? 2 : 50, 8, i < 8 ? 160 : i < 14 ? 34 : 60, 2);
    job.body["owner"] = i >= 8 && i < 14 ? "blue" : "red";
    for (int n = 5000 + 100 * i; i < 8 && shard_of(job.ref, 3) != 0; n++)
      job.ref = "job-00" + std::to_string(n);
    job.body["ref"] = job.ref;
    world.submit(job);
  }
}

// The resources that the team uses at one moment.
struct TeamUsage {
  double cores = 0;
  int delegated_tasks = 0;                  // on machines of another shard
  std::set<std::string> delegate_machines;  // the machines of the delegated tasks
};

TeamUsage measure_red_team(const World& world) {
  TeamUsage out;
  for (const auto& [name, worker] : world.workers) {
    for (const Task& task : worker->tasks) {
      if (!worker->occupies_machine(task) || task.job->team != "red") continue;
      out.cores += task.job->cores;
      if (shard_of(task.ref, 3) == shard_of(name, 3)) continue;
      out.delegated_tasks++;
      out.delegate_machines.insert(name);
    }
  }
  return out;
}

// Submits jobs whose tasks fail on every machine until the jobs are cancelled. Returns the names of the jobs.
std::vector<std::string> submit_always_failing_jobs(World& world) {
  std::vector<std::string> out;
  for (int i = 20; i < 25; i++) {
    UserJob job = plain_job(world, i + 20, 25 + 1.5 * (i - 20), 20, 10, 1);
    job.always_fails = true;
    job.cancel_at = 120;
    out.push_back(job.ref);
    world.submit(job);
  }
  return out;
}

int count_starts(const World& world, const std::vector<std::string>& refs) {
  int out = 0;
  for (const std::string& ref : refs) {
    for (const auto& [index, starts] : world.jobs.at(ref).starts) out += starts;
  }
  return out;
}

// Injects one of the failures of the tests below, drawn at random, on a random node or machine.
void inject_random_failure(World& world) {
  const int node = random_node(world);
  Worker* worker = random_worker(world);
  const double duration_s = world.uniform(2, 40);
  switch (world.rng() % 9) {
    case 0:
      world.nodes.crash(node, world.rng() % 2 == 0 ? 0.1 : 8);
      break;
    case 1:
      world.state.set_outage(true);
      world.in(world.rng() % 3 == 0 ? duration_s + 15 : 5, [&world] { world.state.set_outage(false); });
      break;
    case 2:
      world.network.partition_node(node, world.rng() % 2 == 0);
      world.in(duration_s, [&world] { world.network.heal_partitions(); });
      break;
    case 3:
      world.nodes.freeze(node, duration_s);
      break;
    case 4:
      if (worker == nullptr) break;
      worker->inbound_unreachable = true;
      world.in(duration_s, [worker] { worker->inbound_unreachable = false; });
      break;
    case 5:
      if (worker == nullptr) break;
      worker->outbound_unreachable = true;
      world.in(duration_s, [worker] { worker->outbound_unreachable = false; });
      break;
    case 6:
      if (worker != nullptr) worker->hang(duration_s);
      break;
    case 7:
      if (worker != nullptr) worker->reboot(world.rng() % 2 == 0);
      break;
    default:
      for (auto& [ref, job] : world.jobs) {
        if (job.accepted && !job.user_saw_done && world.rng() % 6 == 0) world.cancel_job(ref);
      }
  }
}

}  // namespace

// Reports delayed by a network partition arrive at the owner that has taken the shard over and acted in the
// meantime. Duplicates of earlier reports arrive with them, some of them from earlier incarnations.
TEST_P(OverlappingFailures, DelayedReportsReachANewOwner) {
  Options sim_options = options();
  sim_options.message_duplicate_share = 0.3;
  World world(sim_options);
  world.network.delayed_share = 1;
  submit_jobs(world, 2, 100);
  int handovers = 0;
  for (double t = 30; t < 120; t += 22) {
    world.at(t, [&world] {
      int partitioned_machine_count = 0;
      for (auto& [name, worker] : world.workers) {
        if (worker->is_up() && !worker->tasks.empty() && partitioned_machine_count++ < 4)
          world.network.partition_machine(name);
      }
    });
    world.at(t + 1.5, [&] {
      const int node = random_node(world);
      handovers += world.nodes.owner_of(node) == node ? 1 : 0;
      world.nodes.crash(node, 9);
    });
    world.at(t + 8, [&world] { world.network.partitions.clear(); });
  }
  world.faults_end_at = 220;

  world.run_until(600);

  expect_invariants_hold(world);
  EXPECT_GT(handovers, 1);
  EXPECT_EQ(world.rules.launches_to_duplicates, 0);
}

// A quarter of all transactions gets no answer and is applied seconds later, after newer transactions of the
// same node. Meanwhile nodes crash, and users cancel jobs, poll them and resubmit them.
TEST_P(OverlappingFailures, TransactionsAreAppliedLate) {
  Options sim_options = options();
  sim_options.late_commit_share = 0.25;
  World world(sim_options);
  submit_jobs(world, 2, 100);
  for (double t = 25; t < 110; t += world.uniform(12, 25)) {
    world.at(t, [&world] { world.nodes.crash(random_node(world), world.uniform(0.1, 9)); });
  }
  world.at(120, [&world] { world.options.late_commit_share = 0; });
  world.faults_end_at = 135;

  world.run_until(600);

  expect_invariants_hold(world);
}

// Machines reach no node, while direct commands still reach them. Meanwhile the owner of their shard changes,
// and the new owner presents its fencing token to the machines.
TEST_P(OverlappingFailures, OutboundUnreachableMachinesAndANewOwner) {
  World world(options());
  submit_jobs(world, 2, 100);
  int outbound_unreachable = 0;
  for (double t = 30; t < 110; t += 13) {
    world.at(t, [&] {
      Worker* worker = random_busy_worker(world);
      if (worker == nullptr) return;
      worker->outbound_unreachable = true;
      outbound_unreachable++;
      world.in(world.uniform(4, 50), [worker] { worker->outbound_unreachable = false; });
      const int shard = shard_of(worker->name, world.options.nodes);
      if (const int owner = world.nodes.owner_of(shard); owner >= 0 && world.rng() % 2 == 0)
        world.in(world.uniform(0.5, 6), [&world, owner] { world.nodes.crash(owner, world.uniform(0.1, 9)); });
    });
  }
  world.faults_end_at = 165;

  world.run_until(600);

  expect_invariants_hold(world);
  EXPECT_GT(outbound_unreachable, 1);
}

// All nodes are down for longer than lease_s, so that every machine has lost its tasks and has started a
// new incarnation.
TEST_P(OverlappingFailures, AllNodesAreDownForLongerThanALease) {
  World world(options());
  submit_jobs(world, 2, 100);
  int running_tasks = 0;
  for (const double t : {45.0, 90.0}) {
    world.at(t, [&] {
      for (auto& [name, worker] : world.workers) {
        for (const Task& task : worker->tasks) running_tasks += worker->occupies_machine(task) ? 1 : 0;
      }
      for (int i = 0; i < world.options.nodes; i++) world.nodes.crash(i, world.options.lease_s + 3 + i);
    });
  }
  world.faults_end_at = 115;

  world.run_until(600);

  expect_invariants_hold(world);
  EXPECT_GT(running_tasks, 0);
}

// Nodes crash ten times within two minutes, so that shard owners change, also during outages of the state
// service.
TEST_P(OverlappingFailures, TenOwnerChangesInTwoMinutesWithOutages) {
  World world(options());
  submit_jobs(world, 2, 120);
  std::set<std::uint64_t> fencing_tokens;
  for (int i = 0; i < 10; i++) {
    world.at(20 + i * 12, [&world, i] { world.nodes.crash(i % world.options.nodes, i % 3 == 0 ? 0.1 : 6); });
    world.at(19 + i * 12, [&] {
      for (int p = 0; p < world.options.nodes; p++)
        fencing_tokens.insert(world.state.revision(keys::shard_owner(p)));
    });
  }
  for (const double t : {50.0, 100.0}) {
    world.at(t, [&world] { world.state.set_outage(true); });
    world.at(t + 11, [&world] { world.state.set_outage(false); });
  }
  world.faults_end_at = 145;

  world.run_until(600);

  expect_invariants_hold(world);
  EXPECT_GE(fencing_tokens.size(), 8u);
}

// Array jobs bound to one zone repeatedly lose machines of that zone.
TEST_P(OverlappingFailures, JobsBoundToOneZoneLoseMachines) {
  World world(options());
  for (int i = 0; i < 12; i++) {
    UserJob job = plain_job(world, i, world.uniform(2, 80), 6, 15, 4);
    if (i % 3 == 0) job.body["hall"] = "b";
    if (i % 3 == 1) job.body["together"] = true;
    if (i % 3 == 2) job.body["scatter"] = true;
    world.submit(job);
  }
  int lost_machines = 0;
  for (double t = 25; t < 110; t += 8) {
    world.at(t, [&] {
      for (auto& [name, worker] : world.workers) {
        if (!worker->is_up() || worker->zone != "b" || worker->tasks.empty()) continue;
        worker->dead = true;
        lost_machines++;
        break;
      }
    });
  }
  world.faults_end_at = 115;

  world.run_until(700);

  expect_invariants_hold(world);
  EXPECT_GT(lost_machines, 3);
}

// More urgent and best-effort work than the machines can run, while the state service answers slowly and
// messages are lost. The limits of the teams and the priority order hold, and all jobs run in the end.
TEST_P(OverlappingFailures, MoreWorkThanCapacityWithASlowStateService) {
  Options sim_options = options();
  sim_options.message_loss_share = 0.02;
  sim_options.nodes = 3;
  sim_options.market_machines = 1;
  World world(sim_options);
  for (int i = 0; i < 30; i++) {
    UserJob job = plain_job(world, i, world.uniform(2, 60), 8, 8, i % 3 == 0 ? 4 : 2);
    job.body["urgency"] = i % 2 == 0 ? "urgent" : "best_effort";
    job.body["workload"] = i % 2 == 0 ? "urgent" : "idle";
    world.submit(job);
  }
  world.at(20, [&world] { world.state.answer_delay_s = 0.5; });
  world.at(90, [&world] { world.state.answer_delay_s = 0; });
  int unstarted_tasks = 0;
  world.at(70, [&] {
    for (const auto& [ref, job] : world.jobs)
      unstarted_tasks += job.task_count - static_cast<int>(job.starts.size());
  });
  world.faults_end_at = 95;

  world.run_until(700);

  expect_invariants_hold(world);
  EXPECT_GT(unstarted_tasks, 20) << "too few tasks were waiting at 70 s: there was no overload";
}

// The tasks of a job end far apart, with a change of owner in between. Completed tasks stay completed, no
// task runs twice, and the job is done once its last task is done.
TEST_P(OverlappingFailures, TasksThatEndFarApartAcrossAChangeOfOwner) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  World world(sim_options);
  for (int i = 0; i < 10; i++) {
    UserJob job = plain_job(world, i, 5, 2 + i % 2, 40, 1);
    job.run_increment_s = 50;  // task k takes 50 s longer than task k - 1
    world.submit(job);
  }
  int partly_done_jobs = 0;
  world.at(85, [&] {
    for (const auto& [ref, job] : world.jobs)
      partly_done_jobs += job.completed.empty() || job.user_saw_done ? 0 : 1;
    crash_all(world, 0.3);
  });
  world.at(100, [&world] { world.nodes.crash(0, 9); });
  world.faults_end_at = 115;

  world.run_until(400);

  expect_invariants_hold(world);
  EXPECT_GT(partly_done_jobs, 3);
  for (const auto& [ref, job] : world.jobs) {
    for (const auto& [index, starts] : job.starts) EXPECT_EQ(starts, 1) << ref << "/" << index;
  }
}

// Users cancel and resubmit a job at the moment at which its last task ends, without any other failure. The
// job ends as done or as cancelled, and keeps the state that users received first.
TEST_P(OverlappingFailures, ACancellationAtTheEndOfTheLastTask) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  World world(sim_options);
  for (int i = 0; i < 40; i++) world.submit(plain_job(world, i, world.uniform(2, 60), 1 + i % 3, 6, 1));
  int last_task_ends = 0;
  world.on_job_completed = [&](const std::string& ref) {
    last_task_ends++;
    const double delay_s =
        world.rng() % 2 == 0 ? 0 : world.uniform(0, 1.5);  // before or after the owner knows of the end
    world.in(delay_s, [&world, ref] { world.cancel_job(ref); });
    world.in(world.uniform(0, 2), [&world, ref] { world.resubmit(ref); });
  };

  world.run_until(300);

  EXPECT_TRUE(world.violations.empty()) << world.summary();
  EXPECT_GE(last_task_ends, 30);
  int done = 0;
  int aborted = 0;
  for (const auto& [ref, job] : world.jobs) {
    EXPECT_TRUE(job.user_saw_done || job.user_saw_aborted) << ref;
    done += job.user_saw_done ? 1 : 0;
    aborted += job.user_saw_aborted ? 1 : 0;
  }
  EXPECT_GT(done, 0);
  EXPECT_GT(aborted, 0);
}

// A team is at its limit when the shard owners change; some of its machines are unreachable, and its jobs are
// cancelled at the same time. Tasks on those machines count towards the limit, cancelled or not. A new owner
// once did not count them and started other tasks of the team beyond the limit.
TEST_P(OverlappingFailures, TeamLimitHoldsWhileMachinesAreUnreachableAndJobsAreCancelled) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  sim_options.nodes = 3;
  sim_options.team_max_cpus = 40;
  World world(sim_options);
  world.network.delayed_share = 0;
  submit_jobs_of_two_teams(world);
  TeamUsage red_team;
  world.at(60, [&] {
    red_team = measure_red_team(world);
    for (const std::string& name : red_team.delegate_machines)
      world.network.partition_machine(name);  // unreachable
    for (auto& [ref, job] : world.jobs) {
      if (job.run_s > 100) world.cancel_job(ref);
    }
  });
  world.at(61.5, [&world] { crash_all(world, 0.2); });
  world.at(74, [&world] { world.network.partitions.clear(); });
  world.faults_end_at = 76;

  world.run_until(1500);

  expect_invariants_hold(world);
  EXPECT_GE(red_team.cores, 36);
  EXPECT_GE(red_team.delegated_tasks, 1);
}

// Commands and their answers are delayed for seconds, after which the machines resume: a machine that hung
// processes the commands that arrived in the meantime, and a partitioned machine receives them late.
TEST_P(OverlappingFailures, DelayedCommandsReachMachinesThatResume) {
  World world(options());
  world.network.delayed_share = 1;
  submit_jobs(world, 2, 100);
  int disturbed_machines = 0;
  for (double t = 25; t < 110; t += 7) {
    world.at(t, [&] {
      Worker* worker = random_busy_worker(world);
      if (worker == nullptr) return;
      disturbed_machines++;
      if (world.rng() % 2 == 0) {
        worker->hang(world.uniform(2, 11));
      } else {
        world.network.partition_machine(worker->name);
        world.in(world.uniform(2, 11), [&world, name = worker->name] {
          for (int i = 0; i < world.options.nodes; i++) world.network.partitions.erase({name, node_name(i)});
        });
      }
      for (const Task& task : worker->tasks) {
        if (task.job != nullptr && world.rng() % 4 == 0) {
          world.cancel_job(task.ref);
          break;
        }
      }
      if (world.rng() % 3 == 0) world.nodes.crash(random_node(world), world.uniform(0.1, 5));
    });
  }
  world.faults_end_at = 200;

  world.run_until(700);

  expect_invariants_hold(world);
  EXPECT_GT(disturbed_machines, 5);
}

// A node freezes for seconds or for up to 70 s while its clocks advance. After it resumes it does nothing
// that its expired leases no longer allow. Other nodes serve its shards in the meantime.
TEST_P(OverlappingFailures, ANodeFreezesAndResumes) {
  World world(options());
  submit_jobs(world, 2, 150);
  for (double t = 25; t < 150; t += 20) {
    world.at(t, [&world] {
      const int node = random_node(world);
      world.nodes.freeze(node, world.rng() % 2 == 0 ? world.uniform(3, 9) : world.uniform(30, 70));
      if (world.rng() % 2 == 0) {
        world.in(6, [&world] {
          for (auto& [ref, job] : world.jobs) {
            if (job.accepted && !job.user_saw_done && world.rng() % 3 == 0) world.cancel_job(ref);
          }
        });
      }
    });
  }
  world.faults_end_at = 225;

  world.run_until(700);

  expect_invariants_hold(world);
}

// Some jobs fail on every machine until their users cancel them, and one machine is faulty. Healthy machines
// on which those jobs fail are not classified as faulty, the faulty machine is detected and returned, other
// jobs continue, and the failing jobs are retried rarely.
TEST_P(OverlappingFailures, AlwaysFailingJobsAndAFaultyMachine) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  sim_options.nodes = 3;
  sim_options.market_machines = 6;
  sim_options.team_max_cpus = 160;
  World world(sim_options);
  for (int i = 0; i < 40; i++) world.submit(plain_job(world, i, 2 + i * 1.8, 16, 10, 4));
  const std::vector<std::string> always_failing_refs = submit_always_failing_jobs(world);
  std::string faulty;
  std::set<std::string> healthy;
  world.at(24, [&] {
    for (auto& [name, worker] : world.workers) {
      if (!worker->is_up()) continue;
      if (faulty.empty()) {
        faulty = name;
        worker->faulty = true;
      } else {
        healthy.insert(name);
      }
    }
  });
  int lost_machines = 0;
  world.at(60, [&] { lost_machines = count_dead(world, healthy); });

  world.run_until(400);

  expect_invariants_hold(world);
  EXPECT_TRUE(world.workers.at(faulty)->dead) << "the faulty machine was not returned";
  EXPECT_GT(healthy.size(), 6u);
  EXPECT_LE(4u * static_cast<unsigned>(lost_machines), healthy.size())
      << "too many healthy machines were returned as faulty";
  const int attempts = count_starts(world, always_failing_refs);
  EXPECT_GE(attempts, 15);
  EXPECT_LT(attempts, 250);
}

// A node freezes, and its shards get a new owner, which has no information on machines without tasks
// except from their reports. These machines are up and must not be returned as rentals that never arrived.
TEST_P(OverlappingFailures, IdleMachinesSurviveATakeover) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  sim_options.nodes = 3;
  World world(sim_options);
  for (int i = 0; i < 8; i++) world.submit(plain_job(world, i, 2, 8, 25, 2));
  std::map<int, std::set<std::string>> idle_by_shard;
  world.at(72, [&] {
    for (auto& [name, worker] : world.workers) {
      if (worker->is_up() && worker->tasks.empty()) idle_by_shard[shard_of(name, 3)].insert(name);
    }
    idle_by_shard.erase(0);  // the owner of shard 0 rents and returns machines and must keep running
    ASSERT_FALSE(idle_by_shard.empty());
    world.nodes.freeze(world.nodes.owner_of(idle_by_shard.begin()->first), 20);
  });
  int lost_machines = 0;
  world.at(84, [&] {
    for (const auto& [shard, names] : idle_by_shard) lost_machines += count_dead(world, names);
  });
  world.faults_end_at = 95;

  world.run_until(300);

  expect_invariants_hold(world);
  EXPECT_EQ(lost_machines, 0);
}

// All failures of the tests above, drawn at random and overlapping.
TEST_P(OverlappingFailures, RandomFailuresOverlap) {
  Options sim_options = options();
  sim_options.message_loss_share = 0.005;
  sim_options.message_duplicate_share = 0.1;
  sim_options.late_commit_share = 0.05;
  World world(sim_options);
  world.network.delayed_share = 0.6;
  submit_jobs(world, 2, 140);
  for (double t = 20; t < 150; t += world.uniform(2, 9)) {
    world.at(t, [&world] { inject_random_failure(world); });
  }
  world.at(190, [&world] {
    world.options.late_commit_share = world.options.message_duplicate_share = 0;
    world.network.heal_partitions();
    world.state.set_outage(false);
  });
  world.faults_end_at = 250;

  world.run_until(800);

  expect_invariants_hold(world);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OverlappingFailures, ::testing::Range(1, 1 + seed_count()));
