// A set of task indices as sorted, disjoint ranges, with a compact text form for stored records.
//
// The text lists the ranges in ascending order, separated by commas. Each range is written as the number of
// indices between the end of the previous range and its start, followed, if it has more than one index, by
// "+" and its length: "0+100,3,2+7" stands for 0 to 99, 103, and 106 to 112. The empty set is the empty text.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mothslip {

class RangeSet {
 public:
  // Adds the indices in [first, last). Has no effect if the interval is empty.
  void insert(int first, int last);
  void insert(int index) { insert(index, index + 1); }
  void insert(const RangeSet& other) {
    for (const auto& [first, last] : other.ranges_) insert(first, last);
  }
  void erase(int index);
  void erase(const RangeSet& other);
  void clear() { ranges_.clear(), size_ = 0; }
  [[nodiscard]] bool contains(int index) const;
  // Returns the number of indices.
  [[nodiscard]] int size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  // Returns the lowest index, or nullopt if the set is empty.
  [[nodiscard]] std::optional<int> first() const;
  // Returns the indices that lie in [first, last).
  [[nodiscard]] RangeSet slice(int first, int last) const;
  [[nodiscard]] std::size_t range_count() const { return ranges_.size(); }
  // Maps the first index of each range to the index after its last.
  [[nodiscard]] const std::map<int, int>& ranges() const { return ranges_; }

  [[nodiscard]] std::string to_text() const;
  // Returns the length of to_text() in bytes.
  [[nodiscard]] std::size_t text_bytes() const;
  // Returns nullopt if the text is malformed or contains an index that is not below `limit`.
  static std::optional<RangeSet> from_text(const std::string& text, int limit);

 private:
  std::map<int, int> ranges_;  // first index -> index after the last; ranges are never adjacent or empty
  int size_ = 0;
};

}  // namespace mothslip
