// The cloud's messages and the records of rentals as typed structs: the only place of the fleet where their
// JSON is read or written.
#pragma once

#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

// One call that asks the cloud for machines of one type in one zone.
struct RentalRequest {
  std::string name;  // the cloud answers a repeated call with the same name as it did the first
  std::string machine_type;
  std::string zone;
  bool spot = false;
  int machine_count = 0;

  // Body of the call.
  [[nodiscard]] Json to_json() const;
};

// The record of a rental: all that was asked for in one step.
struct RentalRecord {
  std::vector<RentalRequest> requests;

  // The names of the requests are not stored: they follow from the rental's name and their order.
  [[nodiscard]] Json to_json() const;
  static RentalRecord from_json(const std::string& rental_name, const Json& value);
  // Name of the request with this index.
  static std::string request_name(const std::string& rental_name, std::size_t index);
};

// A machine as the cloud lists it.
struct CloudMachine {
  std::string name;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  bool failed = false;
  double age_s = 0;  // since it was rented
};

// One page of the cloud's list of machines.
struct CloudListPage {
  std::vector<CloudMachine> machines;  // in order of their names
  bool has_more = false;               // further pages follow, from the last name of this one

  // `value` is an object. Throws Json::exception when the name or the type of a machine is not a string.
  static CloudListPage from_json(const Json& value);
};

// What became of a rental request.
struct RentalAnswer {
  enum class Outcome {
    kRented,      // all of it or some
    kNoCapacity,  // the market has none at present
    kRejected,    // malformed: nothing was rented, nor will be
    kUncertain,   // may have been carried out or not: has to be asked again under the same name
  };
  Outcome outcome = Outcome::kUncertain;
  std::vector<std::string> machine_names;  // of those rented

  // `status` 0: there was no response.
  static RentalAnswer from_reply(int status, const Json& body);
};

}  // namespace mothslip
