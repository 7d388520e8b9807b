#include "recovery/suspended_service.hpp"

#include <algorithm>
#include <string_view>

#include "protocol/names.hpp"

namespace mothslip::recovery {

namespace {

constexpr int kRetryAfterSeconds = 2;
constexpr int kShortRetryAfterSeconds = 1;  // for workers, other controllers and readiness checks
constexpr std::string_view kUserApiPrefix = "/v2/";
constexpr std::string_view kJobs = "/v2/runs";
constexpr std::string_view kCancelSuffix = "/cancel";

void send_rebuilding(const Responder& responder, int retry_after_s) {
  responder.send(503, R"({"error":"records are being rebuilt"})", retry_after_s);
}

bool ends_with(const std::string& text, std::string_view end) {
  return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// The job that a user's request names, and whether the request is to cancel it.
struct UserRequest {
  std::string ref;  // empty if the request names no job
  bool is_cancellation = false;
};

UserRequest user_request_of(const HttpRequest& request) {
  UserRequest out;
  out.is_cancellation = ends_with(request.path, kCancelSuffix);
  if (request.path == kJobs) {
    const Json body = parse_json(request.body);
    if (body.is_object() && body.value("ref", Json("")).is_string()) out.ref = body.value("ref", "");
  } else if (request.path.rfind(kJobs, 0) == 0 && request.path.size() > kJobs.size() + 1) {
    out.ref = request.path.substr(kJobs.size() + 1);
    if (out.is_cancellation) out.ref.resize(out.ref.size() - kCancelSuffix.size());
  }
  return out;
}

}  // namespace

SuspendedService::SuspendedService(const NodeMemory& memory, double now)
    : shards_(memory.shard_count), terminals_(memory.terminals) {
  for (const ShardMemory& shard : memory.owned)
    renewals_[shard.shard] = {shard.fencing_token, now + shard.worker_renewal_left_s};
}

void SuspendedService::on_client_request(const HttpRequest& request, const Responder& responder, double now) {
  if (request.path == "/ready") {
    responder.send(503, R"({"ready":false})", kShortRetryAfterSeconds);
  } else if (request.path == "/hello") {
    const auto report = parse_report(parse_json(request.body));
    if (!report) return responder.send(400, R"({"error":"malformed report"})");
    on_report(*report, responder, now);
  } else {
    on_user_request(request, responder);
  }
}

void SuspendedService::on_peer_request(const HttpRequest& request, const Responder& responder, double now) {
  const bool is_user_request = request.path.rfind(kUserApiPrefix, 0) == 0;
  if (is_user_request) return on_client_request(request, responder, now);
  send_rebuilding(responder, kShortRetryAfterSeconds);
}

void SuspendedService::on_report(const Report& report, const Responder& responder, double now) {
  record_reported_tasks(report);
  if (const auto token = renewal_token(report, now)) {
    responder.send(200, orders_body(*token, std::nullopt, {}));
  } else {
    send_rebuilding(responder, kShortRetryAfterSeconds);
  }
}

void SuspendedService::record_reported_tasks(const Report& report) {
  reported_.newest_revision = std::max(reported_.newest_revision, newest_reported_revision(report));
  for (const TaskReport& task : report.tasks) {
    const auto index = static_cast<std::uint32_t>(task.index);
    JobEvidence& job = reported_.jobs[task.ref];
    job.reported_by_worker.add(index);
    if (task.phase == TaskPhase::kExited && task.cause == ExitCause::kDone) job.done.add(index);
  }
}

// The fencing token with which this worker's lease may be renewed now; nullopt if it may not be renewed.
std::optional<std::uint64_t> SuspendedService::renewal_token(const Report& report, double now) const {
  if (shards_ <= 0) return std::nullopt;
  const auto found = renewals_.find(shard_of(report.machine_name, shards_));
  if (found == renewals_.end()) return std::nullopt;
  const Renewal& renewal = found->second;
  const bool later_owner_seen = report.fencing_token > renewal.token;
  if (later_owner_seen || now >= renewal.expires_at) return std::nullopt;
  return renewal.token;
}

// Terminal states may be answered, because they are final whichever records were lost.
void SuspendedService::on_user_request(const HttpRequest& request, const Responder& responder) const {
  const UserRequest user_request = user_request_of(request);
  const auto terminal = terminals_.find(user_request.ref);
  if (terminal == terminals_.end()) return send_rebuilding(responder, kRetryAfterSeconds);
  const JobStatus& status = terminal->second;
  responder.send(200, user_request.is_cancellation ? cancellation_body(user_request.ref, status.phase)
                                                   : status.to_body(user_request.ref));
}

}  // namespace mothslip::recovery
