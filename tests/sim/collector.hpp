// Collects samples of the data that nodes write during a simulated scenario: records by kind of key, and
// messages between nodes by path.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "sim/world.hpp"

namespace mothslip::sim {

class Collector {
 public:
  static constexpr std::size_t kMaxPerKind = 12;

  explicit Collector(World& world) : world_(world) {
    world.network.on_peer_message = [this](const HttpCall& call, const HttpAnswer& answer) {
      record_message(call, answer);
    };
    sample_records();
  }

  // For example, "w/j/2/job-000412" is of kind "w/j".
  static std::string kind_of(const std::string& key) {
    if (key.rfind("parts/@", 0) == 0) return "parts/@";
    if (key.rfind("w/", 0) == 0) return key.substr(0, 3);
    return key.substr(0, key.find('/'));
  }

  // Distinct records by kind.
  std::map<std::string, std::vector<Json>> records;
  // Distinct messages by path, each with its request and its answer.
  std::map<std::string, std::vector<Json>> messages;

 private:
  void sample_records() {
    for (const auto& [key, value] : world_.state.values()) add(records[kind_of(key)], value);
    world_.in(0.5, [this] { sample_records(); });
  }
  void record_message(const HttpCall& call, const HttpAnswer& answer) {
    if (call.path.rfind("/peer/", 0) != 0) return;
    add(messages[call.path],
        {{"request", parse_json(call.body)}, {"status", answer.status}, {"answer", parse_json(answer.body)}});
  }
  static bool has_new_field(const std::vector<Json>& list, const Json& value) {
    if (!value.is_object()) return false;
    for (const auto& [name, item] : value.items()) {
      const bool is_known = std::any_of(list.begin(), list.end(),
                                        [&name = name](const Json& each) { return each.contains(name); });
      if (!is_known) return true;
    }
    return false;
  }
  static void add(std::vector<Json>& list, const Json& value) {
    if (list.size() >= kMaxPerKind && !has_new_field(list, value) &&
        value.dump().size() < 2 * list.back().dump().size())
      return;
    for (const Json& known : list) {
      if (known == value) return;
    }
    if (list.size() >= kMaxPerKind) list.erase(list.begin());
    list.push_back(value);
  }

  World& world_;
};

}  // namespace mothslip::sim
