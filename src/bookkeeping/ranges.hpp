// A set of task indices as sorted, disjoint ranges, with a compact text form ("0+100,3,2+7": gap, then
// length when above one; each gap counted from the end of the range before).
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mothslip {

class RangeSet {
 public:
  void insert(int first, int last);  // half open
  void insert(int index) { insert(index, index + 1); }
  void insert(const RangeSet& other) {
    for (const auto& [first, last] : other.ranges_) insert(first, last);
  }
  void erase(int index);
  void erase(const RangeSet& other);
  void clear() { ranges_.clear(), size_ = 0; }
  [[nodiscard]] bool contains(int index) const;
  [[nodiscard]] int size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  [[nodiscard]] std::optional<int> first() const;
  // What lies in [first, last).
  [[nodiscard]] RangeSet slice(int first, int last) const;
  [[nodiscard]] std::size_t range_count() const { return ranges_.size(); }
  [[nodiscard]] const std::map<int, int>& ranges() const { return ranges_; }

  [[nodiscard]] std::string to_text() const;
  [[nodiscard]] std::size_t text_bytes() const;  // of to_text()
  static std::optional<RangeSet> from_text(const std::string& text, int limit);

 private:
  std::map<int, int> ranges_;  // first -> end
  int size_ = 0;
};

}  // namespace mothslip
