#include "sim/state_loss.hpp"

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

Options StateLoss::options() {
  Options out;
  out.seed = static_cast<std::uint64_t>(GetParam());
  out.nodes = GetParam() % 2 == 0 ? 5 : 3;
  out.recovery = true;
  return out;
}

}  // namespace mothslip::sim
