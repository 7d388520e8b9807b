// Rentals: what is asked of the cloud, under names that are recorded first.
//
// A rental's name is made of the fencing token and a counter and is recorded before the call, so that it is
// never used for another. A call is repeated under its name until its outcome is certain, and a new leader
// repeats the recorded calls to learn what they brought.
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

// What the ledger works with. All of it outlives the ledger.
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

  // Machines that are rented are added to `inventory`. Every write is guarded by shard 0's `fencing_token`.
  RentalLedger(const RentalServices& services, MachineInventory& inventory, std::uint64_t fencing_token);

  // Reads the rentals of earlier leaders and repeats their calls; retries until the state service answers,
  // then calls `done`.
  void load(std::function<void()> done);
  // Whether it is worth planning: not too many calls are open, and the cloud has not just failed to answer.
  [[nodiscard]] bool accepts_requests() const;
  // Records the requests as one rental, as many as its record holds and may be open at once, then calls the
  // cloud.
  void rent(const std::vector<FleetPlan::NewMachines>& wanted);
  // The market had less than was asked for, and is left alone for a while.
  [[nodiscard]] bool is_refused(int type, int zone, bool spot) const;
  // Calls `visit` for each open request, by name of the rental and in order of the requests.
  void for_each_open_request(const std::function<void(const OpenRequest&)>& visit) const;
  // Removes the records of rentals that ended some time ago.
  void remove_ended_records();

 private:
  // One record names all that is asked for in a step: a change a machine type and zone would use up the
  // budget of changes just when jobs wait for machines.
  struct Rental {
    std::vector<RentalRequest> requests;
    std::set<std::string> open_requests;  // names of those whose outcome is not certain
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
  double paused_until_ = 0;  // the cloud is left alone until then
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
