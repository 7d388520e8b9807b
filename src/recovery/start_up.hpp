// The mode of a controller that has just started. It reads `meta`, asks its peers for their status and waits
// for reports of workers, to find out whether it may serve the records that the state service holds.
//
// Users and workers get the same answers as during a rebuild.
#pragma once

#include <cstdint>
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
  // The records that this controller may serve.
  struct ServableRecords {
    Incarnation incarnation;
    // The newest revision of the state service that this controller has learned while it started. The service
    // has shown that it is not behind it.
    std::uint64_t newest_revision = 0;
    double stale_risk_s = 0;  // the records may prove to be stale for this long
  };
  // Exactly one of these is called, once, when the mode ends. It is never called from within this object,
  // which may have been destroyed by then if another controller has requested evidence meanwhile.
  struct Handlers {
    // Records are lost or being rebuilt.
    std::function<void(const std::string& reason)> suspend;
    std::function<void(const ServableRecords& records)> serve;
  };
  StartUp(Env& env, const Settings& settings, Handlers handlers);

  void start();
  void on_client_request(const HttpRequest& request, const Responder& responder) override;
  void on_peer_request(const HttpRequest& request, const Responder& responder) override;
  // Evidence from the reports that workers have sent so far.
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

  Env& outer_env_;  // of the controller: its callbacks still run after this object is destroyed
  ScopedEnv env_;   // its callbacks are dropped when this object is destroyed
  const Settings& settings_;
  Handlers handlers_;
  SuspendedService service_;
  StateClient store_;
  std::optional<MetaRecord> meta_;          // as read; nullopt if the record does not exist
  std::size_t pending_peers_ = 0;           // peers that have not answered yet
  std::uint64_t newest_peer_revision_ = 0;  // newest revision that any peer knows
  std::optional<double> min_stale_risk_s_;  // lowest value of the peers that serve
};

}  // namespace mothslip::recovery
