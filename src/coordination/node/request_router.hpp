// Selects the module that answers a request, by path and method. Requests of users and workers arrive at the
// client address, those of other controllers at the peer address.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "coordination/node/peer_heartbeats.hpp"
#include "coordination/node/shard_router.hpp"
#include "coordination/node/user_api.hpp"
#include "coordination/node/worker_reports.hpp"
#include "transport/http.hpp"

namespace mothslip {

// The parsed form of a path under /v2/runs.
struct JobsPath {
  enum class Kind {
    kAll,     // /v2/runs, to which jobs are submitted
    kJob,     // /v2/runs/REF
    kCancel,  // /v2/runs/REF/cancel
  };
  Kind kind = Kind::kAll;
  std::string ref;  // not validated (is_valid_ref); empty for kAll
};
// Returns nothing if the path is not one of these.
[[nodiscard]] std::optional<JobsPath> parse_jobs_path(const std::string& path);

class RequestRouter {
 public:
  struct Context {
    UserApi* users = nullptr;
    WorkerReports* reports = nullptr;
    PeerHeartbeats* heartbeats = nullptr;
    ShardRouter* shards = nullptr;
    std::function<bool()> is_ready;   // the answer to GET /ready
    StateMonitor* monitor = nullptr;  // null if this node does not monitor for lost state
  };
  explicit RequestRouter(Context context) : ctx_(std::move(context)) {}

  void on_client_request(const HttpRequest& request, const Responder& responder);
  void on_peer_request(const HttpRequest& request, const Responder& responder);

 private:
  // `forwarded`: whether another node forwarded the request. If so, it is not forwarded again.
  void on_user_request(const HttpRequest& request, bool forwarded, const Responder& responder);

  Context ctx_;
};

}  // namespace mothslip
