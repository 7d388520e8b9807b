#include "coordination/node/request_router.hpp"

#include <string_view>

#include "protocol/paths.hpp"

namespace mothslip {

namespace {
bool starts_with(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

bool ends_with(const std::string& text, std::string_view suffix) {
  return text.size() >= suffix.size() &&
         text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

// Returns true if the request has the method that its path requires. If not, answers the request.
bool check_method(const HttpRequest& request, std::string_view method, const Responder& responder) {
  if (request.method == method) return true;
  responder.send(405, R"({"error":"method"})");
  return false;
}
}  // namespace

std::optional<JobsPath> parse_jobs_path(const std::string& path) {
  constexpr std::string_view kJobs = paths::kJobs;
  constexpr std::string_view kCancelSuffix = paths::kCancelSuffix;
  if (path == kJobs) return JobsPath{JobsPath::Kind::kAll, ""};
  if (!starts_with(path, kJobs) || path.size() <= kJobs.size() + 1 || path[kJobs.size()] != '/')
    return std::nullopt;
  std::string ref = path.substr(kJobs.size() + 1);
  if (ref.size() > kCancelSuffix.size() && ends_with(ref, kCancelSuffix)) {
    ref.resize(ref.size() - kCancelSuffix.size());
    return JobsPath{JobsPath::Kind::kCancel, ref};
  }
  if (ref.find('/') != std::string::npos) return std::nullopt;
  return JobsPath{JobsPath::Kind::kJob, ref};
}

void RequestRouter::on_client_request(const HttpRequest& request, const Responder& responder) {
  if (request.path == paths::kReport) {
    if (check_method(request, "POST", responder)) ctx_.reports->on_report(request, false, responder);
  } else if (request.path == paths::kReady) {
    if (!check_method(request, "GET", responder)) return;
    if (ctx_.is_ready()) {
      responder.send(200, R"({"ready":true})");
    } else {
      responder.send(503, R"({"ready":false})", 1);
    }
  } else {
    on_user_request(request, false, responder);
  }
}

void RequestRouter::on_peer_request(const HttpRequest& request, const Responder& responder) {
  if (!starts_with(request.path, peer_paths::kPrefix)) {
    if (ctx_.monitor != nullptr) ctx_.monitor->on_peer_revision(forwarded_revision(request.query));
    on_user_request(request, true, responder);
    return;
  }
  if (!check_method(request, "POST", responder)) return;
  if (request.path == peer_paths::kHeartbeat) {
    ctx_.heartbeats->on_heartbeat(request, responder);
  } else if (request.path == peer_paths::kRelayedReport) {
    ctx_.reports->on_report(request, true, responder);
  } else {
    ctx_.shards->on_request(request, responder);
  }
}

void RequestRouter::on_user_request(const HttpRequest& request, bool forwarded, const Responder& responder) {
  const auto path = parse_jobs_path(request.path);
  if (!path) {
    responder.send(404, R"({"error":"no such path"})");
    return;
  }
  switch (path->kind) {
    case JobsPath::Kind::kAll:
      if (check_method(request, "POST", responder)) ctx_.users->submit(request.body, responder);
      return;
    case JobsPath::Kind::kCancel:
      if (check_method(request, "POST", responder)) ctx_.users->cancel(path->ref, forwarded, responder);
      return;
    case JobsPath::Kind::kJob:
      if (check_method(request, "GET", responder)) ctx_.users->poll(path->ref, forwarded, responder);
      return;
  }
}

}  // namespace mothslip
