// A set of task indices as sorted, disjoint ranges, with a compact text form for stored records.
//
// The text lists the ranges from the lowest on, separated by commas. Of each it says how many indices lie
// between it and the end of the range before, and, if it has more than one index, "+" and how many it has:
// "0+100,3,2+7" is 0 to 99, 103, and 106 to 112. The empty set is the empty text.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mothslip {

class RangeSet {
 public:
  // Adds [first, last); nothing where that is empty.
  void insert(int first, int last);
  void insert(int index) { insert(index, index + 1); }
  void insert(const RangeSet& other) {
    for (const auto& [first, last] : other.ranges_) insert(first, last);
  }
  void erase(int index);
  void erase(const RangeSet& other);
  void clear() { ranges_.clear(), size_ = 0; }
  [[nodiscard]] bool contains(int index) const;
  // Number of indices.
  [[nodiscard]] int size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  // The lowest index.
  [[nodiscard]] std::optional<int> first() const;
  // What lies in [first, last).
  [[nodiscard]] RangeSet slice(int first, int last) const;
  [[nodiscard]] std::size_t range_count() const { return ranges_.size(); }
  // By the first index of each range: the index after its last.
  [[nodiscard]] const std::map<int, int>& ranges() const { return ranges_; }

  [[nodiscard]] std::string to_text() const;
  // Length of to_text().
  [[nodiscard]] std::size_t text_bytes() const;
  // Nothing where the text is malformed, or names an index that is not below `limit`.
  static std::optional<RangeSet> from_text(const std::string& text, int limit);

 private:
  std::map<int, int> ranges_;  // by first index: the index after the last; never adjacent or empty
  int size_ = 0;
};

}  // namespace mothslip
