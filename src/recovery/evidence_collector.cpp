#include "recovery/evidence_collector.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace mothslip::recovery {

namespace {
constexpr double kCallTimeoutSeconds = 3.0;
constexpr double kRetrySeconds = 0.7;
}  // namespace

void EvidenceCollector::collect(double patience_s, Handler handler) {
  handler_ = std::move(handler);
  result_ = {};
  give_up_at_ = env_.now() + patience_s;
  awaited_ = settings_.members.size();
  for (const Member& member : settings_.members) ask(member, 0);
  // (There may be no other controller; the caller is not called back from within.)
  env_.after(0, [this] { finish_if_complete(); });
}

void EvidenceCollector::ask(const Member& member, std::size_t chunk) {
  const std::string body = dump_json(EvidenceRequest{begun_, chunk}.to_json());
  env_.call({member.address, "POST", kEvidencePath, body, kCallTimeoutSeconds},
            [this, &member, chunk](const HttpReply& reply) { on_reply(member, chunk, reply); });
}

void EvidenceCollector::on_reply(const Member& member, std::size_t chunk, const HttpReply& reply) {
  auto answer = reply.status == 200 ? EvidenceReply::from_json(parse_json(reply.body)) : std::nullopt;
  if (!answer) {
    if (env_.now() < give_up_at_) {
      env_.after(kRetrySeconds, [this, &member, chunk] { ask(member, chunk); });
      return;
    }
    spdlog::warn("recovery: {} has not answered, last with {}", member.node, reply.status);
    result_.missing.push_back(member.node);
    awaited_--;
    finish_if_complete();
    return;
  }
  result_.evidence.merge(answer->evidence);
  if (chunk + 1 < answer->chunk_count) {
    ask(member, chunk + 1);
    return;
  }
  result_.uptimes_s.push_back(answer->uptime_s);
  awaited_--;
  finish_if_complete();
}

void EvidenceCollector::finish_if_complete() {
  if (awaited_ > 0 || !handler_) return;
  const Handler handler = std::exchange(handler_, nullptr);
  handler(std::move(result_));
}

}  // namespace mothslip::recovery
