#include "recovery/messages.hpp"

#include <utility>

namespace mothslip::recovery {

namespace {

using HeldDecision = ShardLeader::HeldDecision;

struct DecisionName {
  const char* name;
  HeldDecision kind;
};
constexpr DecisionName kDecisions[] = {
    {"done", HeldDecision::kDone}, {"rerun", HeldDecision::kRerun}, {"cancelled", HeldDecision::kCancelled}};

bool has_unsigned(const Json& object, const char* field) {
  return object.contains(field) && object[field].is_number_unsigned();
}

bool has_text(const Json& object, const char* field) { return object.value(field, Json()).is_string(); }

}  // namespace

Json EvidenceRequest::to_json() const { return {{"begun", target_incarnation}, {"piece", chunk}}; }

std::optional<EvidenceRequest> EvidenceRequest::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  if (!has_unsigned(value, "begun") || !has_unsigned(value, "piece")) return std::nullopt;
  return EvidenceRequest{value["begun"].get<int>(), value["piece"].get<std::size_t>()};
}

Json EvidenceReply::to_json() const {
  return {{"pieces", chunk_count}, {"uptime_s", uptime_s}, {"evidence", evidence.to_json()}};
}

std::optional<EvidenceReply> EvidenceReply::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  EvidenceReply out;
  try {
    out.chunk_count = value.at("pieces").get<std::size_t>();
    out.uptime_s = value.at("uptime_s").get<double>();
    auto evidence = Evidence::from_json(value.at("evidence"));
    if (!evidence) return std::nullopt;
    out.evidence = std::move(*evidence);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return out;
}

Json LeaderRecord::to_json() const { return {{"node", node}, {"begun", target_incarnation}}; }

Json Decision::to_json() const {
  Json out = {{"job", ref}, {"relayed", relayed}};
  for (const DecisionName& each : kDecisions) {
    if (each.kind == kind) out["as"] = each.name;
  }
  return out;
}

std::optional<Decision> Decision::from_json(const Json& value) {
  if (!value.is_object() || !has_text(value, "job") || !has_text(value, "as")) return std::nullopt;
  Decision out;
  out.ref = value["job"].get<std::string>();
  out.relayed = value.value("relayed", false);
  for (const DecisionName& each : kDecisions) {
    if (value["as"] != each.name) continue;
    out.kind = each.kind;
    return is_valid_ref(out.ref) ? std::optional(out) : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace mothslip::recovery
