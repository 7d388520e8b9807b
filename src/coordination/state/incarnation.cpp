#include "coordination/state/incarnation.hpp"

#include <limits>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
// Returns true for the records that all incarnations share because they contain nothing about jobs or
// machines.
bool is_shared(const std::string& key) {
  return key == keys::kMeta || key == keys::kGangs || key == keys::kTypes ||
         key.rfind(keys::kSplitTypes, 0) == 0;
}
}  // namespace

// The first incarnation is written in the format of earlier versions. Later incarnations use a separate
// format that earlier versions do not know, so those versions leave the records unchanged.
Json MetaRecord::to_json() const {
  if (incarnation.is_first() && !is_rebuilding()) return {{"parts", shards}, {"form", kRecordFormatVersion}};
  return {{"parts", shards},
          {"form", kIncarnationFormatVersion},
          {"incarnation", incarnation.number},
          {"prefix", incarnation.prefix},
          {"offset", incarnation.token_offset},
          {"earlier", incarnation.earlier_prefixes},
          {"begun", target_incarnation}};
}

std::optional<MetaRecord> MetaRecord::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  MetaRecord out;
  try {
    const int form = value.value("form", 1);
    if (form != kRecordFormatVersion && form != kIncarnationFormatVersion) return std::nullopt;
    out.shards = value.at("parts").get<int>();
    if (out.shards <= 0) return std::nullopt;
    if (form == kRecordFormatVersion) return out;
    out.incarnation.number = value.at("incarnation").get<int>();
    out.incarnation.prefix = value.at("prefix").get<std::string>();
    out.incarnation.token_offset = value.at("offset").get<std::uint64_t>();
    out.incarnation.earlier_prefixes = value.at("earlier").get<std::vector<std::string>>();
    out.target_incarnation = value.at("begun").get<int>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return out;
}

std::string KeySpace::stored_key(const std::string& key) const {
  if (!key.empty() && key.front() == '/') return key.substr(1);
  return is_shared(key) ? key : incarnation_.prefix + key;
}

std::vector<std::string> KeySpace::ending_keys(int shard, const std::string& ref) const {
  std::vector<std::string> out = {keys::ending(shard, ref)};
  for (const std::string& prefix : incarnation_.earlier_prefixes) out.push_back("/" + prefix + out.front());
  return out;
}

std::string KeySpace::logical_key(const std::string& stored) const {
  if (is_shared(stored)) return stored;
  const std::string& prefix = incarnation_.prefix;
  return stored.rfind(prefix, 0) == 0 ? stored.substr(prefix.size()) : "/" + stored;
}

std::uint64_t KeySpace::to_logical_revision(std::uint64_t revision) const {
  return revision == 0 ? 0 : revision + incarnation_.token_offset;
}

// A revision from before this incarnation maps to one that the service never reaches, so a guard on it fails.
std::uint64_t KeySpace::to_stored_revision(std::uint64_t revision) const {
  if (revision == 0) return 0;
  if (revision <= incarnation_.token_offset) return std::numeric_limits<std::int64_t>::max();
  return revision - incarnation_.token_offset;
}

std::string KeySpace::stored_body(std::string body) const {
  if (incarnation_.is_first() && body.find("\"/") == std::string::npos) return body;
  Json transaction = parse_json(body);
  for (Json& guard : transaction["guards"]) {
    guard["k"] = stored_key(guard["k"].get<std::string>());
    guard["stamp"] = to_stored_revision(guard["stamp"].get<std::uint64_t>());
  }
  for (Json& change : transaction["then"]) {
    const char* verb = change.contains("put") ? "put" : "delete";
    change[verb] = stored_key(change[verb].get<std::string>());
  }
  return dump_json(transaction);
}

void KeySpace::translate_fields(Json& object) const {
  for (const char* field : {"k", "put", "delete"}) {
    if (const auto key = object.find(field); key != object.end() && key->is_string())
      *key = logical_key(key->get<std::string>());
  }
  for (const char* field : {"stamp", "epoch"}) {
    if (const auto number = object.find(field); number != object.end() && number->is_number_unsigned())
      *number = to_logical_revision(number->get<std::uint64_t>());
  }
}

void KeySpace::translate_reply(Json& body) const {
  if (incarnation_.is_first() || !body.is_object()) return;
  translate_fields(body);
  for (const char* list : {"items", "events"}) {
    const auto entries = body.find(list);
    if (entries == body.end() || !entries->is_array()) continue;
    for (Json& entry : *entries) translate_fields(entry);
  }
  if (const auto failed = body.find("failed"); failed != body.end() && failed->is_array()) {
    for (Json& key : *failed) key = logical_key(key.get<std::string>());
  }
}

}  // namespace mothslip
