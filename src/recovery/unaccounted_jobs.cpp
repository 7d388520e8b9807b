#include "recovery/unaccounted_jobs.hpp"

#include <spdlog/spdlog.h>

#include <memory>

#include "protocol/names.hpp"

namespace mothslip::recovery {

namespace {

constexpr double kRelaySeconds = 2.0;
constexpr double kListShare = 0.1;  // of the state service's limits, at the most
constexpr int kRetryAfterSeconds = 1;

struct DecisionName {
  const char* name;
  ShardLeader::HeldDecision what;
};
constexpr DecisionName kDecisions[] = {{"done", ShardLeader::HeldDecision::kDone},
                                       {"rerun", ShardLeader::HeldDecision::kRerun},
                                       {"cancelled", ShardLeader::HeldDecision::kCancelled}};

Json entry_of(const StateItem& item) {
  const auto record = UnaccountedRecord::from_json(item.data);
  Json out = {{"job", item.key.substr(item.key.rfind('/') + 1)}};
  if (!record) {
    out["reason"] = "its record cannot be read";
    return out;
  }
  out["team"] = record->team;
  out["class"] = record->job_class;
  out["reason"] = record->reason;
  out["may_have_ended"] = record->may_have_ended;
  out["decided"] = record->rerun ? "rerun" : "";
  if (!record->all) out["held_tasks"] = record->held.size();
  return out;
}

}  // namespace

Json Decision::to_json() const {
  Json out = {{"job", ref}, {"relayed", relayed}};
  for (const DecisionName& each : kDecisions) {
    if (each.what == what) out["as"] = each.name;
  }
  return out;
}

std::optional<Decision> Decision::from_json(const Json& value) {
  if (!value.is_object() || !value.value("job", Json()).is_string() || !value.value("as", Json()).is_string())
    return std::nullopt;
  Decision out;
  out.ref = value["job"].get<std::string>();
  out.relayed = value.value("relayed", false);
  for (const DecisionName& each : kDecisions) {
    if (value["as"] != each.name) continue;
    out.what = each.what;
    return valid_ref(out.ref) ? std::optional(out) : std::nullopt;
  }
  return std::nullopt;
}

UnaccountedJobs::UnaccountedJobs(Env& env, const Settings& settings, const Incarnation& incarnation,
                                 Node& node)
    : env_(env), store_(env, settings, incarnation), node_(node) {
  store_.set_share(kListShare);
}

void UnaccountedJobs::list(const Responder& responder) {
  const auto answer = [responder](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
    if (outcome != Outcome::kOk) {
      responder.send(503, R"({"error":"state service away"})", kRetryAfterSeconds);
      return;
    }
    Json jobs = Json::array();
    for (const StateItem& item : items) jobs.push_back(entry_of(item));
    responder.send(200, dump_json({{"unaccounted", std::move(jobs)}}));
  };
  store_.list(RequestPriority::kRest, keys::kUnaccounted, answer);
}

void UnaccountedJobs::resolve(const std::string& body, const Responder& responder) {
  auto decision = Decision::from_json(parse_json(body));
  if (!decision) return responder.send(400, R"({"error":"job, and as: done, rerun or cancelled"})");
  if (node_.shards() == 0) return responder.send(503, R"({"error":"starting"})", kRetryAfterSeconds);
  const int shard = shard_of(decision->ref, node_.shards());
  if (ShardLeader* leader = node_.owned_shard(shard); leader != nullptr) {
    if (leader->resolve_held(decision->ref, decision->what)) {
      responder.send(202, dump_json({{"job", decision->ref}}));
    } else {
      responder.send(404, R"({"error":"the job is not unaccounted"})");
    }
    return;
  }
  relay(*decision, shard, responder);
}

void UnaccountedJobs::relay(const Decision& decision, int shard, const Responder& responder) {
  const std::string address = node_.owner_address(shard);
  if (address.empty() || decision.relayed)
    return responder.send(503, R"({"error":"no owner of the job's shard is known"})", kRetryAfterSeconds);
  Decision passed_on = decision;
  passed_on.relayed = true;
  env_.call({address, "POST", "/ops/recovery/resolve", dump_json(passed_on.to_json()), kRelaySeconds},
            [responder](const HttpReply& reply) {
              if (reply.unanswered()) {
                responder.send(503, R"({"error":"owner not reached"})", kRetryAfterSeconds);
              } else {
                responder.send(reply.status, reply.body, reply.status == 503 ? kRetryAfterSeconds : 0);
              }
            });
}

}  // namespace mothslip::recovery
