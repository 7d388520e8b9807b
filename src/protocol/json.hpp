// Reading and writing of JSON, and of single fields of a message.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace mothslip {

using Json = nlohmann::json;

// Never throws: of text that is not JSON, the result is discarded (`is_discarded`) and is no object.
Json parse_json(const std::string& text);
// On one line. Bytes that are not UTF-8 are replaced.
std::string dump_json(const Json& value);

// Readers of one field. They say whether the field is there and of the kind; where it is not, `out` may have
// been changed. `body` may be any JSON: what is no object has no fields.
namespace fields {

// A text is malformed if it is empty or longer than this, in bytes.
inline constexpr std::size_t kMaxTextBytes = 256;

// The field is there and not null.
bool is_present(const Json& body, const char* field);
bool read_text(const Json& body, const char* field, std::string& out);
// A finite number of at least 0.
bool read_non_negative(const Json& body, const char* field, double& out);
bool read_flag(const Json& body, const char* field, bool& out);
// An integer of at least 0.
bool read_count(const Json& body, const char* field, std::uint64_t& out);

}  // namespace fields

}  // namespace mothslip
