#include "coordination/node/peer_messages.hpp"

#include <charconv>
#include <string_view>

namespace mothslip {

namespace {
constexpr std::string_view kRevisionParameter = "revision=";
}  // namespace

std::string forwarded_path(const std::string& path, std::uint64_t newest_revision) {
  if (newest_revision == 0) return path;
  return path + "?" + std::string(kRevisionParameter) + std::to_string(newest_revision);
}

std::uint64_t forwarded_revision(const std::string& query) {
  if (!query.starts_with(kRevisionParameter)) return 0;
  const char* const end = query.data() + query.size();
  std::uint64_t revision = 0;
  const auto parsed = std::from_chars(query.data() + kRevisionParameter.size(), end, revision);
  return parsed.ec == std::errc() && parsed.ptr == end ? revision : 0;
}

Json PeerHeartbeat::to_json() const {
  Json list = Json::array();
  for (const OwnedShard& item : owned) list.push_back({{"part", item.shard}, {"baton", item.fencing_token}});
  Json body = {{"node", node}, {"owned", std::move(list)}};
  if (revision) body["revision"] = *revision;
  return body;
}

std::optional<PeerHeartbeat> PeerHeartbeat::from_json(const Json& body) {
  if (!body.is_object() || !body.contains("owned") || !body["owned"].is_array()) return std::nullopt;
  PeerHeartbeat heartbeat;
  heartbeat.node = body.value("node", "");
  if (body.contains("revision")) heartbeat.revision = body["revision"].get<std::uint64_t>();
  for (const Json& item : body["owned"])
    heartbeat.owned.push_back({item.value("part", -1), item.value("baton", std::uint64_t{0})});
  return heartbeat;
}

Json PeerHeartbeatReply::to_json() const { return {{"silent_s", silent_s}}; }

std::optional<PeerHeartbeatReply> PeerHeartbeatReply::from_json(const Json& body) {
  if (!body.is_object() || !body.contains("silent_s") || !body["silent_s"].is_number()) return std::nullopt;
  return PeerHeartbeatReply{body["silent_s"].get<double>()};
}

Json PeerRequest::to_json() const { return {{"to", shard}, {"body", body}}; }

std::optional<PeerRequest> PeerRequest::from_json(const Json& message) {
  if (!message.is_object() || !message.contains("body")) return std::nullopt;
  return PeerRequest{message.value("to", -1), message["body"]};
}

}  // namespace mothslip
