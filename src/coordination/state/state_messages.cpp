#include "coordination/state/state_messages.hpp"

namespace mothslip {

Outcome outcome_of_status(int status) {
  switch (status) {
    case 0:
      return Outcome::kUnknown;
    case 200:
      return Outcome::kOk;
    case 400:
      return Outcome::kInvalid;
    case 404:
      return Outcome::kMissing;
    case 409:
      return Outcome::kConflict;
    case 410:
      return Outcome::kGone;
    case 429:
    case 503:
      return Outcome::kRefused;
    default:
      return Outcome::kUnknown;  // a proxy's 502 or 504 does not show whether the call was executed
  }
}

const Json& StateReply::data() const {
  static const Json kNoData;
  if (!body.is_object()) return kNoData;
  const auto found = body.find("data");
  return found == body.end() ? kNoData : *found;
}

std::vector<WatchEvent> StateReply::events() const {
  std::vector<WatchEvent> out;
  if (!body.is_object()) return out;
  const auto events = body.find("events");
  if (events == body.end() || !events->is_array()) return out;
  out.reserve(events->size());
  for (const Json& event : *events) {
    WatchEvent change;
    change.is_put = event.contains("put");
    change.key = event.value(change.is_put ? "put" : "delete", "");
    change.has_data = change.is_put && event.contains("data");
    if (change.has_data) change.data = event["data"];
    change.revision = event.value("stamp", std::uint64_t{0});
    out.push_back(std::move(change));
  }
  return out;
}

std::vector<StateItem> StateReply::take_items() {
  std::vector<StateItem> out;
  const auto items = body.find("items");
  if (items == body.end() || !items->is_array()) return out;
  for (Json& item : *items)
    out.push_back({item.value("k", ""), std::move(item["data"]), item.value("stamp", std::uint64_t{0})});
  return out;
}

StateReply StateReply::take_record(const std::string& key) && {
  if (!ok()) return std::move(*this);
  const bool is_list = body.contains("items") && body["items"].is_array() && revision() > 0;
  if (!is_list) return {};
  StateReply out{Outcome::kMissing, {{"epoch", revision()}}};
  for (StateItem& item : take_items()) {
    if (item.key != key) continue;
    out.outcome = Outcome::kOk;
    out.body.update({{"k", key}, {"data", std::move(item.data)}, {"stamp", item.revision}});
  }
  return out;
}

std::vector<std::string> StateReply::failed_keys() const {
  std::vector<std::string> out;
  if (!body.is_object() || !body.contains("failed")) return out;
  for (const Json& key : body["failed"]) out.push_back(key.get<std::string>());
  return out;
}

std::string Transaction::body() const {
  Json conditions = Json::array();
  for (const auto& [key, revision] : guards) conditions.push_back({{"k", key}, {"stamp", revision}});
  return dump_json({{"guards", std::move(conditions)}, {"then", changes}});
}

}  // namespace mothslip
