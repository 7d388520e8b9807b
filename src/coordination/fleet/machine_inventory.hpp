// The machines that exist as far as this leader knows: the machines that it has rented, that the cloud lists,
// or that report to a shard.
#pragma once

#include <map>
#include <set>
#include <string>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/cloud_messages.hpp"
#include "coordination/fleet/shard_summary.hpp"
#include "protocol/names.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

// Times are in seconds of Env::now().
struct RentedMachine {
  int type = 0;  // index into the machine types
  int zone = 0;  // index into the zone names
  bool spot = false;
  double rented_at = 0;
  int missing_lists = 0;   // number of consecutive full lists without it
  bool failed = false;     // the cloud lists it as failed
  bool returning = false;  // it is being drained, or its return is requested
  bool returned = false;   // the cloud has confirmed its return
  double returned_at = 0;
};

// Marks the machine to be drained and returned. Has no effect if it is marked already. `reason` is logged.
void mark_for_return(const std::string& machine_name, RentedMachine& machine, const std::string& reason);

class MachineInventory {
 public:
  using Machines = std::map<std::string, RentedMachine>;

  // All references must outlive this object.
  MachineInventory(Env& env, CloudClient& cloud, const Settings& settings, const MachineTypes& types,
                   NameTable& zones);

  // Returns the machines by name.
  [[nodiscard]] Machines& machines() { return machines_; }
  [[nodiscard]] const Machines& machines() const { return machines_; }

  // Requests the cloud's list, page by page, if it is due and a call may be made.
  void poll_list_if_due();
  // Returns true if this leader has received at least one full list.
  [[nodiscard]] bool has_full_list() const { return has_full_list_; }

  // Adds a machine from the cloud's answer to a rental request, unless it is in the inventory already.
  void add_rented(const std::string& machine_name, int type, int zone, bool spot, double rented_at);
  // Adds the reporting machines that are not in the inventory, such as those rented by an earlier leader.
  // They are used or returned like any other machine.
  void add_reporting(const ShardSummary& summary);

 private:
  void request_page(const std::string& after_machine);
  void on_page(const CloudReply& reply);
  void merge_page(const CloudListPage& page);
  void finish_list();

  Env& env_;
  CloudClient& cloud_;
  const Settings& settings_;
  const MachineTypes& types_;
  NameTable& zones_;
  Machines machines_;
  std::set<std::string> listed_names_;  // names in the list that is being received
  bool is_listing_ = false;
  bool has_full_list_ = false;
  double next_list_at_ = 0;
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
