// Tests of gangs in the simulated cluster: the tasks of a gang start together or not at all, also under
// faults. The simulated machines follow the protocol's rules for gangs (sim/gangs.hpp). The rules of the
// cluster are checked throughout each test.
#include <gtest/gtest.h>

#include "bookkeeping/records.hpp"
#include "sim/checks.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

class Gang : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  static Options options() {
    Options out;
    out.seed = static_cast<std::uint64_t>(GetParam());
    out.message_loss_share = 0.001;
    out.market_machines = 4;
    out.team_cpus = 60;
    out.team_max_cpus = 120;
    return out;
  }
  // Submits gangs of several sizes, and arrays among them.
  static void submit_gangs(World& world, double from, double run_s) {
    const int sizes[] = {2, 3, 4, 6, 8};
    for (int i = 0; i < 8; i++)
      world.submit(gang_job(world, 60 + i, from + 2 * i, sizes[i % 5], run_s, 1 + i % 2));
    for (int i = 0; i < 6; i++) world.submit(plain_job(world, i, from + 2 * i, 6, 10));
  }
  static void expect_all_done(World& world) {
    expect_invariants_hold(world);
    for (const auto& [ref, job] : world.jobs)
      EXPECT_TRUE(job.user_saw_done) << ref << "\n" << world.summary();
  }
};

// Finds a machine with a gang task in this phase. With `is_spread`, the gang must be spread over several
// machines.
Worker* find_member(World& world, const std::string& phase, bool is_spread = false) {
  for (auto& [name, worker] : world.workers) {
    if (worker->dead || worker->hung) continue;
    for (const Task& task : worker->tasks) {
      if (task.job == nullptr || !task.job->gang || task.phase != phase) continue;
      int tasks_on_machine = 0;
      for (const Task& other : worker->tasks) tasks_on_machine += other.ref == task.ref ? 1 : 0;
      if (!is_spread || tasks_on_machine < task.job->task_count) return worker.get();
    }
  }
  return nullptr;
}

// Applies `action` to the machine that find_member finds, as soon as there is one.
void on_member_in_phase(World& world, const std::string& phase, bool is_spread,
                        const std::function<void(Worker&)>& action) {
  if (Worker* worker = find_member(world, phase, is_spread)) return action(*worker);
  world.in(0.05, [&world, phase, is_spread, action] { on_member_in_phase(world, phase, is_spread, action); });
}

// The cloud gives an eviction notice and removes the machine after `notice_s`.
void evict_machine(World& world, Worker& worker, double notice_s) {
  worker.eviction_notice_s = notice_s;
  worker.mark_changed();
  world.in(notice_s, [&worker] { worker.dead = true; });
}

bool places_gang(const Json& txn) {
  for (const Json& change : txn["then"]) {
    if (!change.contains("put") || change["put"].get<std::string>().rfind("h/", 0) != 0) continue;
    for (const auto& [machine_name, record] : change["data"]["m"].items()) {
      for (const auto& [ref, tasks] : record["p"].items()) {
        // Two tasks with the same attempt number belong to a gang.
        for (std::size_t i = 1; i + 2 < tasks.size(); i += 2) {
          if (tasks[i] == tasks[i + 2]) return true;
        }
      }
    }
  }
  return false;
}

// Evicts the first two machines that hold members of the gang. Returns the number of machines that hold
// members.
int evict_two_members(World& world, const std::string& ref) {
  int members = 0;
  for (auto& [name, worker] : world.workers) {
    const bool hosts_member = std::any_of(worker->tasks.begin(), worker->tasks.end(),
                                          [&ref](const Task& task) { return task.ref == ref; });
    if (hosts_member && members++ < 2) evict_machine(world, *worker, 14);
  }
  return members;
}

bool is_stop_recorded(const World& world) {
  const auto& values = world.state.values();
  return std::any_of(values.begin(), values.end(), [](const auto& record) {
    const auto& [key, value] = record;
    return key.rfind("h/", 0) == 0 && value.dump().find("\"x\":[") != std::string::npos;
  });
}

}  // namespace

TEST_P(Gang, AllGangsCompleteWithoutFailures) {
  World world(options());
  submit_gangs(world, 3, 20);

  world.run_until(240);

  expect_all_done(world);
  EXPECT_EQ(world.gangs.attempts_failed, 0);
  EXPECT_EQ(world.gangs.tasks_without_peers, 0);
}

// If a task is lost before the gang starts, the other tasks wait, and a replacement with the same attempt
// number completes the gang.
TEST_P(Gang, TaskLostBeforeTheStartIsReplaced) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  World world(sim_options);
  submit_gangs(world, 3, 20);
  world.at(30, [&world] {
    world.submit(gang_job(world, 90, 31, 8, 20, 4));
    on_member_in_phase(world, "waiting", true, [](Worker& worker) { worker.reboot(false); });
  });

  world.run_until(260);

  expect_all_done(world);
}

TEST_P(Gang, MachineOfRunningGangLosesPower) {
  World world(options());
  submit_gangs(world, 3, 40);
  for (int i = 0; i < 3; i++) {
    world.at(45 + 7 * i, [&world] {
      on_member_in_phase(world, "running", false, [](Worker& worker) { worker.reboot(false); });
    });
  }
  world.faults_end_at = 70;

  world.run_until(330);

  expect_all_done(world);
  EXPECT_GT(world.gangs.attempts_failed, 0);
}

// The tasks of a hung machine, waiting or running, stay on it until its lease expires. No new attempt may
// start before that.
TEST_P(Gang, MachinesHang) {
  World world(options());
  submit_gangs(world, 3, 40);
  world.at(
      20, [&world] { on_member_in_phase(world, "waiting", false, [](Worker& worker) { worker.hang(25); }); });
  world.at(50,
           [&world] { on_member_in_phase(world, "running", true, [](Worker& worker) { worker.hang(8); }); });
  world.at(
      60, [&world] { on_member_in_phase(world, "running", false, [](Worker& worker) { worker.hang(40); }); });
  world.faults_end_at = 105;

  world.run_until(360);

  expect_all_done(world);
}

TEST_P(Gang, MachinesAreInboundOrOutboundUnreachable) {
  World world(options());
  submit_gangs(world, 3, 30);
  world.at(15, [&world] {
    on_member_in_phase(world, "pulling", false, [&world](Worker& worker) {
      worker.loses_report_answers = true;
      world.in(40, [&worker] { worker.loses_report_answers = false; });
    });
  });
  world.at(40, [&world] {
    on_member_in_phase(world, "running", false, [&world](Worker& worker) {
      worker.outbound_unreachable = true;
      world.in(40, [&worker] { worker.outbound_unreachable = false; });
    });
  });
  world.at(45, [&world] {
    on_member_in_phase(world, "running", true, [&world](Worker& worker) {
      worker.inbound_unreachable = true;
      world.in(40, [&worker] { worker.inbound_unreachable = false; });
    });
  });
  world.faults_end_at = 95;

  world.run_until(400);

  expect_all_done(world);
}

// Two members receive an eviction notice in the same second. Only one decision to stop the gang is made, it
// is durable before any member is stopped, and all members are stopped in time.
TEST_P(Gang, EvictionNoticesToTwoMembersInTheSameSecond) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  sim_options.market_machines = 12;
  World world(sim_options);
  UserJob job = gang_job(world, 90, 3, 8, 80, 4);
  const std::string ref = job.ref;
  world.submit(job);
  int stopped_without_record = 0;
  world.at(75, [&] {
    const int members = evict_two_members(world, ref);
    ASSERT_GT(members, 1);
  });
  world.network.on_commit = [&](const std::string&, const Json&) {
    if (!is_stop_recorded(world) && world.gangs.attempts_saved == 0 &&
        find_member(world, "saving") != nullptr)
      stopped_without_record++;
  };
  world.faults_end_at = 95;

  world.run_until(300);

  expect_all_done(world);
  EXPECT_EQ(world.gangs.attempts_saved, 1);
  EXPECT_EQ(world.gangs.attempts_not_saved, 0);
  EXPECT_EQ(world.gangs.attempts_failed, 0);
  EXPECT_EQ(stopped_without_record, 0);
}

// The owner crashes when the decision to stop the gang becomes durable. A stop that only some members have
// received must be completed.
TEST_P(Gang, OwnerCrashesDuringStop) {
  Options sim_options = options();
  sim_options.market_machines = 12;
  World world(sim_options);
  world.submit(gang_job(world, 90, 3, 8, 80, 4));  // The gang needs at least two machines.
  submit_gangs(world, 3, 60);
  bool has_crashed = false;
  world.network.on_commit = [&](const std::string& from, const Json& txn) {
    if (has_crashed || txn.dump().find("\"x\":[") == std::string::npos) return;
    has_crashed = true;
    world.in(0.02, [&world, from] { world.nodes.crash(node_index(from), GetParam() % 2 == 0 ? 0.3 : 8); });
  };
  world.at(70, [&world] {
    on_member_in_phase(world, "running", true,
                       [&world](Worker& worker) { evict_machine(world, worker, 15); });
  });
  world.faults_end_at = 100;

  world.run_until(380);

  expect_all_done(world);
  EXPECT_TRUE(has_crashed);
}

// While the gang is being stopped, the shard is handed back and the limits of the state service are lowered.
TEST_P(Gang, ShardIsHandedBackDuringStop) {
  Options sim_options = options();
  sim_options.market_machines = 12;
  sim_options.next_value_kb = 2;
  sim_options.next_txn_ops = 4;
  World world(sim_options);
  const UserJob job = gang_job(world, 90, 3, 8, 80, 4);
  world.submit(job);
  submit_gangs(world, 3, 60);
  // The home node of the gang crashes and restarts. The shard is handed back to it 15 s after the restart.
  const int home_node = shard_of(job.ref, world.options.nodes);
  world.at(50, [&world, home_node] { world.nodes.crash(home_node, 5); });
  bool handed_back = false;
  world.network.on_commit = [&](const std::string&, const Json& txn) {
    for (const Json& change : txn["then"]) {
      const bool is_released = change.contains("delete") && change["delete"] == keys::shard_owner(home_node);
      if (!is_released || handed_back) continue;
      handed_back = true;
      world.in(0, [&world] {
        if (Worker* worker = find_member(world, "running")) evict_machine(world, *worker, 15);
        world.state.lower_limits(2, 4, world.options.write_rps);
      });
    }
  };
  world.faults_end_at = 110;

  world.run_until(380);

  expect_all_done(world);
  EXPECT_TRUE(handed_back);
  EXPECT_EQ(world.state.oversized_transactions, 0);
}

// The owner crashes after the placements are durable and before the tasks are launched.
TEST_P(Gang, OwnerCrashesAfterPlacementWrite) {
  World world(options());
  submit_gangs(world, 20, 20);
  int crashes = 0;
  world.network.on_commit = [&](const std::string& from, const Json& txn) {
    if (crashes >= 2 || !places_gang(txn)) return;
    crashes++;
    world.in(0, [&world, from] { world.nodes.crash(node_index(from), 0.3); });
  };
  world.faults_end_at = 80;

  world.run_until(360);

  expect_all_done(world);
  EXPECT_GT(crashes, 0);
}

// The owner does not receive the answer to the write that places a gang.
TEST_P(Gang, AnswerToPlacementWriteIsLost) {
  World world(options());
  submit_gangs(world, 20, 20);
  int placement_writes = 0;
  world.network.commit_answer_delay_s = [&](const std::string&, const Json& txn) {
    return places_gang(txn) && placement_writes++ % 2 == 0 ? -1.0 : 0.0;
  };

  world.run_until(300);

  expect_all_done(world);
  EXPECT_GT(placement_writes, 0);
}

// Duplicates of old reports arrive late, some of them from earlier attempts, and some transactions are
// applied late.
TEST_P(Gang, DuplicateReportsAndDelayedWrites) {
  Options sim_options = options();
  sim_options.message_duplicate_share = 0.15;
  sim_options.late_commit_share = 0.02;
  World world(sim_options);
  submit_gangs(world, 3, 30);
  for (int i = 0; i < 3; i++) {
    world.at(40 + 9 * i, [&world] {
      on_member_in_phase(world, "running", false, [](Worker& worker) { worker.reboot(false); });
    });
  }
  world.at(62, [&world] { world.nodes.crash(random_node(world), 0.3); });
  world.faults_end_at = 120;

  world.run_until(420);

  expect_all_done(world);
}

TEST_P(Gang, CancelledInEveryPhase) {
  World world(options());
  submit_gangs(world, 3, 30);
  int cancelled = 0;
  double at = 8;
  for (const char* phase : {"pulling", "waiting", "running", "saving"}) {
    world.at(at, [&world, &cancelled, phase] {
      on_member_in_phase(world, phase, false, [&world, &cancelled, phase](Worker& worker) {
        for (const Task& task : worker.tasks) {
          if (task.job == nullptr || !task.job->gang || task.phase != phase) continue;
          cancelled++;
          world.cancel_job(task.ref);
          return;
        }
      });
    });
    at += 12;
  }
  world.at(41, [&world] {
    on_member_in_phase(world, "running", false,
                       [&world](Worker& worker) { evict_machine(world, worker, 15); });
  });

  world.run_until(300);

  expect_invariants_hold(world);
  EXPECT_GE(cancelled, 3);
}

TEST_P(Gang, AllControllersAreDownForLongerThanALease) {
  World world(options());
  submit_gangs(world, 3, 40);
  world.at(45, [&world] {
    for (int i = 0; i < world.options.nodes; i++) world.nodes.crash(i, 16 + i);
  });
  world.faults_end_at = 66;

  world.run_until(360);

  expect_all_done(world);
}

// A network partition separates a machine with some members. They continue to run under the old lease.
TEST_P(Gang, MembersArePartitioned) {
  World world(options());
  submit_gangs(world, 3, 40);
  world.at(45, [&world] {
    on_member_in_phase(world, "running", true,
                       [&world](Worker& worker) { world.network.partition_machine(worker.name); });
  });
  world.at(50, [&world] { world.nodes.crash(random_node(world), 0.3); });
  world.at(85, [&world] { world.network.heal_partitions(); });
  world.faults_end_at = 150;  // Delayed messages arrive up to 60 s later.

  world.run_until(420);

  expect_all_done(world);
}

// Small tasks use all capacity as soon as it becomes free. Capacity must nevertheless be reserved for the
// gang, so that it does not starve.
TEST_P(Gang, CapacityIsReservedAmongSmallTasks) {
  Options sim_options = options();
  sim_options.market_machines = 2;
  sim_options.zones = {"a"};
  sim_options.team_max_cpus = 400;
  World world(sim_options);
  for (int i = 0; i < 30; i++) {
    UserJob job = plain_job(world, i, 2 + 4 * i, 60, 8, 1);
    job.body["urgency"] = "urgent";
    world.submit(job);
  }
  UserJob gang = gang_job(world, 90, 40, 7, 20, 2);
  gang.body["loaner"] = true;
  gang.body["urgency"] = "normal";
  const std::string ref = gang.ref;
  world.submit(gang);

  world.run_until(420);

  expect_invariants_hold(world);
  const UserJob& gang_result = world.jobs.at(ref);
  ASSERT_GE(gang_result.gang_started_at, 0);
  EXPECT_LT(gang_result.first_started_at - gang_result.submit_at, 90);
}

// Two gangs that each need more than half of the capacity must not each hold half of it and block each other.
TEST_P(Gang, CompetingGangsDoNotDeadlock) {
  Options sim_options = options();
  sim_options.market_machines = 1;
  sim_options.zones = {"a"};
  sim_options.team_max_cpus = 400;
  World world(sim_options);
  for (int i = 0; i < 4; i++) {
    UserJob gang = gang_job(world, 90 + i, 3 + 0.1 * i, 7, 20, 2);
    gang.body["loaner"] = true;
    world.submit(gang);
  }

  world.run_until(300);

  expect_all_done(world);
}

// A gang needs more than one shard's share of the team limit, so the shares of several shards are collected.
TEST_P(Gang, TeamLimitIsCollectedFromAllShards) {
  Options sim_options = options();
  sim_options.team_cpus = 20;
  sim_options.team_max_cpus = 24;  // 8 cores per shard
  World world(sim_options);
  for (int i = 0; i < 3; i++) {
    UserJob gang = gang_job(world, 90 + i, 3 + i, 8, 15, 2);
    gang.body["owner"] = "red";
    world.submit(gang);
  }
  for (int i = 0; i < 4; i++) world.submit(plain_job(world, i, 3 + 5 * i, 8, 5, 1));

  world.run_until(300);

  expect_all_done(world);
}

// A gang with a faulty description fails on every machine until it is cancelled. Neither machines nor other
// jobs may suffer from it.
TEST_P(Gang, GangThatFailsOnEveryMachine) {
  World world(options());
  submit_gangs(world, 3, 20);
  UserJob failing_gang = gang_job(world, 90, 5, 4, 20, 1);
  failing_gang.always_fails = true;
  failing_gang.cancel_at = 120;
  world.submit(failing_gang);

  world.run_until(300);

  expect_invariants_hold(world);
  for (const auto& [ref, job] : world.jobs) EXPECT_TRUE(job.user_saw_done || job.always_fails) << ref;
}

// Gangs are not accepted while a controller of the earlier version is known to run. Afterwards all
// controllers accept them.
TEST_P(Gang, AreAcceptedOnceAllControllersCanRunThem) {
  Options sim_options = options();
  sim_options.runs_earlier_version = true;
  sim_options.next_value_kb = 2;
  sim_options.next_txn_ops = 4;
  World world(sim_options);
  for (int i = 0; i < 6; i++) world.submit(plain_job(world, i, 2 + 2 * i, 8, 20));
  double accepted_at = 0;
  world.network.on_commit = [&](const std::string&, const Json& txn) {
    for (const Json& change : txn["then"]) {
      if (change.contains("put") && change["put"] == "gangs" && accepted_at == 0) accepted_at = world.now;
    }
  };
  for (int i = 0; i < 3; i++) world.at(30 + 10 * i, [&world, i] { world.nodes.upgrade(i, 2); });
  // This gang is submitted early, the users' gangs only later. A node that is already upgraded answers when
  // to retry.
  int early_status = 0;
  world.at(36, [&world, &early_status] {
    const UserJob early = gang_job(world, 90, 36, 4, 15);
    world.network.send("user", {client_address_of(0), "POST", "/v2/runs", dump_json(early.body), 5},
                       [&early_status](const HttpReply& reply) { early_status = reply.status; });
  });
  for (int i = 0; i < 4; i++) world.submit(gang_job(world, 95 + i, 70 + i, 4, 15));
  world.at(80, [&world] { world.state.lower_limits(2, 4, 20); });
  world.at(85, [&world] { world.nodes.crash(random_node(world), 0.3); });
  world.faults_end_at = 100;

  world.run_until(300);

  expect_invariants_hold(world);
  EXPECT_EQ(early_status, 503);
  EXPECT_GT(accepted_at, 60);
  for (const auto& [ref, job] : world.jobs) {
    if (job.submit_at > 60) {
      EXPECT_TRUE(job.user_saw_done) << ref;
    }
  }
}

// In an array, unlike in a gang, the failure of one task does not affect the other tasks.
TEST_P(Gang, ArrayContinuesWhenSomeTasksFail) {
  Options sim_options = options();
  sim_options.message_loss_share = 0;
  World world(sim_options);
  UserJob job = plain_job(world, 1, 3, 90, 25, 2);
  const std::string ref = job.ref;
  world.submit(job);
  world.at(22, [&world] {
    Worker* busiest = nullptr;
    for (auto& [name, worker] : world.workers) {
      if (busiest == nullptr || worker->tasks.size() > busiest->tasks.size()) busiest = worker.get();
    }
    ASSERT_NE(busiest, nullptr);
    busiest->faulty = true;
  });
  world.at(26, [&world] {
    for (auto& [name, worker] : world.workers) worker->faulty = false;
  });
  world.faults_end_at = 60;

  world.run_until(200);

  expect_invariants_hold(world);
  EXPECT_TRUE(world.jobs.at(ref).user_saw_done);
  int starts = 0;
  for (const auto& [index, count] : world.jobs.at(ref).starts) starts += count;
  EXPECT_LE(starts, 90 + 16);  // The margin is two rounds of failures on a machine that holds eight tasks.
}

TEST(GangAttempt, OnlyGangAttemptsFail) {
  Job array;
  array.fail_attempt();
  EXPECT_FALSE(array.attempt.failed);
  Job gang;
  gang.record.spec.is_gang = true;
  gang.fail_attempt();
  EXPECT_TRUE(gang.attempt.failed);
}

TEST(GangAdmission, WholeGangMustFitTheTeamLimit) {
  JobSpec spec;
  spec.is_gang = true;
  spec.team = "red";
  spec.task_count = 6;
  spec.cores = 8;
  Settings settings;
  settings.teams = {{"red", 20, 47, 0, kUnlimited}};
  const MachineTypes types =
      *MachineTypes::parse(parse_json(R"({"flavours":[{"name":"c16","cores":16,"memory_gb":64}]})"));
  EXPECT_EQ(unschedulable_reason(spec, settings, types), "beyond the team's limit");
  settings.teams[0].cpus_max = 48;
  EXPECT_EQ(unschedulable_reason(spec, settings, types), "");
  settings.teams[0].cpus_max = kUnlimited;
  EXPECT_EQ(unschedulable_reason(spec, settings, types), "");
  spec.is_gang = false;
  settings.teams[0].cpus_max = 8;
  EXPECT_EQ(unschedulable_reason(spec, settings, types), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, Gang, ::testing::Range(1, 1 + seed_count()));
