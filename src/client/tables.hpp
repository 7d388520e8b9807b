// Answers of the controllers as text for people.
#pragma once

#include <string>

#include "protocol/messages.hpp"

namespace mothslip::client {

[[nodiscard]] std::string status_text(const Json& status);
[[nodiscard]] std::string unaccounted_table(const Json& list);

}  // namespace mothslip::client
