#include "recovery/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "recovery/messages.hpp"

namespace mothslip::recovery {

namespace {
// The snapshot of the evidence from before a rebuild is kept for this long afterwards, in case records are
// lost again.
constexpr double kSnapshotRetentionSeconds = 120.0;
}  // namespace

Controller::Controller(Env& env, Settings settings, Capabilities capabilities)
    : env_(env), settings_(std::move(settings)), capabilities_(capabilities), started_at_(env.now()) {}

Controller::~Controller() = default;

const ShardLeader* Controller::shard(int index) const {
  if (plain_node_) return plain_node_->shard(index);
  return serving_ ? serving_->shard(index) : nullptr;
}

void Controller::start() {
  if (!settings_.tuning.recovery) {
    plain_node_ = std::make_unique<Node>(env_, settings_, capabilities_);
    plain_node_->start();
    return;
  }
  StartUp::Handlers handlers;
  handlers.suspend = [this](const std::string& reason) { suspend(reason); };
  handlers.serve = [this](const StartUp::ServableRecords& records) { serve(records); };
  start_up_ = std::make_unique<StartUp>(env_, settings_, std::move(handlers));
  start_up_->start();
}

// ---------------------------------------------------------------- changes of mode

void Controller::serve(const StartUp::ServableRecords& records) {
  ServingMode::Options options;
  options.capabilities = capabilities_;
  options.incarnation = records.incarnation;
  options.newest_revision = records.newest_revision;
  options.stale_risk_s = records.stale_risk_s;
  if (rebuilding_) {
    options.terminals = rebuilding_->terminals();
    last_snapshot_ = rebuilding_->take_snapshot();
  }
  incarnation_ = records.incarnation;
  rebuilding_.reset();
  start_up_.reset();
  serving_started_at_ = env_.now();
  stale_risk_ends_at_ = env_.now() + records.stale_risk_s;
  serving_ = std::make_unique<ServingMode>(env_, settings_, options,
                                           [this](const std::string& reason) { suspend(reason); });
  serving_->start();
}

// From here on this controller starts and stops no tasks and answers only with final states. This function
// destroys the current mode, so it must never be called from within a mode.
void Controller::suspend(const std::string& reason) {
  if (rebuilding_) return;
  spdlog::error("recovery: {}: this controller stops serving until the records are rebuilt", reason);
  reason_ = reason;
  RebuildingMode::Options options;
  if (serving_) options.memory = serving_->memory();
  options.known_evidence = current_evidence(options.memory);
  options.last_incarnation = incarnation_;
  options.process_started_at = started_at_;
  serving_.reset();
  start_up_.reset();
  rebuilding_ = std::make_unique<RebuildingMode>(env_, settings_, options,
                                                 [this](const MetaRecord& meta) { resume(meta); });
  rebuilding_->start();
}

void Controller::resume(const MetaRecord& meta) {
  spdlog::warn("recovery: incarnation {} of the records is published: this controller serves it",
               meta.incarnation.number);
  // No revision of this incarnation is known. A copy from before its publication is noticed by its `meta`.
  serve({meta.incarnation, 0, 0});
}

// Everything that this controller knows at the moment when it stops serving. `memory` is that of its node.
Evidence Controller::current_evidence(const NodeMemory& memory) const {
  Evidence out = to_evidence(memory);
  if (stale_risk_s() > 0) remove_owner_evidence(out);
  const bool just_rebuilt =
      serving_started_at_ > 0 && env_.now() - serving_started_at_ < kSnapshotRetentionSeconds;
  if (just_rebuilt) out.merge(last_snapshot_.as_surviving_records());
  if (serving_) out.newest_revision = std::max(out.newest_revision, serving_->newest_revision());
  if (start_up_) out.merge(start_up_->reported());
  return out;
}

double Controller::stale_risk_s() const { return std::max(0.0, stale_risk_ends_at_ - env_.now()); }

// ---------------------------------------------------------------- requests

Mode& Controller::mode() const {
  if (serving_) return *serving_;
  if (rebuilding_) return *rebuilding_;
  return *start_up_;
}

void Controller::on_client_request(const HttpRequest& request, const Responder& responder) {
  if (plain_node_) return plain_node_->on_client_request(request, responder);
  mode().on_client_request(request, responder);
}

void Controller::on_peer_request(const HttpRequest& request, const Responder& responder) {
  if (plain_node_) return plain_node_->on_peer_request(request, responder);
  if (request.path == kEvidencePath) return on_evidence_request(request, responder);
  if (request.path == kStatusPath) return responder.send(200, dump_json(status().to_json()));
  mode().on_peer_request(request, responder);
}

// The sender leads a rebuild. The evidence in the answer must remain true, so this controller stops serving
// before it answers. A late request, for a rebuild that is already over, is refused and changes nothing.
void Controller::on_evidence_request(const HttpRequest& request, const Responder& responder) {
  const auto evidence_request = EvidenceRequest::from_json(parse_json(request.body));
  if (!evidence_request) return responder.send(400, R"({"error":"malformed"})");
  const bool is_over = serving_ && evidence_request->target_incarnation <= incarnation_.number;
  if (is_over) return responder.send(409, R"({"error":"it is over"})");
  if (!rebuilding_) suspend("another controller rebuilds the records");
  responder.send(200, dump_json(rebuilding_->answer(*evidence_request).to_json()));
}

ControllerStatus Controller::status() const {
  ControllerStatus out;
  out.node = settings_.node;
  out.incarnation = incarnation_.number;
  out.serving = serving();
  out.stale_risk_s = stale_risk_s();
  out.newest_revision = serving_ ? serving_->newest_revision() : 0;
  out.reason = reason_;
  if (rebuilding_) {
    out.recovery = rebuilding_->status();
    out.suspended_s = rebuilding_->suspended_s();
  }
  return out;
}

}  // namespace mothslip::recovery
