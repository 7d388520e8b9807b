#include "sim/answer_history.hpp"

#include <algorithm>

namespace mothslip::sim {

namespace {
bool is_terminal(const std::string& phase) { return phase == "done" || phase == "aborted"; }
}  // namespace

std::optional<std::string> AnswerHistory::record(const JobAnswer& answer) {
  if (!answer.is_known) {
    if (answer.asked_at >= accepted_at_) return "forgotten: accepted, then unknown";
    return std::nullopt;
  }
  accepted_at_ = std::min(accepted_at_, answer.received_at);
  if (is_terminal(answer.phase)) {
    // A job has only one terminal state, so two different ones are a violation regardless of which question
    // was sent first.
    if (!terminal_.empty() && terminal_ != answer.phase)
      return "went_back: " + terminal_ + ", then " + answer.phase;
    terminal_ = answer.phase;
    ended_at_ = std::min(ended_at_, answer.received_at);
    return std::nullopt;
  }
  if (answer.asked_at >= ended_at_) return "went_back: " + terminal_ + ", then " + answer.phase;
  return std::nullopt;
}

}  // namespace mothslip::sim
