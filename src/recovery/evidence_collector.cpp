#include "recovery/evidence_collector.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace mothslip::recovery {

namespace {
constexpr double kCallTimeoutSeconds = 3.0;
constexpr double kRetryDelaySeconds = 0.7;
}  // namespace

void EvidenceCollector::collect(double timeout_s, Handler handler) {
  handler_ = std::move(handler);
  result_ = {};
  deadline_ = env_.now() + timeout_s;
  pending_count_ = settings_.members.size();
  for (const Member& member : settings_.members) request_chunk(member, 0);
  // Without other controllers the collection is complete now, but the handler must not be called from within.
  env_.after(0, [this] { finish_if_complete(); });
}

void EvidenceCollector::request_chunk(const Member& member, std::size_t chunk) {
  const std::string body = dump_json(EvidenceRequest{incarnation_, chunk}.to_json());
  env_.call({member.address, "POST", kEvidencePath, body, kCallTimeoutSeconds},
            [this, &member, chunk](const HttpReply& reply) { on_reply(member, chunk, reply); });
}

void EvidenceCollector::on_reply(const Member& member, std::size_t chunk, const HttpReply& reply) {
  auto evidence_reply = reply.status == 200 ? EvidenceReply::from_json(parse_json(reply.body)) : std::nullopt;
  if (!evidence_reply) {
    if (env_.now() < deadline_) {
      env_.after(kRetryDelaySeconds, [this, &member, chunk] { request_chunk(member, chunk); });
      return;
    }
    spdlog::warn(
        "recovery: controller {} did not send its evidence in time (last HTTP status {}, 0 if none); "
        "continuing without it",
        member.node, reply.status);
    result_.unresponsive.push_back(member.node);
    pending_count_--;
    finish_if_complete();
    return;
  }
  result_.evidence.merge(evidence_reply->evidence);
  if (chunk + 1 < evidence_reply->chunk_count) {
    request_chunk(member, chunk + 1);
    return;
  }
  result_.uptimes_s.push_back(evidence_reply->uptime_s);
  pending_count_--;
  finish_if_complete();
}

void EvidenceCollector::finish_if_complete() {
  if (pending_count_ > 0 || !handler_) return;
  const Handler handler = std::exchange(handler_, nullptr);
  handler(std::move(result_));
}

}  // namespace mothslip::recovery
