// A controller of the cluster: the node that serves, and what takes its place while lost records are rebuilt.
//
// Public header of the package. With recovery switched off (Tuning::recovery) a controller is its node and
// nothing else.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/node/node.hpp"
#include "recovery/loss_detector.hpp"
#include "recovery/recovery.hpp"
#include "recovery/scoped_env.hpp"
#include "recovery/suspended_service.hpp"
#include "recovery/unaccounted_jobs.hpp"

namespace mothslip::recovery {

class Controller {
 public:
  Controller(Env& env, Settings settings, Capabilities capabilities = {});
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void start();
  void on_client_request(const HttpRequest& request, const Responder& responder);
  void on_peer_request(const HttpRequest& request, const Responder& responder);

  // The shard, if this controller owns it now and is serving.
  [[nodiscard]] const ShardLeader* shard(int index) const;
  [[nodiscard]] bool serving() const { return node_ != nullptr; }
  [[nodiscard]] const Incarnation& incarnation() const { return incarnation_; }

 private:
  void look_at_meta();
  void on_first_meta(const StateReply& reply);
  void ask_peers();
  void listen_to_workers();
  void look_for_loss();
  void compare_with_store(std::uint64_t stored);
  void serve(const Incarnation& incarnation, double doubt_s);
  void suspend(const std::string& why);
  void resume(const MetaRecord& meta);
  [[nodiscard]] std::size_t evidence_chunk_count() const { return memory_chunks_.size() + 1; }
  [[nodiscard]] Evidence evidence_chunk(std::size_t number) const;
  [[nodiscard]] Evidence own_evidence() const;
  [[nodiscard]] Evidence earlier_memory() const;
  [[nodiscard]] double doubt_s() const;
  void on_evidence_request(const HttpRequest& request, const Responder& responder);
  void on_status_request(const Responder& responder) const;

  Env& env_;
  Settings settings_;
  Capabilities capabilities_;
  double started_;
  Incarnation incarnation_;
  std::string reason_;  // why the records are, or were last, rebuilt
  double suspended_at_ = 0;
  // Until then what this controller has read may prove to be older than what others saw before it began: it
  // began when no controller served that could know.
  double doubt_until_ = 0;

  // While serving. (The environment goes last: it ends what the node has under way.)
  std::unique_ptr<LossDetector> detector_;
  std::unique_ptr<ScopedEnv> node_env_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<UnaccountedJobs> unaccounted_;

  // While not serving.
  std::unique_ptr<ScopedEnv> recovery_env_;
  std::unique_ptr<StateClient> first_look_;  // at the start, before it is known what there is
  std::optional<MetaRecord> first_meta_;     // as read then
  std::size_t peers_asked_ = 0;
  std::uint64_t newest_of_peers_ = 0;
  std::optional<double> least_doubt_s_;  // of the peers that serve
  std::unique_ptr<SuspendedService> suspended_;
  std::unique_ptr<Recovery> recovery_;
  std::vector<Evidence> memory_chunks_;  // as of the moment when this controller stopped serving
  double resumed_at_ = 0;                // when it served again after that
};

}  // namespace mothslip::recovery
