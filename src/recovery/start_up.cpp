#include "recovery/start_up.hpp"

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"
#include "recovery/doubt.hpp"
#include "recovery/operator_messages.hpp"
#include "recovery/state_answer.hpp"

namespace mothslip::recovery {

namespace {
constexpr double kRetrySeconds = 0.3;
constexpr double kPeerTimeoutSeconds = 1.0;
constexpr int kOk = 200;
}  // namespace

StartUp::StartUp(Env& env, const Settings& settings, Handlers handlers)
    : outer_env_(env),
      env_(env),
      settings_(settings),
      handlers_(std::move(handlers)),
      service_(NodeMemory{}, env.now()),
      store_(env_, settings) {}

void StartUp::start() { look_at_meta(); }

void StartUp::look_at_meta() {
  store_.get(RequestPriority::kLease, keys::kMeta, [this](const StateReply& reply) { on_meta(reply); });
}

void StartUp::on_meta(const StateReply& reply) {
  meta_ = meta_of(reply);
  if (meta_ && meta_->rebuilding()) {
    conclude_loss("records are being rebuilt");
  } else if (meta_ || reply.outcome == Outcome::kMissing) {
    ask_peers();
  } else {
    env_.after(kRetrySeconds, [this] { look_at_meta(); });
  }
}

// This process remembers nothing that could contradict the state service. Others may: controllers that serve,
// or else workers with tokens and tasks.
void StartUp::ask_peers() {
  peers_asked_ = settings_.members.size();
  if (peers_asked_ == 0) return listen_to_workers();
  for (const Member& member : settings_.members) {
    env_.call({member.address, "GET", kStatusPath, "", kPeerTimeoutSeconds},
              [this](const HttpReply& reply) { on_peer_status(reply); });
  }
}

void StartUp::on_peer_status(const HttpReply& reply) {
  const Json body = parse_json(reply.body);
  if (reply.status == kOk && body.is_object()) {
    const ControllerStatus peer = ControllerStatus::from_json(body);
    if (peer.serving) least_doubt_s_ = std::min(least_doubt_s_.value_or(kDoubtSeconds), peer.doubt_s);
    newest_of_peers_ = std::max(newest_of_peers_, peer.newest_revision);
  }
  if (--peers_asked_ > 0) return;
  if (least_doubt_s_) {
    look_for_loss();
  } else {
    listen_to_workers();
  }
}

void StartUp::listen_to_workers() {
  env_.after(listening_s(settings_), [this] { look_for_loss(); });
}

void StartUp::look_for_loss() {
  store_.get(RequestPriority::kLease, keys::kRevisionProbe, [this](const StateReply& reply) {
    if (reply.outcome != Outcome::kMissing) {
      env_.after(kRetrySeconds, [this] { look_for_loss(); });
    } else {
      compare_with_store(reply.revision());
    }
  });
}

// `stored_revision`: as the state service counts, without the incarnation's offset.
void StartUp::compare_with_store(std::uint64_t stored_revision) {
  const Incarnation incarnation = meta_ ? meta_->incarnation : Incarnation{};
  const std::uint64_t newest_known = std::max(reported().highest_revision, newest_of_peers_);
  const bool service_is_behind = newest_known > KeySpace(incarnation).to_own(stored_revision);
  // (An empty service, at the very first start, has no workers with tasks.)
  const bool emptied = !meta_ && !reported().jobs.empty();
  if (service_is_behind || emptied)
    return conclude_loss("workers or controllers know of what the state service does not");
  // (Where there are no records, none can be misread.)
  const double doubt_s = meta_ ? least_doubt_s_.value_or(kDoubtSeconds) : 0;
  outer_env_.after(0, [serve = handlers_.serve, incarnation, doubt_s] { serve(incarnation, doubt_s); });
}

void StartUp::conclude_loss(const std::string& why) {
  outer_env_.after(0, [suspend = handlers_.suspend, why] { suspend(why); });
}

void StartUp::on_client_request(const HttpRequest& request, const Responder& responder) {
  service_.on_client_request(request, responder, outer_env_.now());
}

void StartUp::on_peer_request(const HttpRequest& request, const Responder& responder) {
  service_.on_peer_request(request, responder, outer_env_.now());
}

}  // namespace mothslip::recovery
