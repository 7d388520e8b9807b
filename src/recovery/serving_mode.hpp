// The mode in which a controller serves: its node, the detector of lost state, and the operators' view of
// unaccounted jobs.
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
    Incarnation incarnation;                     // of the records that are served
    std::uint64_t newest_revision = 0;           // newest one known before; 0 if none is
    std::map<std::string, JobStatus> terminals;  // terminal states known before, by job
    double stale_risk_s = 0;                     // how long the records may still prove stale (doubt.hpp)
  };
  // Called at most once, and never from within a call of the node.
  using LossHandler = std::function<void(const std::string& reason)>;
  ServingMode(Env& env, const Settings& settings, const Options& options, LossHandler on_loss);

  void start() { node_.start(); }
  void on_client_request(const HttpRequest& request, const Responder& responder) override;
  void on_peer_request(const HttpRequest& request, const Responder& responder) override;

  // The leader of the shard; null unless this controller owns the shard.
  [[nodiscard]] const ShardLeader* shard(int index) const { return node_.shard(index); }
  // Everything that the node knows and that the state service may have lost.
  [[nodiscard]] NodeMemory memory() const { return node_.memory(); }
  // The newest revision of the state service that this controller knows of.
  [[nodiscard]] std::uint64_t newest_revision() const { return detector_.newest_revision(); }

 private:
  // The order of these members matters: destroying `env_` drops the pending callbacks of the node, and
  // `detector_` must outlive both.
  LossDetector detector_;
  ScopedEnv env_;
  Node node_;
  UnaccountedJobs unaccounted_;
};

}  // namespace mothslip::recovery
