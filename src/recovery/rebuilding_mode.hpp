// The mode of a controller while lost records are rebuilt: it decides nothing, answers what is final, keeps
// what it knew as evidence, and takes part in the rebuilding or leads it.
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
    NodeMemory memory;              // of the node that served until now; empty: none did
    Evidence known_evidence;        // all that this controller knows now
    Incarnation last;               // that it served
    double process_started_at = 0;  // by the clock of `env`
  };
  // A new incarnation is published. Called once, never from within this object.
  using PublishedHandler = std::function<void(const MetaRecord& meta)>;
  RebuildingMode(Env& env, const Settings& settings, const Options& options,
                 const PublishedHandler& published);

  void start() { recovery_.start(); }
  void on_client_request(const HttpRequest& request, const Responder& responder) override;
  void on_peer_request(const HttpRequest& request, const Responder& responder) override;
  [[nodiscard]] EvidenceReply answer(const EvidenceRequest& request) const;

  [[nodiscard]] RecoveryStatus status() const { return recovery_.status(); }
  // So long this mode has lasted, in seconds.
  [[nodiscard]] double suspended_s() const;
  // What was known when this mode began. Leaves this object without it: for when the mode ends.
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
  ScopedEnv env_;  // what is under way ends with this object
  Recovery recovery_;
};

}  // namespace mothslip::recovery
