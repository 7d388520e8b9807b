// The answers that users have received about one job, and the rule that no answer may be older than one
// that was received before its question was sent.
#pragma once

#include <limits>
#include <optional>
#include <string>

namespace mothslip::sim {

// One answer of any node to a poll, a submission or a cancellation.
struct JobAnswer {
  double asked_at = 0;     // when the user sent the question
  double received_at = 0;  // when the user received the answer
  bool is_known = true;    // false if the answer was 404: the job is unknown
  std::string phase;       // empty if the job is unknown
};

// One history covers all users of a job: answers are compared regardless of who received them and of which
// node sent them.
class AnswerHistory {
 public:
  // Records the answer. Returns the rule that it violates together with the earlier phase, or nothing if
  // the answer is consistent.
  std::optional<std::string> record(const JobAnswer& answer);

 private:
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  // From this time on, users know that the job is accepted.
  double accepted_at_ = kNever;
  // From this time on, users know the job's terminal state.
  double ended_at_ = kNever;
  std::string terminal_;
};

}  // namespace mothslip::sim
