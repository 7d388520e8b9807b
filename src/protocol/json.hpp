// Functions that read and write JSON, and that read single fields of a message.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace mothslip {

using Json = nlohmann::json;

// Never throws. If the text is not JSON, `is_discarded` is true for the result and `is_object` is false.
Json parse_json(const std::string& text);
// Writes the value on one line. Bytes that are not valid UTF-8 are replaced.
std::string dump_json(const Json& value);

// Each of these functions reads one field and returns whether it is present and valid. If it is not, `out`
// may have been changed all the same. `body` may be any JSON value: a value that is not an object has no
// fields.
namespace fields {

// A longer text is malformed, and so is an empty one.
inline constexpr std::size_t kMaxTextBytes = 256;

// Returns whether the field is present and not null.
bool is_present(const Json& body, const char* field);
bool read_text(const Json& body, const char* field, std::string& out);
// Reads a finite number of at least 0.
bool read_non_negative(const Json& body, const char* field, double& out);
bool read_flag(const Json& body, const char* field, bool& out);
// Reads an integer of at least 0.
bool read_count(const Json& body, const char* field, std::uint64_t& out);

}  // namespace fields

}  // namespace mothslip
