#include "protocol/json.hpp"

#include <cmath>

namespace mothslip {

Json parse_json(const std::string& text) { return Json::parse(text, nullptr, false); }

std::string dump_json(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

namespace fields {

bool is_present(const Json& body, const char* field) {
  const auto it = body.find(field);
  return it != body.end() && !it->is_null();
}

bool read_text(const Json& body, const char* field, std::string& out) {
  const auto it = body.find(field);
  if (it == body.end() || !it->is_string()) return false;
  out = it->get<std::string>();
  return !out.empty() && out.size() <= kMaxTextBytes;
}

bool read_non_negative(const Json& body, const char* field, double& out) {
  const auto it = body.find(field);
  if (it == body.end() || !it->is_number()) return false;
  out = it->get<double>();
  return std::isfinite(out) && out >= 0;
}

bool read_flag(const Json& body, const char* field, bool& out) {
  const auto it = body.find(field);
  if (it == body.end() || !it->is_boolean()) return false;
  out = it->get<bool>();
  return true;
}

bool read_count(const Json& body, const char* field, std::uint64_t& out) {
  const auto it = body.find(field);
  if (it == body.end() || !it->is_number_unsigned()) return false;
  out = it->get<std::uint64_t>();
  return true;
}

}  // namespace fields

}  // namespace mothslip
