#include "coordination/fleet/cloud_messages.hpp"

#include <utility>

namespace mothslip {

namespace {

constexpr int kOkStatus = 200;
constexpr int kBadRequestStatus = 400;
constexpr int kUnavailableStatus = 503;

std::string text_or_empty(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

CloudMachine parse_machine(const Json& item) {
  CloudMachine out;
  out.name = item.value("ref", "");
  out.machine_type = item.value("flavour", "");
  out.zone = text_or_empty(item, "hall");
  const auto spot = item.find("loaner");
  out.spot = spot != item.end() && spot->is_boolean() && spot->get<bool>();
  out.failed = text_or_empty(item, "phase") == "failed";
  const auto age = item.find("age_s");
  if (age != item.end() && age->is_number()) out.age_s = age->get<double>();
  return out;
}

std::vector<std::string> parse_machine_names(const Json& body) {
  std::vector<std::string> out;
  const auto names = body.find("hosts");
  if (names == body.end() || !names->is_array()) return out;
  for (const Json& name : *names) {
    if (name.is_string()) out.push_back(name.get<std::string>());
  }
  return out;
}

}  // namespace

Json RentalRequest::to_json() const {
  return {{"rental", name},
          {"flavour", machine_type},
          {"hall", zone},
          {"loaner", spot},
          {"how_many", machine_count}};
}

std::string RentalRecord::request_name(const std::string& rental_name, std::size_t index) {
  return rental_name + "." + std::to_string(index);
}

Json RentalRecord::to_json() const {
  Json list = Json::array();
  for (const RentalRequest& request : requests) {
    list.push_back({{"flavour", request.machine_type},
                    {"hall", request.zone},
                    {"loaner", request.spot},
                    {"how_many", request.machine_count}});
  }
  return {{"requests", std::move(list)}};
}

RentalRecord RentalRecord::from_json(const std::string& rental_name, const Json& value) {
  RentalRecord out;
  if (!value.contains("requests")) return out;
  for (const Json& item : value["requests"]) {
    out.requests.push_back({request_name(rental_name, out.requests.size()), item.value("flavour", ""),
                            item.value("hall", ""), item.value("loaner", false), item.value("how_many", 1)});
  }
  return out;
}

CloudListPage CloudListPage::from_json(const Json& value) {
  CloudListPage out;
  out.has_more = value.value("more", false);
  const auto items = value.find("hosts");
  if (items == value.end() || !items->is_array()) return out;
  for (const Json& item : *items) out.machines.push_back(parse_machine(item));
  return out;
}

RentalAnswer RentalAnswer::from_reply(int status, const Json& body) {
  RentalAnswer out;
  if (status == kOkStatus && body.is_object()) {
    out.outcome = Outcome::kRented;
    out.machine_names = parse_machine_names(body);
  } else if (status == kUnavailableStatus && body.is_object() && body.value("error", "") == "no capacity") {
    out.outcome = Outcome::kNoCapacity;
  } else if (status == kBadRequestStatus) {
    out.outcome = Outcome::kRejected;
  }
  return out;
}

}  // namespace mothslip
