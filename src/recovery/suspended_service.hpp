// How a controller answers users and workers while records are being rebuilt.
//
// Nothing is decided: users hear what is known to be final and 503 otherwise. The leases of workers are
// renewed for as long as the owner of their shard could have renewed them without the state service, so that
// their tasks go on; they are told nothing else. What they report is kept as evidence.
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
  // `now`: by the clock that all later calls use.
  SuspendedService(const NodeMemory& memory, double now);

  // A request of a user, a worker, or who asks whether this controller is ready.
  void on_client_request(const HttpRequest& request, const Responder& responder, double now);
  // A request that came from another controller: those of users that it passes on are answered, no others.
  void on_peer_request(const HttpRequest& request, const Responder& responder, double now);
  // What workers have reported until now.
  [[nodiscard]] const Evidence& reported() const { return reported_; }
  // Terminal states that were known before, by job: final, whatever was lost.
  [[nodiscard]] const std::map<std::string, JobStatus>& terminals() const { return terminals_; }

 private:
  void on_report(const Report& report, const Responder& responder, double now);
  void record_reported_tasks(const Report& report);
  [[nodiscard]] std::optional<std::uint64_t> renewal_token(const Report& report, double now) const;
  void on_user_request(const HttpRequest& request, const Responder& responder) const;

  // The leases of the workers of a shard may be renewed with this fencing token until then.
  struct Renewal {
    std::uint64_t token = 0;
    double expires_at = 0;
  };
  int shards_;                       // of the cluster; 0: not known
  std::map<int, Renewal> renewals_;  // by shard that this controller owned
  std::map<std::string, JobStatus> terminals_;
  Evidence reported_;
};

}  // namespace mothslip::recovery
