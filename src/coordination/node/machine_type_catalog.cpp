#include "coordination/node/machine_type_catalog.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kRetryDelaySeconds = 0.7;  // before the state service is asked again after a failure
// The delay before the search restarts after neither the cloud nor the split records returned a list. It is
// random so that nodes do not send their requests at the same time.
constexpr double kMinRestartDelaySeconds = 1.0;
constexpr double kMaxRestartDelaySeconds = 2.5;
constexpr std::size_t kSplitRecordFrameBytes = 40;  // size of a split record without its list

// Joins the lists of all split records. Returns nothing if a record is missing or malformed.
std::optional<MachineTypes> join_split_records(const std::vector<StateItem>& items) {
  Json all = {{"flavours", Json::array()}};
  for (const StateItem& item : items) {
    if (!item.data.is_object() || item.data.value("records", 0) != static_cast<int>(items.size()) ||
        !item.data.contains("flavours"))
      return std::nullopt;
    for (const Json& type : item.data["flavours"]) all["flavours"].push_back(type);
  }
  return MachineTypes::parse(all);
}

// Splits the list so that each record has at most `max_bytes`. Returns nothing if a single type is too large
// for a record.
std::optional<std::vector<Json>> split_types(const Json& types, std::size_t max_bytes) {
  std::vector<Json> lists = {Json::array()};
  std::size_t bytes = kSplitRecordFrameBytes;
  for (const Json& type : types) {
    const std::size_t type_bytes = dump_json(type).size() + 1;
    if (bytes + type_bytes > max_bytes && !lists.back().empty()) {
      lists.push_back(Json::array());
      bytes = kSplitRecordFrameBytes;
    }
    bytes += type_bytes;
    lists.back().push_back(type);
  }
  const bool is_any_too_large = std::any_of(lists.begin(), lists.end(), [max_bytes](const Json& list) {
    return dump_json(list).size() + kSplitRecordFrameBytes > max_bytes;
  });
  if (is_any_too_large) return std::nullopt;
  return lists;
}

// Returns the transaction that records the list, or nothing if the list does not fit into one transaction.
std::optional<Transaction> record_types(const MachineTypes& types, const Settings& settings) {
  Transaction txn;
  const auto max_bytes = static_cast<std::size_t>(settings.value_kb * 1024);
  const Json whole = types.to_json();
  if (dump_json(whole).size() <= max_bytes) {
    txn.put(keys::kTypes, whole);
    return txn;
  }
  auto lists = split_types(whole["flavours"], max_bytes);
  if (!lists || lists->size() > static_cast<std::size_t>(settings.txn_ops)) return std::nullopt;
  for (std::size_t i = 0; i < lists->size(); i++) {
    txn.put(keys::kSplitTypes + std::to_string(i),
            {{"flavours", std::move((*lists)[i])}, {"records", lists->size()}});
  }
  return txn;
}

bool same_names(const MachineTypes& left, const MachineTypes& right) {
  return std::equal(left.all().begin(), left.all().end(), right.all().begin(), right.all().end(),
                    [](const MachineType& a, const MachineType& b) { return a.name == b.name; });
}
}  // namespace

MachineTypeCatalog::MachineTypeCatalog(Env& env, StateClient& state, CloudClient& cloud,
                                       const Settings& settings, Listener listener)
    : env_(env), state_(state), cloud_(cloud), settings_(settings), listener_(std::move(listener)) {}

void MachineTypeCatalog::load() {
  state_.get(RequestPriority::kLease, keys::kTypes, [this](const StateReply& reply) {
    if (has_types()) return;
    if (reply.has_data()) {
      if (auto types = MachineTypes::parse(reply.data())) {
        set_types(std::move(*types), false);
        return;
      }
    }
    if (reply.ok() || reply.outcome == Outcome::kMissing) {
      fetch_from_cloud();
    } else {
      env_.after(kRetryDelaySeconds, [this] { load(); });
    }
  });
}

void MachineTypeCatalog::fetch_from_cloud() {
  cloud_.list_machine_types([this](const CloudReply& reply) {
    if (has_types()) return;
    if (reply.status == 200) {
      if (auto types = MachineTypes::parse(reply.body)) {
        set_types(std::move(*types), true);
        return;
      }
    }
    load_split_records();
  });
}

// Called only if the cloud did not return a list.
void MachineTypeCatalog::load_split_records() {
  state_.list(RequestPriority::kLease, keys::kSplitTypes,
              [this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                if (has_types()) return;
                auto types = outcome == Outcome::kOk ? join_split_records(items) : std::nullopt;
                if (types) return set_types(std::move(*types), false);
                env_.after(env_.uniform(kMinRestartDelaySeconds, kMaxRestartDelaySeconds),
                           [this] { load(); });
              });
}

void MachineTypeCatalog::save_record() {
  const auto txn = record_types(types_, settings_);
  if (!txn) {
    spdlog::warn(
        "the list of machine types is too long to be recorded: nodes that start must ask the cloud for it");
    return;
  }
  state_.commit(RequestPriority::kOther, *txn, [](const StateReply&) {});
}

void MachineTypeCatalog::update(MachineTypes types) { set_types(std::move(types), false); }

void MachineTypeCatalog::set_types(MachineTypes types, bool should_record) {
  const bool is_first_list = !has_types();
  const bool changed = !is_first_list && !same_names(types, types_);
  types_ = std::move(types);
  if (changed) {
    spdlog::warn("the list of the cloud's machine types has changed: restarting all shards of this node");
    listener_.changed();
  }
  if (should_record) save_record();
  if (is_first_list) listener_.on_first_list();
}

}  // namespace mothslip
