// Exit codes of mothslipctl. Operators' scripts depend on them, so they are never renumbered.
#pragma once

namespace mothslip::client {

enum class ExitCode : int {
  kSuccess = 0,
  kRefused = 1,      // a controller rejected the request as wrong
  kUsage = 2,        // the command line is wrong; no request was sent
  kUnreachable = 3,  // no controller answered
  kUnavailable = 4,  // controllers answered, but none can serve the request now
};

}  // namespace mothslip::client
