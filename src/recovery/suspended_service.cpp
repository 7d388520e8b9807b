#include "recovery/suspended_service.hpp"

#include <algorithm>
#include <string_view>

#include "protocol/names.hpp"

namespace mothslip::recovery {

namespace {

constexpr int kRetryAfterSeconds = 2;
constexpr std::string_view kRuns = "/v2/runs";
constexpr std::string_view kCancel = "/cancel";

void send_rebuilding(const Responder& responder) {
  responder.send(503, R"({"error":"records are being rebuilt"})", kRetryAfterSeconds);
}

bool ends_with(const std::string& text, std::string_view end) {
  return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

}  // namespace

SuspendedService::SuspendedService(const NodeMemory& memory, double now)
    : shards_(memory.shards), terminals_(memory.terminals) {
  for (const ShardMemory& shard : memory.owned)
    renewals_[shard.shard] = {shard.token, now + shard.renew_left_s};
}

bool SuspendedService::shows_earlier_state(const Report& report) {
  return report.fencing_token > 0 || !report.tasks.empty();
}

void SuspendedService::on_client_request(const HttpRequest& request, const Responder& responder, double now) {
  if (request.path == "/ready") {
    responder.send(503, R"({"ready":false})", 1);
  } else if (request.path == "/hello") {
    const auto report = parse_report(parse_json(request.body));
    if (!report) return responder.send(400, R"({"error":"malformed report"})");
    on_report(*report, responder, now);
  } else {
    on_user(request, responder);
  }
}

void SuspendedService::on_report(const Report& report, const Responder& responder, double now) {
  reported_.newest = std::max(reported_.newest, newest_shown(report));
  for (const TaskReport& task : report.tasks) {
    JobEvidence& job = reported_.jobs[task.ref];
    job.seen.add(static_cast<std::uint32_t>(task.index));
    if (task.phase == TaskPhase::kExited && task.cause == ExitCause::kDone)
      job.done.add(static_cast<std::uint32_t>(task.index));
  }
  const auto renewal = shards_ > 0 ? renewals_.find(shard_of(report.machine_name, shards_)) : renewals_.end();
  if (renewal != renewals_.end() && report.fencing_token <= renewal->second.token &&
      now < renewal->second.until) {
    responder.send(200, orders_body(renewal->second.token, std::nullopt, {}));
  } else {
    responder.send(503, R"({"error":"records are being rebuilt"})", 1);
  }
}

// A terminal state is final whatever was lost.
void SuspendedService::on_user(const HttpRequest& request, const Responder& responder) const {
  std::string ref;
  const bool submission = request.path == kRuns;
  const bool cancellation = ends_with(request.path, kCancel);
  if (submission) {
    const Json body = parse_json(request.body);
    if (body.is_object()) ref = body.value("ref", Json("")).is_string() ? body.value("ref", "") : "";
  } else if (request.path.rfind(kRuns, 0) == 0 && request.path.size() > kRuns.size() + 1) {
    ref = request.path.substr(kRuns.size() + 1);
    if (cancellation) ref.resize(ref.size() - kCancel.size());
  }
  const auto known = terminals_.find(ref);
  if (known == terminals_.end()) return send_rebuilding(responder);
  responder.send(200,
                 cancellation ? cancellation_body(ref, known->second.phase) : known->second.to_body(ref));
}

}  // namespace mothslip::recovery
