// Parses the query string of a request, for simulated services without a real HTTP server.
#pragma once

#include <sstream>
#include <string>

namespace mothslip::sim {

// Returns the value of a query parameter, or an empty string if there is none.
inline std::string query_parameter(const std::string& target, const std::string& field) {
  const auto mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::stringstream in(target.substr(mark + 1));
  std::string item;
  while (std::getline(in, item, '&')) {
    const auto eq = item.find('=');
    if (item.substr(0, eq) == field) return item.substr(eq + 1);
  }
  return "";
}

inline bool starts_with(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

}  // namespace mothslip::sim
