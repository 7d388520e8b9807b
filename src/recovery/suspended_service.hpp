// How a controller answers users and workers while records are being rebuilt.
//
// The controller makes no decisions. Users get an answer if the state of their job is known to be final, and
// 503 otherwise. The leases of workers are renewed for as long as the owner of their shard could have renewed
// them without the state service, so that their tasks keep running. Workers get no orders. Their reports are
// kept as evidence.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coordination/node/node_memory.hpp"
#include "protocol/settings.hpp"
#include "recovery/evidence.hpp"
#include "transport/http.hpp"

namespace mothslip::recovery {

class SuspendedService {
 public:
  // All later calls must take `now` from the same clock.
  SuspendedService(const NodeMemory& memory, double now);

  // Handles a request of a user or a worker, or a readiness check.
  void on_client_request(const HttpRequest& request, const Responder& responder, double now);
  // Handles a request from another controller. Only forwarded requests of users are served; all others get
  // 503.
  void on_peer_request(const HttpRequest& request, const Responder& responder, double now);
  // Evidence from the reports that workers have sent so far.
  [[nodiscard]] const Evidence& reported() const { return reported_; }
  // Terminal states that were known before the suspension, by job. They are final, whichever records were
  // lost.
  [[nodiscard]] const std::map<std::string, JobStatus>& terminals() const { return terminals_; }

 private:
  void on_report(const Report& report, const Responder& responder, double now);
  void record_reported_tasks(const Report& report);
  [[nodiscard]] std::optional<std::uint64_t> renewal_token(const Report& report, double now) const;
  void on_user_request(const HttpRequest& request, const Responder& responder) const;

  // Until `expires_at` the leases of a shard's workers may be renewed with this fencing token.
  struct Renewal {
    std::uint64_t token = 0;
    double expires_at = 0;
  };
  int shards_;                       // number of shards in the cluster; 0 if not known
  std::map<int, Renewal> renewals_;  // by shard that this controller owned
  std::map<std::string, JobStatus> terminals_;
  Evidence reported_;
};

}  // namespace mothslip::recovery
