// Reads all records under a prefix of keys, page by page.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/state/request_queue.hpp"
#include "coordination/state/state_messages.hpp"

namespace mothslip {

// Keeps itself alive until it has received the last page or a page could not be read.
class ListScan : public std::enable_shared_from_this<ListScan> {
 public:
  // Requests the page that follows the key `from`; the first page if `from` is empty.
  using PageReader = std::function<void(const std::string& from, StateHandler)>;
  using PageHandler = std::function<void(std::vector<StateItem>)>;
  // Receives the outcome of the last call and the revision of the first page (0 unless the outcome is kOk).
  using ScanEndHandler = std::function<void(Outcome, std::uint64_t revision)>;

  static void start(PageReader read, PageHandler page, ScanEndHandler end);

 private:
  ListScan(PageReader read, PageHandler page, ScanEndHandler end)
      : read_(std::move(read)), page_(std::move(page)), end_(std::move(end)) {}
  void read_next();
  void on_page(StateReply reply);

  PageReader read_;
  PageHandler page_;
  ScanEndHandler end_;
  std::string from_;
  std::uint64_t revision_ = 0;
};

}  // namespace mothslip
