#include "recovery/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "recovery/messages.hpp"

namespace mothslip::recovery {

namespace {
// So long after a rebuilding what was known before it is kept, should records be lost again.
constexpr double kKeepSnapshotSeconds = 120.0;
}  // namespace

Controller::Controller(Env& env, Settings settings, Capabilities capabilities)
    : env_(env), settings_(std::move(settings)), capabilities_(capabilities), started_(env.now()) {}

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
  handlers.suspend = [this](const std::string& why) { suspend(why); };
  handlers.serve = [this](const Incarnation& incarnation, double doubt_s) { serve(incarnation, doubt_s); };
  start_up_ = std::make_unique<StartUp>(env_, settings_, std::move(handlers));
  start_up_->start();
}

// ---------------------------------------------------------------- changes of mode

void Controller::serve(const Incarnation& incarnation, double doubt_s) {
  ServingMode::Options options;
  options.capabilities = capabilities_;
  options.incarnation = incarnation;
  options.doubt_s = doubt_s;
  if (rebuilding_) {
    options.terminals = rebuilding_->terminals();
    last_snapshot_ = rebuilding_->take_snapshot();
  }
  incarnation_ = incarnation;
  rebuilding_.reset();
  start_up_.reset();
  serving_since_ = env_.now();
  doubt_until_ = env_.now() + doubt_s;
  serving_ = std::make_unique<ServingMode>(env_, settings_, options,
                                           [this](const std::string& why) { suspend(why); });
  serving_->start();
}

// Nothing is started, stopped or told from here on but what is final. (Never called from within a mode.)
void Controller::suspend(const std::string& why) {
  if (rebuilding_) return;
  spdlog::error("recovery: {}: this controller stops deciding", why);
  reason_ = why;
  RebuildingMode::Options options;
  if (serving_) options.memory = serving_->memory();
  options.known = evidence_at_hand(options.memory);
  options.last = incarnation_;
  options.process_started = started_;
  serving_.reset();
  start_up_.reset();
  rebuilding_ = std::make_unique<RebuildingMode>(env_, settings_, options,
                                                 [this](const MetaRecord& meta) { resume(meta); });
  rebuilding_->start();
}

void Controller::resume(const MetaRecord& meta) {
  spdlog::warn("recovery: incarnation {} begins", meta.incarnation.number);
  serve(meta.incarnation, 0);
}

// All that this controller knows at the moment when it stops serving. `memory`: of its node.
Evidence Controller::evidence_at_hand(const NodeMemory& memory) const {
  Evidence out = to_evidence(memory);
  if (doubt_s() > 0) remove_owner_evidence(out);
  const bool just_rebuilt = serving_since_ > 0 && env_.now() - serving_since_ < kKeepSnapshotSeconds;
  if (just_rebuilt) out.merge(last_snapshot_.as_surviving_records());
  if (serving_) out.highest_revision = std::max(out.highest_revision, serving_->newest_revision());
  if (start_up_) out.merge(start_up_->reported());
  return out;
}

double Controller::doubt_s() const { return std::max(0.0, doubt_until_ - env_.now()); }

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

// Who asks leads a rebuilding. What is answered has to stay true, so this controller stops serving first. But
// a request that comes late, when the rebuilding is over, changes nothing any more.
void Controller::on_evidence_request(const HttpRequest& request, const Responder& responder) {
  const auto asked = EvidenceRequest::from_json(parse_json(request.body));
  if (!asked) return responder.send(400, R"({"error":"malformed"})");
  const bool over = serving_ && asked->begun <= incarnation_.number;
  if (over) return responder.send(409, R"({"error":"it is over"})");
  if (!rebuilding_) suspend("another controller rebuilds the records");
  responder.send(200, dump_json(rebuilding_->answer(*asked).to_json()));
}

ControllerStatus Controller::status() const {
  ControllerStatus out;
  out.node = settings_.node;
  out.incarnation = incarnation_.number;
  out.serving = serving();
  out.doubt_s = doubt_s();
  out.newest_revision = serving_ ? serving_->newest_revision() : 0;
  out.reason = reason_;
  if (rebuilding_) {
    out.recovery = rebuilding_->status();
    out.suspended_s = rebuilding_->suspended_s();
  }
  return out;
}

}  // namespace mothslip::recovery
