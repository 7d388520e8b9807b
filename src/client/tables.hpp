// Answers of the controllers as text for people. (Scripts use --json: this text may change.)
#pragma once

#include <string>

#include "recovery/operator_messages.hpp"

namespace mothslip::client {

// A few lines, each ended: whether the controller serves, and how far a rebuilding is.
[[nodiscard]] std::string status_text(const recovery::ControllerStatus& status);
// A table with a header line, or one line that says that there are none.
[[nodiscard]] std::string unaccounted_table(const recovery::UnaccountedList& list);

}  // namespace mothslip::client
