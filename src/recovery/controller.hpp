// A controller of the cluster: the node that serves requests, and its replacement while lost records are
// rebuilt.
//
// This is the public header of the package. With recovery switched off (Tuning::recovery) a controller
// consists of its node only. With recovery switched on it is in one of three modes (mode.hpp). It starts up,
// then serves. When it detects that state is lost, it is suspended until a new incarnation of the records is
// published, and then serves that incarnation.
#pragma once

#include <memory>
#include <string>

#include "coordination/node/node.hpp"
#include "recovery/evidence_snapshot.hpp"
#include "recovery/operator_messages.hpp"
#include "recovery/rebuilding_mode.hpp"
#include "recovery/serving_mode.hpp"
#include "recovery/start_up.hpp"

namespace mothslip::recovery {

class Controller {
 public:
  Controller(Env& env, Settings settings, Capabilities capabilities = {});
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Must be called once, before the first request.
  void start();
  void on_client_request(const HttpRequest& request, const Responder& responder);
  void on_peer_request(const HttpRequest& request, const Responder& responder);

  // The leader of the shard; null unless this controller is serving and owns the shard.
  [[nodiscard]] const ShardLeader* shard(int index) const;
  [[nodiscard]] bool serving() const { return plain_node_ != nullptr || serving_ != nullptr; }
  // The incarnation that this controller serves, or served last.
  [[nodiscard]] const Incarnation& incarnation() const { return incarnation_; }

 private:
  void serve(const StartUp::ServableRecords& records);
  void suspend(const std::string& reason);
  void resume(const MetaRecord& meta);
  [[nodiscard]] Evidence current_evidence(const NodeMemory& memory) const;
  [[nodiscard]] double stale_risk_s() const;
  [[nodiscard]] Mode& mode() const;
  void on_evidence_request(const HttpRequest& request, const Responder& responder);
  [[nodiscard]] ControllerStatus status() const;

  Env& env_;
  Settings settings_;
  Capabilities capabilities_;
  double started_at_;  // by the clock of `env_`
  Incarnation incarnation_;
  std::string reason_;  // why the records are rebuilt now, or were rebuilt last
  // Until this time the records that this controller has read may prove to be older than records that others
  // saw before it started, because no controller that could know was serving when it started.
  double stale_risk_ends_at_ = 0;
  double serving_started_at_ = 0;   // 0 if it has not served yet
  EvidenceSnapshot last_snapshot_;  // from the last rebuild

  // After start() one of these exists: `plain_node_` if recovery is switched off, otherwise one of the modes.
  std::unique_ptr<Node> plain_node_;
  std::unique_ptr<StartUp> start_up_;
  std::unique_ptr<ServingMode> serving_;
  std::unique_ptr<RebuildingMode> rebuilding_;
};

}  // namespace mothslip::recovery
