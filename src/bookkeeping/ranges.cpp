#include "bookkeeping/ranges.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace mothslip {

void RangeSet::insert(int first, int last) {
  if (first >= last) return;
  auto it = ranges_.upper_bound(first);
  if (it != ranges_.begin()) {
    const auto before = std::prev(it);
    if (before->second >= first) it = before;
  }
  while (it != ranges_.end() && it->first <= last) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    size_ -= it->second - it->first;
    it = ranges_.erase(it);
  }
  ranges_.emplace(first, last);
  size_ += last - first;
}

void RangeSet::erase(int index) {
  auto it = ranges_.upper_bound(index);
  if (it == ranges_.begin()) return;
  it = std::prev(it);
  const auto [first, last] = *it;
  if (index >= last) return;
  ranges_.erase(it);
  if (first < index) ranges_.emplace(first, index);
  if (index + 1 < last) ranges_.emplace(index + 1, last);
  size_--;
}

void RangeSet::erase(const RangeSet& other) {
  for (const auto& [first, last] : other.ranges_) {
    for (int i = first; i < last; i++) erase(i);
  }
}

bool RangeSet::contains(int index) const {
  const auto it = ranges_.upper_bound(index);
  return it != ranges_.begin() && index < std::prev(it)->second;
}

std::optional<int> RangeSet::first() const {
  if (ranges_.empty()) return std::nullopt;
  return ranges_.begin()->first;
}

RangeSet RangeSet::slice(int first, int last) const {
  RangeSet out;
  auto it = ranges_.upper_bound(first);
  if (it != ranges_.begin()) it = std::prev(it);
  for (; it != ranges_.end() && it->first < last; ++it)
    out.insert(std::max(first, it->first), std::min(last, it->second));
  return out;
}

std::size_t RangeSet::text_bytes() const { return to_text().size(); }

std::string RangeSet::to_text() const {
  std::string out;
  int position = 0;  // the index after the previous range
  for (const auto& [first, last] : ranges_) {
    if (!out.empty()) out += ',';
    out += std::to_string(first - position);
    if (last - first > 1) out += '+' + std::to_string(last - first);
    position = last;
  }
  return out;
}

std::optional<RangeSet> RangeSet::from_text(const std::string& text, int limit) {
  RangeSet out;
  const char* next = text.data();
  const char* const end = text.data() + text.size();
  int position = 0;  // the index after the last range read
  while (next < end) {
    int gap = 0;
    int length = 1;
    auto parsed = std::from_chars(next, end, gap);
    if (parsed.ec != std::errc()) return std::nullopt;
    next = parsed.ptr;
    if (next < end && *next == '+') {
      parsed = std::from_chars(next + 1, end, length);
      if (parsed.ec != std::errc()) return std::nullopt;
      next = parsed.ptr;
    }
    const bool in_limits =
        gap >= 0 && length >= 1 && gap <= limit - position && length <= limit - position - gap;
    if (!in_limits) return std::nullopt;
    out.insert(position + gap, position + gap + length);
    position += gap + length;
    if (next == end) break;
    const bool another_follows = *next == ',' && next + 1 != end;
    if (!another_follows) return std::nullopt;
    next++;
  }
  return out;
}

}  // namespace mothslip
