// What mothslipctl ends with, for scripts of operators: part of its interface, never renumbered.
#pragma once

namespace mothslip::client {

enum class ExitCode : int {
  kSuccess = 0,
  kRefused = 1,      // a controller said that the request is wrong
  kUsage = 2,        // the command line is wrong: nothing was asked
  kUnreachable = 3,  // no controller answered
  kUnavailable = 4,  // controllers answered, none of them that it can do this now
};

}  // namespace mothslip::client
