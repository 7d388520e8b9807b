#include "sim/state_loss.hpp"

#include <utility>

#include "protocol/names.hpp"
#include "sim/addresses.hpp"
#include "sim/checks.hpp"
#include "sim/days.hpp"

namespace mothslip::sim {

namespace {
// An operator makes all decisions within this time.
constexpr double kDecisionsDurationSeconds = 30;
}  // namespace

std::shared_ptr<std::uint64_t> restore_earlier_copy(World& world, double copied_at, double lost_at,
                                                    bool leases) {
  auto copy = std::make_shared<StateService::Snapshot>();
  auto lost_revisions = std::make_shared<std::uint64_t>(0);
  world.at(copied_at, [&world, copy] { *copy = world.state.snapshot(); });
  world.at(lost_at, [&world, copy, lost_revisions, leases] {
    *lost_revisions = world.state.snapshot().revision - copy->revision;
    if (!leases) copy->leases.clear();
    world.state.restore(*copy);
  });
  return lost_revisions;
}

void resolve_unaccounted_jobs(World& world) {
  const int node = random_node(world);
  world.network.send(
      "operator", {peer_address_of(node), "GET", "/ops/recovery/unaccounted", "", 2.0},
      [&world, node](const HttpReply& reply) {
        if (reply.status != 200) return;
        const Json list = parse_json(reply.body);
        for (const Json& entry : list.value("unaccounted", Json::array())) {
          const std::string ref = entry["job"];
          const UserJob& job = world.jobs.at(ref);
          const bool done = static_cast<int>(job.completed.size()) == job.task_count;
          const bool cancelled = job.user_saw_aborted || (job.cancel_requested && !done);
          const Json decision = {{"job", ref}, {"as", cancelled ? "cancelled" : done ? "done" : "rerun"}};
          world.network.send(
              "operator", {peer_address_of(node), "POST", "/ops/recovery/resolve", dump_json(decision), 2.0},
              [](const HttpReply&) {});
        }
      });
  world.in(5, [&world] { resolve_unaccounted_jobs(world); });
}

void expect_incarnation(const World& world, int min_number) {
  for (const auto& process : world.nodes) {
    ASSERT_TRUE(process.node);
    EXPECT_TRUE(process.node->serving());
    EXPECT_GE(process.node->incarnation().number, min_number);
    EXPECT_EQ(process.node->incarnation(), world.nodes.front().node->incarnation());
  }
}

void run_with_operator(World& world, double operator_starts_at, double ends_at, int min_incarnation) {
  world.faults_end_at = operator_starts_at + kDecisionsDurationSeconds;
  world.at(operator_starts_at, [&world] { resolve_unaccounted_jobs(world); });
  world.run_until(ends_at);
  expect_invariants_hold(world);
  expect_incarnation(world, min_incarnation);
}

JobOfOneOwner add_job_of_other_owner(World& world, int number, double run_s) {
  JobOfOneOwner out;
  const auto home_owner = [&world](const std::string& ref) {
    return world.nodes.owner_of(shard_of(ref, world.options.nodes));
  };
  do {
    out.ref = "job-00" + std::to_string(number++);
  } while (home_owner(out.ref) <= out.accepting_node);
  out.owner = home_owner(out.ref);
  UserJob job = plain_job(world, 50, world.now, 2, run_s);
  job.ref = out.ref;
  job.body["ref"] = job.ref;
  world.add_job(std::move(job));
  return out;
}

void submit_first_job(World& world, double submit_at) {
  constexpr double kFirstPollDelaySeconds = 10;
  constexpr int kPollRounds = 6;
  constexpr double kPollIntervalSeconds = 2;
  UserJob job = plain_job(world, 1, submit_at, 2, 2);
  const std::string ref = job.ref;
  world.submit(std::move(job));
  world.at(submit_at + kFirstPollDelaySeconds,
           [&world, ref] { world.users.poll_all_nodes_repeatedly(ref, kPollRounds, kPollIntervalSeconds); });
}

void expect_started_once(const World& world, const std::string& ref) {
  for (const auto& [task, count] : world.jobs.at(ref).starts)
    EXPECT_EQ(count, 1) << ref << "/" << task << " was started again";
}

Options without_message_loss(Options options) {
  options.message_loss_share = 0;
  return options;
}

Options StateLoss::options() {
  Options out;
  out.seed = static_cast<std::uint64_t>(GetParam());
  out.nodes = GetParam() % 2 == 0 ? 5 : 3;
  out.recovery = true;
  return out;
}

}  // namespace mothslip::sim
