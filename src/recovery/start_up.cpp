#include "recovery/start_up.hpp"

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"
#include "recovery/doubt.hpp"
#include "recovery/operator_messages.hpp"
#include "recovery/state_answer.hpp"

namespace mothslip::recovery {

namespace {
constexpr double kRetryDelaySeconds = 0.3;
constexpr double kPeerTimeoutSeconds = 1.0;
constexpr int kOkStatus = 200;
}  // namespace

StartUp::StartUp(Env& env, const Settings& settings, Handlers handlers)
    : outer_env_(env),
      env_(env),
      settings_(settings),
      handlers_(std::move(handlers)),
      service_(NodeMemory{}, env.now()),
      store_(env_, settings) {}

void StartUp::start() { read_meta(); }

void StartUp::read_meta() {
  store_.get(RequestPriority::kLease, keys::kMeta, [this](const StateReply& reply) { on_meta(reply); });
}

void StartUp::on_meta(const StateReply& reply) {
  meta_ = meta_of(reply);
  if (meta_ && meta_->is_rebuilding()) {
    report_loss("records are being rebuilt");
  } else if (meta_ || reply.outcome == Outcome::kMissing) {
    ask_peers();
  } else {
    env_.after(kRetryDelaySeconds, [this] { read_meta(); });
  }
}

// This process has no memory that could contradict the state service. Controllers that serve may have, or
// otherwise workers that hold fencing tokens and tasks.
void StartUp::ask_peers() {
  pending_peers_ = settings_.members.size();
  if (pending_peers_ == 0) return wait_for_reports();
  for (const Member& member : settings_.members) {
    env_.call({member.address, "GET", kStatusPath, "", kPeerTimeoutSeconds},
              [this](const HttpReply& reply) { on_peer_status(reply); });
  }
}

void StartUp::on_peer_status(const HttpReply& reply) {
  const Json body = parse_json(reply.body);
  if (reply.status == kOkStatus && body.is_object()) {
    const ControllerStatus peer = ControllerStatus::from_json(body);
    if (peer.serving)
      min_stale_risk_s_ = std::min(min_stale_risk_s_.value_or(kStaleRiskSeconds), peer.stale_risk_s);
    newest_peer_revision_ = std::max(newest_peer_revision_, peer.newest_revision);
  }
  if (--pending_peers_ > 0) return;
  if (min_stale_risk_s_) {
    check_for_loss();
  } else {
    wait_for_reports();
  }
}

void StartUp::wait_for_reports() {
  env_.after(report_wait_s(settings_), [this] { check_for_loss(); });
}

void StartUp::check_for_loss() {
  store_.read_revision(RequestPriority::kLease, [this](std::optional<std::uint64_t> revision) {
    if (revision) {
      compare_with_store(*revision);
    } else {
      env_.after(kRetryDelaySeconds, [this] { check_for_loss(); });
    }
  });
}

// `stored_revision` is the state service's own revision, without the offset of the incarnation.
void StartUp::compare_with_store(std::uint64_t stored_revision) {
  const Incarnation incarnation = meta_ ? meta_->incarnation : Incarnation{};
  const std::uint64_t newest_known = std::max(reported().newest_revision, newest_peer_revision_);
  const std::uint64_t service_revision = KeySpace(incarnation).to_logical_revision(stored_revision);
  const bool service_is_behind = newest_known > service_revision;
  // At the first start of a cluster the state service is empty too, but no worker has tasks then.
  const bool records_missing = !meta_ && !reported().jobs.empty();
  if (service_is_behind || records_missing)
    // This text is shown to operators as the reason in the recovery status and stays as it is.
    return report_loss("workers or controllers know of what the state service does not");
  // Without `meta` there are no records, so none of them can be stale.
  const double stale_risk_s = meta_ ? min_stale_risk_s_.value_or(kStaleRiskSeconds) : 0;
  const ServableRecords records{incarnation, service_revision, stale_risk_s};
  outer_env_.after(0, [serve = handlers_.serve, records] { serve(records); });
}

void StartUp::report_loss(const std::string& reason) {
  outer_env_.after(0, [suspend = handlers_.suspend, reason] { suspend(reason); });
}

void StartUp::on_client_request(const HttpRequest& request, const Responder& responder) {
  service_.on_client_request(request, responder, outer_env_.now());
}

void StartUp::on_peer_request(const HttpRequest& request, const Responder& responder) {
  service_.on_peer_request(request, responder, outer_env_.now());
}

}  // namespace mothslip::recovery
