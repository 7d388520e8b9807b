#include "recovery/unaccounted_jobs.hpp"

#include <spdlog/spdlog.h>

#include <memory>

#include "protocol/names.hpp"
#include "recovery/operator_messages.hpp"

namespace mothslip::recovery {

namespace {

constexpr double kRelayTimeoutSeconds = 2.0;
constexpr double kMaxStateServiceShare = 0.1;  // of the state service's rate limits
constexpr int kRetryAfterSeconds = 1;

UnaccountedEntry entry_of(const StateItem& item) {
  const auto record = UnaccountedRecord::from_json(item.data);
  UnaccountedEntry out;
  out.job = item.key.substr(item.key.rfind('/') + 1);
  out.is_readable = record.has_value();
  out.reason = record ? record->reason : "its record cannot be read";
  if (!record) return out;
  out.team = record->team;
  out.job_class = record->job_class;
  out.may_have_ended = record->may_have_ended;
  out.pending_decision = record->rerun ? "rerun" : "";
  if (!record->all_held) out.held_tasks = record->held.size();
  return out;
}

}  // namespace

UnaccountedJobs::UnaccountedJobs(Env& env, const Settings& settings, const Incarnation& incarnation,
                                 StateMonitor& monitor, Node& node)
    : env_(env), store_(env, settings, incarnation, &monitor), node_(node) {
  store_.set_share(kMaxStateServiceShare);
}

void UnaccountedJobs::list(const Responder& responder) {
  const auto answer = [responder](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
    if (outcome != Outcome::kOk) {
      responder.send(503, R"({"error":"state service away"})", kRetryAfterSeconds);
      return;
    }
    UnaccountedList list;
    for (const StateItem& item : items) list.entries.push_back(entry_of(item));
    responder.send(200, dump_json(list.to_json()));
  };
  store_.list(RequestPriority::kOther, keys::kUnaccounted, answer);
}

void UnaccountedJobs::resolve(const std::string& body, const Responder& responder) {
  auto decision = Decision::from_json(parse_json(body));
  if (!decision) return responder.send(400, R"({"error":"job, and as: done, rerun or cancelled"})");
  if (node_.shard_count() == 0) return responder.send(503, R"({"error":"starting"})", kRetryAfterSeconds);
  const int shard = shard_of(decision->ref, node_.shard_count());
  if (ShardLeader* leader = node_.owned_shard(shard); leader != nullptr) {
    if (leader->resolve_held(decision->ref, decision->kind)) {
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
  Decision relayed_decision = decision;
  relayed_decision.relayed = true;
  env_.call({address, "POST", kResolvePath, dump_json(relayed_decision.to_json()), kRelayTimeoutSeconds},
            [responder](const HttpReply& reply) {
              if (reply.unanswered()) {
                responder.send(503, R"({"error":"owner not reached"})", kRetryAfterSeconds);
              } else {
                responder.send(reply.status, reply.body, reply.status == 503 ? kRetryAfterSeconds : 0);
              }
            });
}

}  // namespace mothslip::recovery
