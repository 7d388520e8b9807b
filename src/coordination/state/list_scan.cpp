#include "coordination/state/list_scan.hpp"

#include <utility>

namespace mothslip {

void ListScan::start(PageReader read, PageHandler page, ScanEndHandler end) {
  const std::shared_ptr<ListScan> scan(new ListScan(std::move(read), std::move(page), std::move(end)));
  scan->read_next();
}

void ListScan::read_next() {
  read_(from_, [scan = shared_from_this()](StateReply reply) { scan->on_page(std::move(reply)); });
}

void ListScan::on_page(StateReply reply) {
  if (!reply.ok()) {
    end_(reply.outcome, 0);
    return;
  }
  if (revision_ == 0) revision_ = reply.revision();
  std::vector<StateItem> page = reply.take_items();
  const bool more = reply.has_more_items() && !page.empty();
  if (more) from_ = page.back().key;
  page_(std::move(page));
  if (more) {
    read_next();
  } else {
    end_(Outcome::kOk, revision_);
  }
}

}  // namespace mothslip
