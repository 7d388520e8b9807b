#include "recovery/suspended_service.hpp"

#include <algorithm>
#include <string_view>

#include "protocol/names.hpp"

namespace mothslip::recovery {

namespace {

constexpr int kRetryAfterSeconds = 2;
constexpr int kRetrySoonSeconds = 1;  // for workers and those who ask whether the controller is ready
constexpr std::string_view kUserApi = "/v2/";
constexpr std::string_view kRuns = "/v2/runs";
constexpr std::string_view kCancel = "/cancel";

void send_rebuilding(const Responder& responder, int retry_after_s) {
  responder.send(503, R"({"error":"records are being rebuilt"})", retry_after_s);
}

bool ends_with(const std::string& text, std::string_view end) {
  return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// What a user asks about: a job, and whether it is to be cancelled.
struct UserQuestion {
  std::string ref;  // empty: none
  bool cancellation = false;
};

UserQuestion question_of(const HttpRequest& request) {
  UserQuestion out;
  out.cancellation = ends_with(request.path, kCancel);
  if (request.path == kRuns) {
    const Json body = parse_json(request.body);
    if (body.is_object() && body.value("ref", Json("")).is_string()) out.ref = body.value("ref", "");
  } else if (request.path.rfind(kRuns, 0) == 0 && request.path.size() > kRuns.size() + 1) {
    out.ref = request.path.substr(kRuns.size() + 1);
    if (out.cancellation) out.ref.resize(out.ref.size() - kCancel.size());
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
    responder.send(503, R"({"ready":false})", kRetrySoonSeconds);
  } else if (request.path == "/hello") {
    const auto report = parse_report(parse_json(request.body));
    if (!report) return responder.send(400, R"({"error":"malformed report"})");
    on_report(*report, responder, now);
  } else {
    on_user(request, responder);
  }
}

void SuspendedService::on_peer_request(const HttpRequest& request, const Responder& responder, double now) {
  const bool passed_on = request.path.rfind(kUserApi, 0) == 0;
  if (passed_on) return on_client_request(request, responder, now);
  send_rebuilding(responder, kRetrySoonSeconds);
}

void SuspendedService::on_report(const Report& report, const Responder& responder, double now) {
  note_reported_tasks(report);
  if (const auto token = renewal_token(report, now)) {
    responder.send(200, orders_body(*token, std::nullopt, {}));
  } else {
    send_rebuilding(responder, kRetrySoonSeconds);
  }
}

void SuspendedService::note_reported_tasks(const Report& report) {
  reported_.newest = std::max(reported_.newest, newest_reported_revision(report));
  for (const TaskReport& task : report.tasks) {
    const auto index = static_cast<std::uint32_t>(task.index);
    JobEvidence& job = reported_.jobs[task.ref];
    job.seen.add(index);
    if (task.phase == TaskPhase::kExited && task.cause == ExitCause::kDone) job.done.add(index);
  }
}

// The token with which this worker's lease may be renewed now; nothing: it may not be.
std::optional<std::uint64_t> SuspendedService::renewal_token(const Report& report, double now) const {
  if (shards_ <= 0) return std::nullopt;
  const auto found = renewals_.find(shard_of(report.machine_name, shards_));
  if (found == renewals_.end()) return std::nullopt;
  const Renewal& renewal = found->second;
  const bool later_owner_seen = report.fencing_token > renewal.token;
  if (later_owner_seen || now >= renewal.until) return std::nullopt;
  return renewal.token;
}

// A terminal state is final whatever was lost.
void SuspendedService::on_user(const HttpRequest& request, const Responder& responder) const {
  const UserQuestion question = question_of(request);
  const auto known = terminals_.find(question.ref);
  if (known == terminals_.end()) return send_rebuilding(responder, kRetryAfterSeconds);
  const JobStatus& status = known->second;
  responder.send(200, question.cancellation ? cancellation_body(question.ref, status.phase)
                                            : status.to_body(question.ref));
}

}  // namespace mothslip::recovery
