// The mode of a controller while lost records are rebuilt. It makes no decisions, answers requests for final
// states, keeps everything it knew as evidence, and takes part in the rebuild or leads it.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "recovery/evidence_snapshot.hpp"
#include "recovery/messages.hpp"
#include "recovery/mode.hpp"
#include "recovery/recovery.hpp"
#include "recovery/scoped_env.hpp"
#include "recovery/suspended_service.hpp"

namespace mothslip::recovery {

class RebuildingMode final : public Mode {
 public:
  struct Options {
    NodeMemory memory;              // of the node that was serving; empty if none was
    Evidence known_evidence;        // everything that this controller knows now
    Incarnation last_incarnation;   // the incarnation that this controller served last
    double process_started_at = 0;  // by the clock of `env`
  };
  // Called once, when a new incarnation is published; never from within this object.
  using PublishedHandler = std::function<void(const MetaRecord& meta)>;
  RebuildingMode(Env& env, const Settings& settings, const Options& options,
                 const PublishedHandler& published);

  void start() { recovery_.start(); }
  void on_client_request(const HttpRequest& request, const Responder& responder) override;
  void on_peer_request(const HttpRequest& request, const Responder& responder) override;
  [[nodiscard]] EvidenceReply answer(const EvidenceRequest& request) const;

  [[nodiscard]] RecoveryStatus status() const { return recovery_.status(); }
  // How long this mode has lasted.
  [[nodiscard]] double suspended_s() const;
  // Moves out the snapshot of everything that was known when this mode started. To be called when the mode
  // ends, because this object has no snapshot afterwards.
  [[nodiscard]] EvidenceSnapshot take_snapshot() { return std::move(snapshot_); }
  // Terminal states of jobs, by job.
  [[nodiscard]] const std::map<std::string, JobStatus>& terminals() const { return service_.terminals(); }

 private:
  [[nodiscard]] Recovery::Context context(const Settings& settings, const Options& options,
                                          const PublishedHandler& published);
  [[nodiscard]] std::size_t chunk_count() const { return snapshot_.chunk_count() + 1; }
  [[nodiscard]] Evidence chunk(std::size_t number) const;
  [[nodiscard]] Evidence own_evidence() const;

  Env& outer_env_;
  double process_started_at_;
  EvidenceSnapshot snapshot_;
  SuspendedService service_;
  ScopedEnv env_;  // its callbacks are dropped when this object is destroyed
  Recovery recovery_;
};

}  // namespace mothslip::recovery
