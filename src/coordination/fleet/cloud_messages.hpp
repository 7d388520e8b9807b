// The cloud's messages and the rental records as typed structs. Within the fleet code, their JSON is read and
// written only here.
#pragma once

#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

// A call that requests machines of one type in one zone from the cloud.
struct RentalRequest {
  std::string name;  // the cloud answers repeated calls with the same name like the first one
  std::string machine_type;
  std::string zone;
  bool spot = false;
  int machine_count = 0;

  // Returns the body of the call.
  [[nodiscard]] Json to_json() const;
};

// The record of a rental: all requests of one step.
struct RentalRecord {
  std::vector<RentalRequest> requests;

  // The names of the requests are not stored: they are derived from the rental's name and the order.
  [[nodiscard]] Json to_json() const;
  static RentalRecord from_json(const std::string& rental_name, const Json& value);
  // Returns the name of the request with this index.
  static std::string request_name(const std::string& rental_name, std::size_t index);
};

// A machine as the cloud lists it.
struct CloudMachine {
  std::string name;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  bool failed = false;
  double age_s = 0;  // time since it was rented
};

// One page of the cloud's list of machines.
struct CloudListPage {
  std::vector<CloudMachine> machines;  // sorted by name
  bool has_more = false;               // another page starts after the last name of this one

  // `value` must be an object. Throws Json::exception if the name or the type of a machine is not a string.
  static CloudListPage from_json(const Json& value);
};

// The outcome of a rental request.
struct RentalAnswer {
  enum class Outcome {
    kRented,      // all or some of the requested machines
    kNoCapacity,  // the market has no machines at present
    kRejected,    // malformed request: nothing has been or will be rented
    kUncertain,   // may have been executed: has to be repeated under the same name
  };
  Outcome outcome = Outcome::kUncertain;
  std::vector<std::string> machine_names;  // names of the rented machines

  // A `status` of 0 means that there was no response.
  static RentalAnswer from_reply(int status, const Json& body);
};

}  // namespace mothslip
