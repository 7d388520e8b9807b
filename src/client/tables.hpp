// Formats the answers of the controllers as text for people. Scripts use --json, so this text may change.
#pragma once

#include <string>

#include "recovery/operator_messages.hpp"

namespace mothslip::client {

// A few lines that say whether the controller serves, and how far a rebuild has got. Each ends with a
// newline.
[[nodiscard]] std::string status_text(const recovery::ControllerStatus& status);
// A table with a header line, or one line that says that there are no unaccounted jobs.
[[nodiscard]] std::string unaccounted_table(const recovery::UnaccountedList& list);

}  // namespace mothslip::client
