// The cloud of the simulated cluster: it rents machines out, takes them back and lists them, as the protocol
// says.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "protocol/messages.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip::sim {

class World;

class Cloud {
 public:
  using Reply = std::function<void(int status, Json body)>;
  explicit Cloud(World& world);
  void handle(const std::string& target, const std::string& body, const Reply& reply);
  bool outage = false;            // every call is answered 503
  double boot_failure_share = 0;  // machines that never come up
  int machines_rented = 0;        // machines, since the world began

 private:
  // A machine as it is listed.
  struct Row {
    Json item;
    double created_at;
    double returned_at = 1e18;  // the time at which it was returned
  };
  void list_machine_types(const Reply& reply) const;
  void return_machines(const Json& request, const Reply& reply);
  void rent_machines(const Json& request, const Reply& reply);
  void list_machines(const std::string& target, const Reply& reply);
  // How many more the market has of this type, zone and kind.
  [[nodiscard]] int available_machines(const Json& request) const;
  // Gives its name.
  std::string create_machine(const Json& request);

  World& world_;
  std::map<std::string, Json> rentals_;  // answers, by the request's name: a repetition gets the same
  int next_machine_number_ = 1;
  std::map<std::string, Row> rows_;
  TokenBucket call_limiter_;
};

}  // namespace mothslip::sim
