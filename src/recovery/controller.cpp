#include "recovery/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip::recovery {

namespace {
constexpr double kRetryEvery = 0.3;
// Jobs and machines in one chunk of evidence: a few hundred KiB.
constexpr std::size_t kPieceEntries = 400;
constexpr double kPeerSeconds = 1.0;
// The state service has lost nothing unless workers show otherwise within so long.
constexpr double kReportPeriods = 2.0;
constexpr double kLeastListening = 2.0;
// A controller that began when no other served may be proved wrong for so long.
constexpr double kDoubt = 60.0;
// So long after a rebuilding what was known before it is kept, should records be lost again.
constexpr double kKeepMemory = 120.0;
const std::string kStatusPath = "/ops/recovery/status";
const std::string kUnaccountedPath = "/ops/recovery/unaccounted";
const std::string kResolvePath = "/ops/recovery/resolve";

// The shards that these owners read are known no better than by the records themselves.
void forget_owners(Evidence& evidence) {
  evidence.owners.clear();
  for (auto& [ref, job] : evidence.jobs) job.owner_knows_it = false;
}
}  // namespace

Controller::Controller(Env& env, Settings settings, Capabilities capabilities)
    : env_(env), settings_(std::move(settings)), capabilities_(capabilities), started_(env.now()) {}

Controller::~Controller() = default;

const ShardLeader* Controller::shard(int index) const { return node_ ? node_->shard(index) : nullptr; }

void Controller::start() {
  if (!settings_.tuning.recovery) {
    node_ = std::make_unique<Node>(env_, settings_, capabilities_);
    node_->start();
    return;
  }
  recovery_env_ = std::make_unique<ScopedEnv>(env_);
  suspended_ = std::make_unique<SuspendedService>(NodeMemory{}, env_.now());
  first_look_ = std::make_unique<StateClient>(*recovery_env_, settings_);
  look_at_meta();
}

void Controller::look_at_meta() {
  first_look_->get(RequestPriority::kLease, keys::kMeta,
                   [this](const StateReply& reply) { on_first_meta(reply); });
}

void Controller::on_first_meta(const StateReply& reply) {
  first_meta_.reset();
  if (reply.ok()) first_meta_ = MetaRecord::from_json(reply.body.value("data", Json()));
  if (first_meta_ && first_meta_->rebuilding()) {
    env_.after(0, [this] { suspend("records are being rebuilt"); });
  } else if (first_meta_ || reply.outcome == Outcome::kMissing) {
    ask_peers();
  } else {
    recovery_env_->after(kRetryEvery, [this] { look_at_meta(); });
  }
}

// This process remembers nothing that could contradict the state service. Others may: controllers that serve,
// or else workers with tokens and tasks.
void Controller::ask_peers() {
  peers_asked_ = settings_.members.size();
  if (peers_asked_ == 0) return listen_to_workers();
  for (const Member& member : settings_.members) {
    recovery_env_->call(
        {member.address, "GET", kStatusPath, "", kPeerSeconds}, [this](const HttpReply& reply) {
          const Json status = parse_json(reply.body);
          if (reply.status == 200 && status.is_object()) {
            if (status.value("serving", false))
              least_doubt_s_ = std::min(least_doubt_s_.value_or(kDoubt), status.value("doubt_s", 0.0));
            newest_of_peers_ = std::max(newest_of_peers_, status.value("newest", std::uint64_t{0}));
          }
          if (--peers_asked_ > 0) return;
          if (least_doubt_s_) {
            look_for_loss();
          } else {
            listen_to_workers();
          }
        });
  }
}

void Controller::listen_to_workers() {
  const double listen_s = std::max(kLeastListening, kReportPeriods * settings_.report_s);
  recovery_env_->after(listen_s, [this] { look_for_loss(); });
}

void Controller::look_for_loss() {
  first_look_->get(RequestPriority::kLease, keys::kNone, [this](const StateReply& reply) {
    if (reply.outcome != Outcome::kMissing) {
      recovery_env_->after(kRetryEvery, [this] { look_for_loss(); });
    } else {
      compare_with_store(reply.revision());
    }
  });
}

void Controller::compare_with_store(std::uint64_t stored) {
  const Evidence& reported = suspended_->reported();
  const Incarnation incarnation = first_meta_ ? first_meta_->incarnation : Incarnation{};
  const std::uint64_t newest = std::max(reported.newest, newest_of_peers_);
  // (An empty service, at the very first start, has no workers with tasks.)
  if (newest > KeySpace(incarnation).to_own(stored) || (!first_meta_ && !reported.jobs.empty())) {
    env_.after(0, [this] { suspend("workers or controllers know of what the state service does not"); });
  } else {
    // (Where there are no records, none can be misread.)
    const double doubt_s = first_meta_ ? least_doubt_s_.value_or(kDoubt) : 0;
    env_.after(0, [this, incarnation, doubt_s] { serve(incarnation, doubt_s); });
  }
}

void Controller::serve(const Incarnation& incarnation, double doubt_s) {
  const auto terminals = suspended_->terminals();
  incarnation_ = incarnation;
  recovery_.reset();
  first_look_.reset();
  suspended_.reset();
  recovery_env_.reset();
  resumed_at_ = env_.now();
  doubt_until_ = env_.now() + doubt_s;
  node_env_ = std::make_unique<ScopedEnv>(env_);
  detector_ = std::make_unique<LossDetector>(incarnation.token_offset, [this](const std::string& why) {
    node_env_->after(0, [this, why] { suspend(why); });
  });
  node_ = std::make_unique<Node>(*node_env_, settings_, capabilities_, incarnation, detector_.get());
  unaccounted_ = std::make_unique<UnaccountedJobs>(*node_env_, settings_, incarnation, *node_);
  for (const auto& [ref, status] : terminals) node_->note_terminal(ref, status);
  const double hold_back_s =
      doubt_s - (kDoubt - std::max(kLeastListening, kReportPeriods * settings_.report_s));
  if (hold_back_s > 0) node_->hold_back(hold_back_s);
  node_->start();
}

// Nothing is started, stopped or told from here on but what is final. (Never called from within the node.)
void Controller::suspend(const std::string& why) {
  if (recovery_) return;
  spdlog::error("recovery: {}: this controller stops deciding", why);
  reason_ = why;
  suspended_at_ = env_.now();
  const NodeMemory memory = node_ ? node_->memory() : NodeMemory{};
  Evidence known = evidence_of(memory);
  if (doubt_s() > 0) forget_owners(known);
  if (resumed_at_ > 0 && env_.now() - resumed_at_ < kKeepMemory) known.merge(earlier_memory());
  if (detector_) known.newest = std::max(known.newest, detector_->newest());
  if (suspended_) known.merge(suspended_->reported());
  memory_chunks_ = cut(known, kPieceEntries);
  unaccounted_.reset();
  node_.reset();
  node_env_.reset();
  detector_.reset();
  first_look_.reset();
  suspended_ = std::make_unique<SuspendedService>(memory, env_.now());
  recovery_env_ = std::make_unique<ScopedEnv>(env_);
  Recovery::Context context;
  context.env = recovery_env_.get();
  context.settings = &settings_;
  context.last = incarnation_;
  context.shards = memory.shards;
  context.process_started = started_;
  context.own_evidence = [this] { return own_evidence(); };
  context.published = [this](const MetaRecord& meta) {
    recovery_env_->after(0, [this, meta] { resume(meta); });
  };
  recovery_ = std::make_unique<Recovery>(std::move(context));
  recovery_->start();
}

void Controller::resume(const MetaRecord& meta) {
  spdlog::warn("recovery: incarnation {} begins", meta.incarnation.number);
  serve(meta.incarnation, 0);
}

// The chunks of our memory, and last what workers have reported since.
Evidence Controller::evidence_chunk(std::size_t number) const {
  if (number >= memory_chunks_.size()) return suspended_ ? suspended_->reported() : Evidence{};
  Evidence out = memory_chunks_[number];
  for (auto& [shard, owner] : out.owners) owner.lease_left_s -= env_.now() - suspended_at_;
  return out;
}

// What was known before the last rebuilding, should records be lost again before all of its shards were read:
// as good as surviving records.
Evidence Controller::earlier_memory() const {
  Evidence out;
  for (const Evidence& chunk : memory_chunks_) out.merge(chunk);
  forget_owners(out);
  out.machines.clear();
  for (auto& [ref, job] : out.jobs) {
    job.placements.clear();
    job.accepted = false;
    job.in_store = true;
  }
  return out;
}

double Controller::doubt_s() const { return std::max(0.0, doubt_until_ - env_.now()); }

Evidence Controller::own_evidence() const {
  Evidence out;
  for (std::size_t number = 0; number < evidence_chunk_count(); number++) out.merge(evidence_chunk(number));
  return out;
}

// ---------------------------------------------------------------- requests

void Controller::on_client_request(const HttpRequest& request, const Responder& responder) {
  if (node_) {
    node_->on_client_request(request, responder);
  } else {
    suspended_->on_client_request(request, responder, env_.now());
  }
}

void Controller::on_peer_request(const HttpRequest& request, const Responder& responder) {
  if (!settings_.tuning.recovery) return node_->on_peer_request(request, responder);
  if (request.path == kEvidencePath) return on_evidence_request(request, responder);
  if (request.path == kStatusPath) return on_status_request(responder);
  if (!node_) {
    if (request.path.rfind("/v2/", 0) == 0)
      return suspended_->on_client_request(request, responder, env_.now());
    return responder.send(503, R"({"error":"records are being rebuilt"})", 1);
  }
  if (request.path == kUnaccountedPath) return unaccounted_->list(responder);
  if (request.path == kResolvePath) return unaccounted_->resolve(request.body, responder);
  node_->on_peer_request(request, responder);
}

// Who asks leads a rebuilding. What we answer has to stay true, so we stop serving first; but a request that
// comes late, when the rebuilding is over, is none of ours any more.
void Controller::on_evidence_request(const HttpRequest& request, const Responder& responder) {
  const auto asked = EvidenceRequest::from_json(parse_json(request.body));
  if (!asked) return responder.send(400, R"({"error":"malformed"})");
  if (node_ && asked->begun <= incarnation_.number) return responder.send(409, R"({"error":"it is over"})");
  if (!recovery_) suspend("another controller rebuilds the records");
  EvidenceReply reply;
  reply.chunk_count = evidence_chunk_count();
  reply.uptime_s = env_.now() - started_;
  reply.evidence = evidence_chunk(asked->chunk);
  responder.send(200, dump_json(reply.to_json()));
}

void Controller::on_status_request(const Responder& responder) const {
  Json out = {{"node", settings_.node},
              {"incarnation", incarnation_.number},
              {"serving", node_ != nullptr},
              {"doubt_s", doubt_s()},
              {"newest", detector_ ? detector_->newest() : 0},
              {"reason", reason_}};
  if (recovery_) {
    out["recovery"] = recovery_->status();
    out["suspended_s"] = env_.now() - suspended_at_;
  }
  responder.send(200, dump_json(out));
}

}  // namespace mothslip::recovery
