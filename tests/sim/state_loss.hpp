// Scenarios in which the state service of the simulated cluster loses its recent records: the test fixture,
// and what the scenarios have in common.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <string>

#include "sim/world.hpp"

namespace mothslip::sim {

// This long after a loss a rebuild is complete, even one that had to wait until no task could be running.
inline constexpr double kOperatorDelaySeconds = 80;

// Copies the state at `copied_at` and restores that copy at `lost_at`, without its leases if `leases` is
// false. The result receives the number of lost revisions at `lost_at`. It is 0 if nothing changed after the
// copy was made.
std::shared_ptr<std::uint64_t> restore_earlier_copy(World& world, double copied_at, double lost_at,
                                                    bool leases = true);

// Acts as an operator: requests the list of unaccounted jobs and resolves each by its true state in the
// simulated cluster. Completed jobs are done, cancelled and aborted ones are cancelled, and the others run
// again. The request repeats every 5 s, so that jobs that remain on the list are resolved later.
void resolve_unaccounted_jobs(World& world);

// Checks that all nodes serve the same incarnation and that its number is at least `min_number`.
void expect_incarnation(const World& world, int min_number);

// Runs until `ends_at` and checks the result. From `operator_starts_at` on, an operator resolves unaccounted
// jobs. The faults count as ended when the operator has made all decisions.
void run_with_operator(World& world, double operator_starts_at, double ends_at, int min_incarnation);

// A job, and the nodes that its user asks. The other nodes do not hear of the job from the user.
struct JobOfOneOwner {
  std::string ref;
  int accepting_node = 0;  // accepts the job and does not own its home shard
  int owner = 0;           // owns the home shard
};

// Adds a job of two tasks whose home shard is owned by another node than node 0, which is to accept it. Its
// id is the first such one from `number` on.
JobOfOneOwner add_job_of_other_owner(World& world, int number, double run_s);

// Submits a job before the one in question, so that machines are up. All nodes learn its ending, so that it
// stays known after crashes.
void submit_first_job(World& world, double submit_at);

// Expects that no task of the job was started more than once.
void expect_started_once(const World& world, const std::string& ref);

// Options under which a user reaches the intended nodes only.
Options without_message_loss(Options options);

// Scenarios with a seed as parameter.
class StateLoss : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  static Options options();
};

}  // namespace mothslip::sim
