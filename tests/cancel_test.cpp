// Cancelled means gone: whatever meets a cancellation, its tasks are off all machines within cancel_s of the
// moment at which a user was told. The simulated cluster checks that all the time, and starts after it.
#include <gtest/gtest.h>

#include "bookkeeping/records.hpp"
#include "sim/checks.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

constexpr double kFailuresStartSeconds = 60;  // the day's jobs run and are spread over the shards by then

int count_tasks(World& world, const std::string& ref, int shard) {
  int count = 0;
  for (const auto& [name, worker] : world.workers) {
    if (worker->dead || shard_of(name, world.options.nodes) != shard) continue;
    for (const Task& task : worker->tasks) count += task.ref == ref && worker->on_machine(task) ? 1 : 0;
  }
  return count;
}

// A job of which tasks run on machines of its home shard and of a shard to which they were delegated, the two
// being owned by different nodes.
struct DelegatedJob {
  std::string ref;
  int home_shard = -1;
  int delegate_shard = -1;
};

DelegatedJob find_delegated_job(World& world) {
  for (const auto& [key, delegation] : world.state.values()) {
    if (key.rfind(keys::kDelegations, 0) != 0) continue;
    DelegatedJob out{delegation["head"]["job"]["ref"], delegation["home"], keys::delegation_target(key)};
    if (world.nodes.owner_of(out.home_shard) == world.nodes.owner_of(out.delegate_shard)) continue;
    if (count_tasks(world, out.ref, out.delegate_shard) > 0) return out;
  }
  return {};
}

class Cancelled : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  static Options options() {
    Options out;
    out.seed = static_cast<std::uint64_t>(GetParam());
    out.loss = 0;
    return out;
  }
  // Jobs of long tasks, more than any one shard can hold; none is cancelled by itself.
  static void add_long_jobs(World& world, double run_s) {
    for (int i = 0; i < 6; i++) {
      world.submit(plain_job(world, i, world.uniform(2, 9), 12, run_s));
    }
  }
  static void cancel_all(World& world) {
    for (auto& [ref, job] : world.jobs) world.cancel_job(ref);
  }
};

// The machines of the shard reach only this node.
void limit_shard_to_node(World& world, int shard, int node) {
  for (auto& [name, worker] : world.workers) {
    if (shard_of(name, world.options.nodes) != shard) continue;
    for (int i = 0; i < world.options.nodes; i++) {
      if (i != node) world.network.cuts.insert({name, node_name(i)});
    }
  }
}

}  // namespace

// The gap: the state service refuses a delegate alone, the home shard confirms cancellations, then the
// service is down for all, longer than cancel_s, while the workers report to the delegate. With a node that
// is refused for less and for more than its lease.
TEST_P(Cancelled, WhileTheStateServiceRefusesADelegateAndThenIsDown) {
  World world(options());
  world.network.hold_share = 0;
  add_long_jobs(world, 150);
  DelegatedJob delegated_job;
  const double refused_s = GetParam() % 2 == 0 ? 1 : 7;
  world.at(kFailuresStartSeconds, [&] {
    delegated_job = find_delegated_job(world);
    ASSERT_GE(delegated_job.home_shard, 0);
    world.network.cut_node(world.nodes.owner_of(delegated_job.delegate_shard), false);
  });
  world.at(kFailuresStartSeconds + refused_s, [&world] { cancel_all(world); });
  world.at(kFailuresStartSeconds + refused_s + 2, [&world] { world.state.set_outage(true); });
  bool is_confirmed = false;
  world.at(kFailuresStartSeconds + refused_s + 2.1,
           [&] { is_confirmed = world.jobs.at(delegated_job.ref).told_aborted; });
  world.at(kFailuresStartSeconds + refused_s + 82, [&world] {
    world.state.set_outage(false);
    world.network.mend_nodes();
  });
  world.troubles_end = kFailuresStartSeconds + refused_s + 82;

  world.run_until(300);

  EXPECT_TRUE(world.violations.empty()) << world.summary();
  // Both know, although one hears nothing from the service: the user need not wait for its end.
  EXPECT_TRUE(is_confirmed);
}

// The same, and the delegate's owner is cut off from the other nodes as well, alone with its machines.
// Another node takes the shard over and the cancellation is confirmed; the old owner must end by itself what
// it runs.
TEST_P(Cancelled, WhileAnOldOwnerReachesOnlyItsMachines) {
  World world(options());
  world.network.hold_share = 0;
  add_long_jobs(world, 200);
  DelegatedJob delegated_job;
  int remaining_tasks = 0;
  world.at(kFailuresStartSeconds, [&] {
    delegated_job = find_delegated_job(world);
    ASSERT_GE(delegated_job.home_shard, 0);
    const int node = world.nodes.owner_of(delegated_job.delegate_shard);
    world.network.cut_node(node, true);
    limit_shard_to_node(world, delegated_job.delegate_shard, node);
  });
  world.at(kFailuresStartSeconds + 8, [&world] { cancel_all(world); });
  const bool with_outage = GetParam() % 2 == 0;
  bool is_confirmed = false;
  for (double t = 8; t < 30; t += 0.5) {
    world.at(kFailuresStartSeconds + t, [&] {
      if (is_confirmed || !world.jobs.at(delegated_job.ref).told_aborted) return;
      is_confirmed = true;
      world.state.set_outage(with_outage);
      remaining_tasks = count_tasks(world, delegated_job.ref, delegated_job.delegate_shard);
    });
  }
  world.at(kFailuresStartSeconds + 90, [&world] {
    world.state.set_outage(false);
    world.network.mend_nodes();
  });
  world.troubles_end = kFailuresStartSeconds + 90;

  world.run_until(320);

  EXPECT_TRUE(world.violations.empty()) << world.summary();
  EXPECT_GT(remaining_tasks, 0) << "nothing ran with the old owner: the meeting did not take place";
}

// The home shard's owner is refused, cut off from its peers and alone with its machines; the new owner
// confirms.
TEST_P(Cancelled, WhileTheOldHomeShardOwnerReachesOnlyItsMachines) {
  World world(options());
  world.network.hold_share = 0;
  add_long_jobs(world, 200);
  int node = -1;
  world.at(kFailuresStartSeconds, [&] {
    const std::string ref = world.jobs.begin()->first;
    const int home = shard_of(ref, world.options.nodes);
    node = world.nodes.owner_of(home);
    world.network.cut_node(node, true);
    limit_shard_to_node(world, home, node);
  });
  world.at(kFailuresStartSeconds + 8, [&world] { cancel_all(world); });
  world.at(kFailuresStartSeconds + 90, [&world] { world.network.mend_nodes(); });
  world.troubles_end = kFailuresStartSeconds + 90;

  world.run_until(320);

  EXPECT_TRUE(world.violations.empty()) << world.summary();
  EXPECT_TRUE(world.jobs.begin()->second.told_aborted);
}

// The home shard's owner ends between its write and the acknowledgements, and a new owner goes on; the
// delegate cannot be asked, nor hear of it from the state service, until later.
TEST_P(Cancelled, WhileTheConfirmingOwnerCrashes) {
  World world(options());
  world.network.hold_share = 0;
  add_long_jobs(world, 200);
  DelegatedJob delegated_job;
  bool has_owner_crashed = false;
  world.at(kFailuresStartSeconds, [&] {
    delegated_job = find_delegated_job(world);
    ASSERT_GE(delegated_job.home_shard, 0);
    world.network.cut_node(world.nodes.owner_of(delegated_job.delegate_shard), true);
  });
  world.network.on_commit = [&](const std::string& from, const Json& body) {
    if (has_owner_crashed || delegated_job.home_shard < 0) return;
    for (const Json& change : body["then"]) {
      if (change.value("put", "") != keys::job_record(delegated_job.home_shard, delegated_job.ref)) continue;
      has_owner_crashed = true;
      const int node = node_index(from);
      world.in(0, [&world, node] { world.nodes.crash(node, 30); });
    }
  };
  world.at(kFailuresStartSeconds + 0.5, [&] { world.cancel_job(delegated_job.ref); });
  bool was_confirmed_early = false;
  world.at(kFailuresStartSeconds + 3.5,
           [&] { was_confirmed_early = world.jobs.at(delegated_job.ref).told_aborted; });
  world.at(kFailuresStartSeconds + 70, [&world] { world.network.mend_nodes(); });
  world.troubles_end = kFailuresStartSeconds + 70;

  world.run_until(800);

  EXPECT_TRUE(has_owner_crashed);
  EXPECT_FALSE(was_confirmed_early) << "the delegate's lease was still good, and it did not know";
  expect_kept(world);
}

// The transaction of the cancellation gets no answer and is carried out seconds later; or the home shard's
// owner ends before that.
TEST_P(Cancelled, ByATransactionThatIsAppliedLate) {
  World world(options());
  add_long_jobs(world, 60);
  world.at(kFailuresStartSeconds, [&world] {
    world.network.hold_commits = true;
    cancel_all(world);
  });
  if (GetParam() % 2 == 0)
    world.at(kFailuresStartSeconds + 0.4, [&world] { world.nodes.crash(some_node(world), 0.2); });
  world.at(kFailuresStartSeconds + 1, [&world] { world.network.hold_commits = false; });
  world.troubles_end = kFailuresStartSeconds + 15;

  world.run_until(300);

  expect_kept(world);
}

// Machines hang with tasks of jobs that are then cancelled, and go on within their leases; late copies of old
// commands come too.
TEST_P(Cancelled, WhileItsMachinesHang) {
  World world(options());
  add_long_jobs(world, 150);
  int hung = 0;
  world.at(kFailuresStartSeconds, [&] {
    for (auto& [name, worker] : world.workers) {
      if (worker->dead || worker->tasks.empty() || hung >= 8) continue;
      hung++;
      worker->hang(world.uniform(2, 30));
    }
  });
  world.at(kFailuresStartSeconds + 0.2, [&world] { cancel_all(world); });
  if (GetParam() % 2 == 0)
    world.at(kFailuresStartSeconds + 1, [&world] { world.nodes.crash(some_node(world), 0.3); });
  world.troubles_end = kFailuresStartSeconds + 32;

  world.run_until(250);

  expect_kept(world);
  EXPECT_GT(hung, 3);
}

// An outage that all nodes see, with whole links between them, lasts longer than cancel_s: nobody can have
// been replaced, so nothing that runs is lost.
TEST_P(Cancelled, NothingIsLostInAnOutageThatAllNodesSee) {
  World world(options());
  add_long_jobs(world, 110);
  int starts_before = 0;
  world.at(50, [&] {
    starts_before = world.starts;
    world.state.set_outage(true);
  });
  world.at(130, [&world] { world.state.set_outage(false); });
  world.troubles_end = 130;

  world.run_until(500);

  expect_kept(world);
  EXPECT_GT(starts_before, 10);
  for (const auto& [ref, job] : world.jobs) {
    for (const auto& [index, starts] : job.starts) EXPECT_EQ(starts, 1) << ref << "/" << index;
  }
}

// A node that has restarted during the outage does not know what happened before: it has no evidence, and the
// others let the leases of their machines run out in time.
TEST_P(Cancelled, ARestartedNodeHasNoEvidence) {
  World world(options());
  add_long_jobs(world, 200);
  world.at(50, [&world] { world.state.set_outage(true); });
  const int node = GetParam() % 3;
  world.at(60, [&world, node] { world.nodes.crash(node, 0.2); });
  int tasks_before = 0;
  int remaining_tasks = 0;
  const auto count = [&world] {
    int running = 0;
    for (const auto& [name, worker] : world.workers) {
      for (const Task& task : worker->tasks) running += worker->on_machine(task) ? 1 : 0;
    }
    return running;
  };
  world.at(59, [&] { tasks_before = count(); });
  world.at(60 + 42 + 1,
           [&] { remaining_tasks = count(); });  // each was evidence of the other's lease until 60
  world.at(125, [&world] { world.state.set_outage(false); });
  world.troubles_end = 130;

  world.run_until(800);

  expect_kept(world);
  EXPECT_GT(tasks_before, 10);
  EXPECT_EQ(remaining_tasks, 0);
}

// The checks themselves: a machine that keeps its tasks whatever it is told is found out.
TEST(CancelledCheck, FindsATaskThatIgnoresCancellation) {
  set_up_log();
  Options lossless;
  lossless.loss = 0;
  World world(lossless);
  UserJob job = plain_job(world, 1, 2, 6, 300, 1);
  job.cancel_at = 40;
  world.submit(job);
  world.at(39, [&world] {
    for (auto& [name, worker] : world.workers) worker->ignores_stops = true;
  });

  world.run_until(120);

  ASSERT_FALSE(world.violations.empty());
  EXPECT_NE(world.violations.front().find("ran_cancelled"), std::string::npos) << world.violations.front();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Cancelled, ::testing::Range(1, 1 + seeds()));
