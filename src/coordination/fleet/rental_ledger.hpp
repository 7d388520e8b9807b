// Rental requests to the cloud, whose names are recorded before they are sent.
//
// The name of a rental consists of the fencing token and a counter. It is recorded before the call, so that
// no other rental uses the same name. A call is repeated under its name until its outcome is certain. A new
// leader repeats the recorded calls in order to learn which machines they rented.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/cloud_messages.hpp"
#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/state/state_client.hpp"
#include "protocol/names.hpp"
#include "scheduling/sizing.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

// The dependencies of the ledger. All of them must outlive the ledger.
struct RentalServices {
  Env& env;
  StateClient& state;
  CloudClient& cloud;
  const Settings& settings;
  const MachineTypes& types;
  NameTable& zones;
};

class RentalLedger {
 public:
  // A request whose outcome is not certain yet.
  struct OpenRequest {
    const RentalRequest& request;
    double requested_at = 0;  // seconds of Env::now()
  };

  // Adds rented machines to `inventory`. Guards every write by the fencing token of shard 0.
  RentalLedger(const RentalServices& services, MachineInventory& inventory, std::uint64_t fencing_token);

  // Reads the rentals of earlier leaders, repeats their calls and calls `done`. Retries the read until the
  // state service answers.
  void load(std::function<void()> done);
  // Returns true if further requests can be sent: the limit of open calls is not reached, and no call has
  // failed recently.
  [[nodiscard]] bool accepts_requests() const;
  // Records the requests as one rental and then sends them to the cloud. Requests that exceed the size of one
  // record or the limit of open calls are left out.
  void rent(const std::vector<FleetPlan::NewMachines>& wanted);
  // Returns true if the market recently had fewer machines than requested and is still in its backoff time.
  [[nodiscard]] bool is_refused(int type, int zone, bool spot) const;
  // Calls `visit` for each open request, sorted by the name of the rental and then in request order.
  void for_each_open_request(const std::function<void(const OpenRequest&)>& visit) const;
  // Removes the records of rentals without open requests after the retention time.
  void remove_ended_records();

 private:
  // All requests of one step are in one record. One write per machine type and zone would exhaust the write
  // budget at the time when jobs wait for machines.
  struct Rental {
    std::vector<RentalRequest> requests;
    std::set<std::string> open_requests;  // names of the requests whose outcome is not certain
    double requested_at = 0;
  };
  struct Market {
    double refused_until = 0;
    double backoff_s = 0;
  };
  using MarketKey = std::tuple<int, int, bool>;  // type, zone, spot

  void resume(const std::vector<StateItem>& items);
  void record(const std::string& name);
  void call(const std::string& name, const RentalRequest& request);
  void on_reply(const std::string& name, const RentalRequest& request, const CloudReply& reply);
  void on_uncertain(const std::string& name, const RentalRequest& request, int status);
  void on_rented(const RentalRequest& request, const MarketKey& key, double requested_at,
                 const std::vector<std::string>& machine_names);
  void remove_record(const std::string& name);
  void subtract_open_calls(int count);

  RentalServices services_;
  MachineInventory& inventory_;
  std::uint64_t fencing_token_;
  int last_rental_number_ = 0;
  std::map<std::string, Rental> rentals_;  // by name
  std::map<MarketKey, Market> markets_;
  int open_calls_ = 0;
  double paused_until_ = 0;  // no calls are sent before this time
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
