// No answer about a job may be older than one that any node gave before the request was sent. Users poll all
// nodes within milliseconds around each acceptance, cancellation and end of a job, while the answers of the
// state service reach the shard owner late or not at all. docs/incidents describes the failure behind each
// test.
#include <gtest/gtest.h>

#include "bookkeeping/records.hpp"
#include "sim/answer_history.hpp"
#include "sim/checks.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

constexpr double kLostAnswerDelaySeconds = -1;  // a negative delay loses the answer

bool changes_key(const Json& transaction, const char* verb, const std::string& prefix) {
  for (const Json& change : transaction["then"]) {
    if (change.value(verb, "").rfind(prefix, 0) == 0) return true;
  }
  return false;
}

// Returns whether the transaction ends a job, that is, writes its ending record.
bool ends_job(const Json& transaction) { return changes_key(transaction, "put", "e/"); }

// Returns whether the transaction cancels a job, that is, writes a job record that exists already.
bool cancels_job(const Json& transaction) {
  for (const Json& guard : transaction["guards"]) {
    const bool is_job_record = guard["k"].get<std::string>().rfind(keys::kJobRecords, 0) == 0;
    if (is_job_record && guard["stamp"] != 0 && changes_key(transaction, "put", guard["k"])) return true;
  }
  return false;
}

class MonotonicAnswers : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  static Options options() {
    Options out;
    out.seed = static_cast<std::uint64_t>(GetParam()) + 300;
    out.nodes = GetParam() % 2 == 0 ? 5 : 3;
    out.message_loss_share = 0;
    out.poll_all_nodes = true;
    return out;
  }
  // Partitions all nodes from each other.
  static void partition_all_nodes(World& world) {
    for (int a = 0; a < world.options.nodes; a++) {
      for (int b = 0; b < a; b++) world.network.partitions.insert({node_name(a), node_name(b)});
    }
  }
  // From 20 s to 130 s no node reaches another, and the answers to the transactions selected by `is_affected`
  // are delayed by `delay_s`, or lost if that is negative. `affected_answers` counts them.
  static void delay_answers(World& world, const std::function<bool(const Json&)>& is_affected,
                            const std::function<double()>& delay_s, int& affected_answers) {
    world.network.delayed_share = 0;
    world.network.commit_answer_delay_s = [is_affected, delay_s, &affected_answers](const std::string&,
                                                                                    const Json& transaction) {
      if (!is_affected(transaction)) return 0.0;
      affected_answers++;
      return delay_s();
    };
    world.at(20, [&world] { partition_all_nodes(world); });
    world.at(130, [&world] {
      world.network.heal_partitions();
      world.network.commit_answer_delay_s = nullptr;
    });
    world.faults_end_at = 130;
  }
};

}  // namespace

// The transaction that ends a job is applied, but its answer is lost. Nodes that cannot reach the owner read
// the ending record and report it to users. The owner must not answer "running" until it has determined the
// outcome.
TEST_P(MonotonicAnswers, TheAnswerToAnEndingIsLost) {
  World world(options());
  submit_jobs(world, 2, 100);
  int lost_answers = 0;
  delay_answers(
      world, ends_job, [] { return kLostAnswerDelaySeconds; }, lost_answers);

  world.run_until(500);

  expect_invariants_hold(world);
  EXPECT_GT(lost_answers, 5);
}

// As above, but the answer is only slow.
TEST_P(MonotonicAnswers, TheAnswerToAnEndingIsSlow) {
  World world(options());
  submit_jobs(world, 2, 100);
  int slow_answers = 0;
  delay_answers(
      world, ends_job, [&world] { return world.uniform(0.2, 1.4); }, slow_answers);

  world.run_until(500);

  expect_invariants_hold(world);
  EXPECT_GT(slow_answers, 5);
}

// The transaction that cancels a job is applied, but its answer is lost.
TEST_P(MonotonicAnswers, TheAnswerToACancellationIsLost) {
  World world(options());
  submit_jobs(world, 2, 90);
  int lost_answers = 0;
  delay_answers(
      world, cancels_job, [] { return kLostAnswerDelaySeconds; }, lost_answers);
  for (double t = 25; t < 110; t += 6) {
    world.at(t, [&world] {
      for (auto& [ref, job] : world.jobs) {
        if (job.accepted && !job.user_saw_done && world.rng() % 4 == 0) world.cancel_job(ref);
      }
    });
  }

  world.run_until(500);

  expect_invariants_hold(world);
  EXPECT_GT(lost_answers, 3);
}

// A node hands a shard back: the deletion of the owner record is applied, but no answer of the state service
// reaches the node. The next owner cancels jobs at once, while the lease of the old owner is still valid.
TEST_P(MonotonicAnswers, TheAnswerToAHandBackIsLost) {
  World world(options());
  world.network.delayed_share = 0;
  // There are more tasks than the machines can hold, because a job without started tasks is cancelled at
  // once.
  for (int i = 0; i < 40; i++) world.submit(plain_job(world, i, world.uniform(2, 20), 10, 100));
  world.at(24, [&world] { world.nodes.crash(0, 10); });
  int handed_back = 0;
  world.network.commit_answer_delay_s = [&](const std::string& from, const Json& transaction) {
    if (!changes_key(transaction, "delete", keys::shard_owner(0)) || handed_back++ > 0) return 0.0;
    world.network.nodes_without_state_answers.insert(from);
    partition_all_nodes(world);
    world.network.partition_node_from_workers(node_index(from));
    world.in(3, [&world] {
      world.network.nodes_without_state_answers.clear();
      world.network.heal_partitions();
    });
    for (const double t : {0.1, 0.3, 0.5, 0.8}) {
      world.in(t, [&world] {
        for (auto& [ref, job] : world.jobs) {
          if (job.accepted && shard_of(ref, world.options.nodes) == 0) world.cancel_job(ref);
        }
      });
    }
    return kLostAnswerDelaySeconds;
  };
  world.faults_end_at = 70;

  world.run_until(75);

  EXPECT_TRUE(world.violations.empty()) << world.summary();
  EXPECT_GT(handed_back, 0);
  int cancelled = 0;
  for (const auto& [ref, job] : world.jobs) cancelled += job.user_saw_aborted ? 1 : 0;
  EXPECT_GT(cancelled, 0);
}

// The transaction that ends a job is lost on its way, and another write changes one of the records that it is
// conditional on. The retry is refused, and the node must not conclude from that refusal that the first copy
// was applied.
TEST_P(MonotonicAnswers, AnEndingThatWasNeverWritten) {
  Options sim_options = options();
  sim_options.nodes = 5;  // five shards delegate more tasks than three
  World world(sim_options);
  world.network.delayed_share = 0;
  for (int i = 0; i < 20; i++) world.submit(plain_job(world, i, world.uniform(2, 50), 12, 25));
  std::set<std::string> rewritten_delegations;
  world.network.should_lose_commit = [&](const std::string&, const Json& transaction) {
    if (!ends_job(transaction)) return false;
    for (const Json& change : transaction["then"]) {
      const std::string delegation = change.value("delete", "");
      if (delegation.rfind(keys::kDelegations, 0) != 0 || !rewritten_delegations.insert(delegation).second)
        continue;
      world.state.rewrite_unchanged(delegation);
      return true;
    }
    return false;
  };
  world.at(55, [&world] { partition_all_nodes(world); });
  world.at(120, [&world] {
    world.network.should_lose_commit = nullptr;
    world.network.heal_partitions();
  });
  world.faults_end_at = 120;

  world.run_until(500);

  EXPECT_FALSE(rewritten_delegations.empty());
  expect_invariants_hold(world);
}

// A node accepts a job, sees the job record through its watch, runs the job and ends it before the answer to
// the acceptance arrives. The late answer must not start the job again.
TEST_P(MonotonicAnswers, TheAnswerToAnAcceptanceIsSlow) {
  Options sim_options = options();
  sim_options.nodes = 1;
  World world(sim_options);
  for (int i = 0; i < 6; i++) world.submit(plain_job(world, i, 2, 4, 30));
  for (int i = 6; i < 26; i++) world.submit(plain_job(world, i, 40 + i, 1, 0.2, 1));
  int slow_answers = 0;
  world.network.commit_answer_delay_s = [&](const std::string&, const Json& transaction) {
    if (world.now < 40 || ends_job(transaction) || !changes_key(transaction, "put", keys::kJobRecords))
      return 0.0;
    slow_answers++;
    return 1.45;
  };
  std::uint64_t fencing_token = 0;
  world.at(39, [&] { fencing_token = world.state.revision(keys::shard_owner(0)); });

  world.run_until(200);

  expect_invariants_hold(world);
  EXPECT_GT(slow_answers, 10);
  EXPECT_EQ(world.state.revision(keys::shard_owner(0)), fencing_token)
      << "the shard was reloaded because of a job that had ended";
}

// While the watch is stalled, more jobs are accepted and end than a short history of ended jobs would hold.
TEST_P(MonotonicAnswers, AWatchThatLagsBehindManyEndings) {
  Options sim_options = options();
  sim_options.nodes = 1;
  sim_options.poll_all_nodes = false;
  sim_options.state_rps = 3000;
  sim_options.write_rps = 1500;
  sim_options.market_machines = 12;
  sim_options.team_cpus = sim_options.team_max_cpus = 400;
  World world(sim_options);
  for (int i = 0; i < 10; i++) world.submit(plain_job(world, i, 2, 12, 30));
  for (int i = 0; i < 600; i++) {
    world.submit(plain_job(world, 1000 + i, 50 + i * 0.01, 1, 0.2, 1));
  }
  world.at(49, [&world] { world.state.are_watches_paused = true; });
  world.at(58.5, [&world] { world.state.resume_watches(); });
  std::uint64_t fencing_token = 0;
  world.at(48, [&] { fencing_token = world.state.revision(keys::shard_owner(0)); });
  std::size_t ended_jobs = 0;
  world.at(58, [&] {
    for (const auto& [key, value] : world.state.values()) ended_jobs += key.rfind("e/", 0) == 0 ? 1 : 0;
  });

  world.run_until(200);

  expect_invariants_hold(world);
  EXPECT_GT(ended_jobs, 300u) << "too few jobs ended while the watch was stalled";
  EXPECT_EQ(world.state.revision(keys::shard_owner(0)), fencing_token)
      << "the shard was reloaded because of a job that had ended";
}

// Watch events arrive after the answers to newer writes. They must not restore delegations that were handed
// back or jobs that have ended.
TEST_P(MonotonicAnswers, TheWatchDeliversStaleEvents) {
  Options sim_options = options();
  sim_options.nodes = 5;
  sim_options.jobs = 60;
  World world(sim_options);
  world.network.max_watch_delay_s = 1.2;
  submit_jobs(world, 2, 150);
  world.at(250, [&world] { world.network.max_watch_delay_s = 0; });
  world.faults_end_at = 250;

  world.run_until(600);

  expect_invariants_hold(world);
  int tasks_returned = 0;
  for (int i = 0; i < sim_options.nodes; i++) {
    for (int p = 0; p < sim_options.nodes; p++) {
      const ShardLeader* shard = world.nodes[static_cast<std::size_t>(i)].node->shard(p);
      if (shard != nullptr) tasks_returned += static_cast<int>(shard->counters().tasks_returned);
    }
  }
  EXPECT_GT(tasks_returned, 5);
}

// All failures overlap, while users poll all nodes around each change of a job.
TEST_P(MonotonicAnswers, RandomFailuresOverlap) {
  Options sim_options = options();
  sim_options.message_loss_share = 0.01;
  sim_options.late_commit_share = 0.05;
  sim_options.jobs = 40;
  World world(sim_options);
  submit_jobs(world, 2, 120);
  world.network.commit_answer_delay_s = [&world](const std::string&, const Json&) {
    return world.uniform(0, 1) < 0.3   ? kLostAnswerDelaySeconds
           : world.uniform(0, 1) < 0.2 ? world.uniform(0.1, 1.4)
                                       : 0.0;
  };
  for (double t = 20; t < 130; t += 9) {
    world.at(t, [&world] {
      const int node = random_node(world);
      switch (world.rng() % 5) {
        case 0:
          return partition_all_nodes(world);
        case 1:
          return world.network.partition_node(node, world.rng() % 2 == 0);
        case 2:
          return world.nodes.freeze(node, world.uniform(0.5, 8));
        case 3:
          return world.nodes.crash(node, world.uniform(0.1, 9));
        default:
          world.state.answer_delay_s = world.uniform(0, 0.6);
      }
    });
    world.at(t + 7, [&world] {
      world.network.heal_partitions();
      world.state.answer_delay_s = 0;
    });
    world.at(t + 3, [&world] {
      for (auto& [ref, job] : world.jobs) {
        if (job.accepted && !job.user_saw_done && world.rng() % 8 == 0) world.cancel_job(ref);
      }
    });
  }
  world.at(140, [&world] {
    world.network.commit_answer_delay_s = nullptr;
    world.options.late_commit_share = 0;
  });
  world.faults_end_at = 155;

  world.run_until(600);

  expect_invariants_hold(world);
}

INSTANTIATE_TEST_SUITE_P(Seeds, MonotonicAnswers, ::testing::Range(1, 1 + seed_count()));

// ---------------------------------------------------------------- AnswerHistory itself

namespace {
JobAnswer poll(double asked_at, double received_at, const std::string& phase) {
  return {asked_at, received_at, true, phase};
}
}  // namespace

TEST(AnswerHistory, DetectsAnAnswerOlderThanOneReceivedBeforeItsRequest) {
  AnswerHistory history;
  EXPECT_FALSE(history.record(poll(1, 2, "queued")));
  EXPECT_FALSE(history.record(poll(3, 4, "done")));
  EXPECT_FALSE(history.record(poll(3.5, 5, "running")))
      << "the request was sent before the answer with the end arrived, so an older phase is allowed";
  EXPECT_TRUE(history.record(poll(4.001, 5, "running")));
  EXPECT_FALSE(history.record(poll(6, 7, "done")));
}

TEST(AnswerHistory, AJobHasOneTerminalState) {
  AnswerHistory history;
  EXPECT_FALSE(history.record(poll(1, 9, "aborted")));
  EXPECT_TRUE(history.record(poll(1, 2, "done")));
}

TEST(AnswerHistory, AnAcceptedJobIsNotUnknown) {
  AnswerHistory history;
  EXPECT_FALSE(history.record({1, 2, false, ""}));
  EXPECT_FALSE(history.record(poll(3, 4, "queued")));
  EXPECT_FALSE(history.record({3.5, 5, false, ""}))
      << "the request was sent before the acceptance arrived, so 'unknown' is allowed";
  EXPECT_TRUE(history.record({4.5, 5, false, ""}));
}
