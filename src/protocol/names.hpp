// Maps names to dense indices within a process, and to the shards that they hash to.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mothslip {

// Assigns each name a dense index, starting at 0, which is valid as long as the process runs. Names are
// replaced by indices where they enter the process; inside, only indices are passed.
class NameTable {
 public:
  static constexpr int kNone = -1;  // the index of a name that is not in the table
  // Returns the name's index. A new name is added first.
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

// 64-bit FNV-1a. Unlike std::hash, it gives the same value on every node and in every build.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return hash;
}

// Returns the shard of a job or a machine, from 0 to `shard_count` - 1. The mapping must never change,
// because stored keys contain the shard.
inline int shard_of(std::string_view name, int shard_count) {
  std::uint64_t hash = stable_hash(name);
  hash ^= hash >> 33;  // for numbered names, the low bits of FNV are poorly distributed
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return static_cast<int>(hash % static_cast<std::uint64_t>(shard_count));
}

}  // namespace mothslip
