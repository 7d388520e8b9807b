// How a controller answers users and workers while records are being rebuilt.
//
// Nothing is decided: users hear what is known to be final and 503 otherwise. The leases of workers are
// renewed for as long as their owner could have renewed them without the state service, so that their tasks
// go on; they are told nothing else. What they report is kept as evidence.
#pragma once

#include <cstdint>
#include <map>
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

  void on_client_request(const HttpRequest& request, const Responder& responder, double now);
  // A report shows that the state service has known more than it says now: it was given a token, or tasks.
  [[nodiscard]] static bool shows_earlier_state(const Report& report);
  [[nodiscard]] const Evidence& reported() const { return reported_; }
  [[nodiscard]] const std::map<std::string, JobStatus>& terminals() const { return terminals_; }

 private:
  void on_report(const Report& report, const Responder& responder, double now);
  void on_user(const HttpRequest& request, const Responder& responder) const;

  struct Renewal {
    std::uint64_t token = 0;
    double until = 0;
  };
  int shards_;
  std::map<int, Renewal> renewals_;  // by shard that this controller owned
  std::map<std::string, JobStatus> terminals_;
  Evidence reported_;
};

}  // namespace mothslip::recovery
