// What users have been told about one job, and the rule that no answer is older than one received before its
// question was asked.
#pragma once

#include <limits>
#include <optional>
#include <string>

namespace mothslip::sim {

// One answer to a poll, a submission or a cancellation, by any node.
struct JobAnswer {
  double asked_at = 0;     // when the question left the user
  double received_at = 0;  // when the answer reached it
  bool known = true;       // false: 404, the job is unknown
  std::string phase;       // of a known job
};

// All users of a job together: answers are compared whoever got them and whichever node gave them.
class AnswerHistory {
 public:
  // Takes the answer down. The rule that it breaks, with what was told before; nothing where it is in order.
  std::optional<std::string> record(const JobAnswer& answer);

 private:
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  double accepted_at_ = kNever;  // since then users know that the job is accepted
  double ended_at_ = kNever;     // since then they know its terminal state
  std::string terminal_;
};

}  // namespace mothslip::sim
