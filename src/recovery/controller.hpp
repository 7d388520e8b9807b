// A controller of the cluster: the node that serves, and what takes its place while lost records are rebuilt.
//
// Public header of the package. With recovery switched off (Tuning::recovery) a controller is its node and
// nothing else. With it, it is in one of three modes (mode.hpp): it starts up, then serves; when state is
// found to be lost it is suspended until a new incarnation of the records is published, and serves that.
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

  // To be called once, before any request is passed in.
  void start();
  void on_client_request(const HttpRequest& request, const Responder& responder);
  void on_peer_request(const HttpRequest& request, const Responder& responder);

  // The shard, if this controller owns it now and is serving.
  [[nodiscard]] const ShardLeader* shard(int index) const;
  [[nodiscard]] bool serving() const { return plain_node_ != nullptr || serving_ != nullptr; }
  // That is served, or was last.
  [[nodiscard]] const Incarnation& incarnation() const { return incarnation_; }

 private:
  void serve(const Incarnation& incarnation, double stale_risk_s);
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
  std::string reason_;  // why the records are, or were last, rebuilt
  // Until then what this controller has read may prove to be older than what others saw before it began: it
  // began when no controller served that could know.
  double stale_risk_ends_at_ = 0;
  double serving_started_at_ = 0;   // 0: it has not served yet
  EvidenceSnapshot last_snapshot_;  // of the last rebuilding

  // With recovery switched off; else one of the three modes.
  std::unique_ptr<Node> plain_node_;
  std::unique_ptr<StartUp> start_up_;
  std::unique_ptr<ServingMode> serving_;
  std::unique_ptr<RebuildingMode> rebuilding_;
};

}  // namespace mothslip::recovery
