// The machines that exist as far as this leader knows: those it rented, those the cloud lists and those that
// report.
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

// Times are seconds of Env::now().
struct RentedMachine {
  int type = 0;  // index into the machine types
  int zone = 0;  // index into the zone names
  bool spot = false;
  double rented_at = 0;
  int missing_lists = 0;   // full lists in a row without it
  bool failed = false;     // the cloud says so
  bool returning = false;  // to be drained and returned
  bool returned = false;   // the cloud confirmed it
  double returned_at = 0;
};

// Marks the machine as one that goes back; without effect when it is marked already. `reason` is for the log.
void mark_for_return(const std::string& machine_name, RentedMachine& machine, const std::string& reason);

class MachineInventory {
 public:
  using Machines = std::map<std::string, RentedMachine>;

  // The arguments outlive this object.
  MachineInventory(Env& env, CloudClient& cloud, const Settings& settings, const MachineTypes& types,
                   NameTable& zones);

  // By name.
  [[nodiscard]] Machines& machines() { return machines_; }
  [[nodiscard]] const Machines& machines() const { return machines_; }

  // Asks the cloud for its list, page by page, when it is time for that and a call may be made.
  void poll_list_if_due();
  // At least one full list came since this leader took over.
  [[nodiscard]] bool has_full_list() const { return has_full_list_; }

  // Adds a machine that the cloud named in its answer to a rental, unless it is known.
  void add_rented(const std::string& machine_name, int type, int zone, bool spot, double rented_at);
  // Adds machines that nobody here remembers asking for. They report like any other; they are used, or
  // returned.
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
  std::set<std::string> listed_names_;  // names in the list that is being read
  bool is_listing_ = false;
  bool has_full_list_ = false;
  double next_list_at_ = 0;
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
