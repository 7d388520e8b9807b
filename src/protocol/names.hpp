// Names: their dense indices within a process, and the shards that they hash to.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mothslip {

// Gives each name a dense index, 0 upwards, as long as the process runs: where names arrive they are replaced
// by indices, and inside only indices are passed on.
class NameTable {
 public:
  static constexpr int kNone = -1;  // the index of a name that is not in the table
  // The name's index; a new name is added.
  int intern(const std::string& name) {
    const auto [it, inserted] = index_.try_emplace(name, static_cast<int>(names_.size()));
    if (inserted) names_.push_back(name);
    return it->second;
  }
  [[nodiscard]] int find(const std::string& name) const {
    const auto it = index_.find(name);
    return it == index_.end() ? kNone : it->second;
  }
  [[nodiscard]] const std::string& name(int index) const { return names_[static_cast<std::size_t>(index)]; }
  [[nodiscard]] std::size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, int> index_;
  std::vector<std::string> names_;
};

// FNV-1a, 64 bits: the same on every node and in every build, unlike std::hash.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return hash;
}

// The shard of a job or a machine, 0 up to `shard_count` - 1. The same for good: stored keys contain it.
inline int shard_of(std::string_view name, int shard_count) {
  std::uint64_t hash = stable_hash(name);
  hash ^= hash >> 33;  // the low bits of FNV of numbered names are poor
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return static_cast<int>(hash % static_cast<std::uint64_t>(shard_count));
}

}  // namespace mothslip
