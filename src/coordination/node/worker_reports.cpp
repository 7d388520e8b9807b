#include "coordination/node/worker_reports.hpp"

#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/node/peer_messages.hpp"

namespace mothslip {

namespace {
constexpr double kRelayTimeoutSeconds = 2.5;  // less than the 4 s that workers wait for an answer

// Redirects the worker to this node.
void redirect(const std::string& node, const Responder& responder) {
  responder.send(421, dump_json({{"parent", node}}));
}
}  // namespace

void WorkerReports::on_report(const HttpRequest& request, bool relayed, const Responder& responder) {
  auto report = parse_report(parse_json(request.body));
  if (!report) {
    responder.send(400, R"({"error":"malformed report"})");
    return;
  }
  if (ctx_.ownership->shard_count() == 0) {
    responder.send(503, R"({"error":"starting"})", 1);
    return;
  }
  ctx_.revisions->check_reported(newest_reported_revision(*report));
  const int shard = shard_of(report->machine_name, ctx_.ownership->shard_count());
  if (ShardLeader* leader = ctx_.shards->find(shard); leader != nullptr) {
    leader->on_report(std::move(*report), relayed, responder);
    return;
  }
  const ShardOwner& owner = ctx_.ownership->owner(shard);
  if (owner.node.empty() || owner.node == ctx_.settings->node) {
    responder.send(503, R"({"error":"no owner"})", 1);
  } else if (relayed) {
    redirect(owner.node, responder);
  } else {
    pass_to_owner(owner, *report, request, responder);
  }
}

void WorkerReports::pass_to_owner(const ShardOwner& owner, const Report& report, const HttpRequest& request,
                                  const Responder& responder) {
  const ReportRelay::ReportInfo report_info{report.machine_name, report.fencing_token, owner.node,
                                            owner.fencing_token};
  switch (ctx_.relay->route(report_info, ctx_.env->now())) {
    case ReportRelay::Route::kRedirect:
      redirect(owner.node, responder);
      return;
    case ReportRelay::Route::kNextNode:
      responder.send(421, R"({"error":"owner not reached"})");
      return;
    case ReportRelay::Route::kRelay:
      relay_report(owner.node, request, responder);
      return;
  }
}

// The owner's answer is forwarded unchanged: the worker checks its fencing token, not the name of the node
// that delivered it. Workers drop answers after 4 s. A launch in a lost answer is sent again, as after any
// lost answer.
void WorkerReports::relay_report(const std::string& owner, const HttpRequest& request,
                                 const Responder& responder) {
  const double asked_at = ctx_.env->now();
  ctx_.env->call({ctx_.settings->member_address(owner), "POST", peer_paths::kRelayedReport, request.body,
                  kRelayTimeoutSeconds},
                 [this, owner, asked_at, responder](const HttpReply& reply) {
                   // A process that was suspended may receive an answer that the owner sent long ago.
                   const bool is_late = ctx_.env->now() - asked_at > kRelayTimeoutSeconds;
                   if (reply.unanswered() || is_late) {
                     ctx_.relay->on_relay_failed(owner);
                     responder.send(503, R"({"error":"owner not reached"})", 1);
                   } else {
                     responder.send(reply.status, reply.body, reply.status == 503 ? 1 : 0);
                   }
                 });
}

}  // namespace mothslip
