// The mode in which a controller serves: its node, who watches for lost state, and the operators' view of
// jobs that could not be accounted for.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "coordination/node/node.hpp"
#include "recovery/loss_detector.hpp"
#include "recovery/mode.hpp"
#include "recovery/scoped_env.hpp"
#include "recovery/unaccounted_jobs.hpp"

namespace mothslip::recovery {

class ServingMode final : public Mode {
 public:
  struct Options {
    Capabilities capabilities;
    Incarnation incarnation;                     // of the records
    std::map<std::string, JobStatus> terminals;  // known before, by job
    double stale_risk_s = 0;                     // so long the records may prove not to be recent (doubt.hpp)
  };
  // Called at most once, and never from within the node.
  using LossHandler = std::function<void(const std::string& reason)>;
  ServingMode(Env& env, const Settings& settings, const Options& options, LossHandler on_loss);

  void start() { node_.start(); }
  void on_client_request(const HttpRequest& request, const Responder& responder) override;
  void on_peer_request(const HttpRequest& request, const Responder& responder) override;

  // The shard, if this controller owns it now.
  [[nodiscard]] const ShardLeader* shard(int index) const { return node_.shard(index); }
  // All that the node knows and the state service may not.
  [[nodiscard]] NodeMemory memory() const { return node_.memory(); }
  // The newest revision of the state service that was heard of.
  [[nodiscard]] std::uint64_t newest_revision() const { return detector_.newest(); }

 private:
  // In this order: the environment ends what the node has under way, and the detector outlives both.
  LossDetector detector_;
  ScopedEnv env_;
  Node node_;
  UnaccountedJobs unaccounted_;
};

}  // namespace mothslip::recovery
