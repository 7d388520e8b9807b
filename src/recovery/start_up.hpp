// The mode of a controller that has just begun: it looks at `meta`, asks its peers and listens to workers,
// and finds out whether it may serve the records that the state service holds.
//
// Users and workers are answered as during a rebuilding.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "coordination/state/state_client.hpp"
#include "recovery/mode.hpp"
#include "recovery/scoped_env.hpp"
#include "recovery/suspended_service.hpp"

namespace mothslip::recovery {

class StartUp final : public Mode {
 public:
  // What it ends with: exactly one of these, called once, never from within this object (which may be gone by
  // then, if the controller was asked for evidence meanwhile).
  struct Handlers {
    // Records are lost or being rebuilt.
    std::function<void(const std::string& reason)> suspend;
    // The records are those of this incarnation; for `doubt_s` more that may be proved wrong.
    std::function<void(const Incarnation& incarnation, double stale_risk_s)> serve;
  };
  StartUp(Env& env, const Settings& settings, Handlers handlers);

  void start();
  void on_client_request(const HttpRequest& request, const Responder& responder) override;
  void on_peer_request(const HttpRequest& request, const Responder& responder) override;
  // What workers have reported until now.
  [[nodiscard]] const Evidence& reported() const { return service_.reported(); }

 private:
  void read_meta();
  void on_meta(const StateReply& reply);
  void ask_peers();
  void on_peer_status(const HttpReply& reply);
  void wait_for_reports();
  void check_for_loss();
  void compare_with_store(std::uint64_t stored_revision);
  void report_loss(const std::string& reason);

  Env& outer_env_;  // of the controller: what it calls outlives this object
  ScopedEnv env_;   // what is under way ends with this object
  const Settings& settings_;
  Handlers handlers_;
  SuspendedService service_;
  StateClient store_;
  std::optional<MetaRecord> meta_;          // as read; nothing: there is none
  std::size_t pending_peers_ = 0;           // that have not answered yet
  std::uint64_t newest_peer_revision_ = 0;  // newest revision that a peer has heard of
  std::optional<double> min_stale_risk_s_;  // of the peers that serve
};

}  // namespace mothslip::recovery
