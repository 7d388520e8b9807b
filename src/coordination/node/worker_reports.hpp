// Handles the reports of workers. The leader answers reports for shards that this node owns. Workers of other
// shards are redirected to the owner, or their reports are relayed to it (ReportRelay decides which).
#pragma once

#include <string>

#include "coordination/node/local_shards.hpp"
#include "coordination/node/report_relay.hpp"
#include "coordination/node/revision_probe.hpp"
#include "coordination/ownership/ownership.hpp"
#include "transport/http.hpp"

namespace mothslip {

class WorkerReports {
 public:
  struct Context {
    Env* env = nullptr;
    const Settings* settings = nullptr;
    const Ownership* ownership = nullptr;
    const LocalShards* shards = nullptr;
    ReportRelay* relay = nullptr;
    RevisionProbe* revisions = nullptr;
  };
  explicit WorkerReports(Context context) : ctx_(context) {}

  // `relayed`: whether another node received the report and relayed it here. The leader answers a relayed
  // report at once instead of holding it, and it is not relayed again.
  void on_report(const HttpRequest& request, bool relayed, const Responder& responder);

 private:
  void pass_to_owner(const ShardOwner& owner, const Report& report, const HttpRequest& request,
                     const Responder& responder);
  void relay_report(const std::string& owner, const HttpRequest& request, const Responder& responder);

  Context ctx_;
};

}  // namespace mothslip
