// Workers' reports, as they reach this node: the shard's leader answers those of shards that are owned here;
// others are redirected or relayed to the owner (ReportRelay decides which).
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

  // `relayed`: another node received it. Such a report is answered at once, or not at all.
  void on_report(const HttpRequest& request, bool relayed, const Responder& responder);

 private:
  void pass_to_owner(const ShardOwner& owner, const Report& report, const HttpRequest& request,
                     const Responder& responder);
  void relay_report(const std::string& owner, const HttpRequest& request, const Responder& responder);

  Context ctx_;
};

}  // namespace mothslip
