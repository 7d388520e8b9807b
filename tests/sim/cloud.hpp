// The cloud of the simulated cluster. It rents out machines, takes them back and lists them, as the
// protocol specifies.
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
  bool outage = false;  // true: every call is answered 503
  // Share of the rented machines that never boot.
  double boot_failure_share = 0;
  // Machines rented since the simulation started.
  int machines_rented = 0;

 private:
  // A machine with the entry that represents it in the list.
  struct Row {
    Json item;
    double created_at;
    double returned_at = 1e18;
  };
  void list_machine_types(const Reply& reply) const;
  void return_machines(const Json& request, const Reply& reply);
  void rent_machines(const Json& request, const Reply& reply);
  void list_machines(const std::string& target, const Reply& reply);
  // Returns how many more machines of the requested type, zone and kind can be rented.
  [[nodiscard]] int available_machines(const Json& request) const;
  // Creates a machine and returns its name.
  std::string create_machine(const Json& request);

  World& world_;
  // Answers by rental name. A repeated request gets the same answer.
  std::map<std::string, Json> rentals_;
  int next_machine_number_ = 1;
  std::map<std::string, Row> rows_;
  TokenBucket call_limiter_;
};

}  // namespace mothslip::sim
