// Rents and returns machines. One node does: the owner of shard 0, and every write guards that ownership.
//
// A rental's name is made of the fencing token and a counter and is recorded before the call, so that it is
// never used for another; a new owner repeats the recorded calls to learn what they brought.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/shard_summary.hpp"
#include "coordination/state/state_client.hpp"
#include "protocol/names.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

class Fleet {
 public:
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    CloudClient* cloud = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    NameTable* zones = nullptr;
    std::uint64_t fencing_token = 0;  // of shard 0
    int shard_count = 1;
    std::function<bool()> exclusive_owner;
    std::function<void(MachineTypes)> new_types;
  };
  explicit Fleet(Context context);

  void start();
  // A shard tells of its machines and its waiting tasks, and hears what to do with its machines.
  FleetOrders take(ShardSummary summary);

 private:
  struct Rented {
    std::string address;
    int type = 0;
    int zone = 0;
    bool spot = false;
    double rented_at = 0;
    bool listed = false;
    int missing = 0;      // lists in a row without it
    bool failed = false;  // the cloud says so
    bool returning = false;
    bool returned = false;
    double returned_at = 0;
    std::string why;
  };
  struct Market {
    double refused_until = 0;
    double backoff = 0;
  };
  // One record names all that is asked for in a step: a change a machine type and zone would use up the
  // budget of changes just when jobs wait for machines.
  struct Rental {
    std::vector<RentalRequest> requests;
    std::set<std::string> open;  // names of those whose outcome is not certain
    double at = 0;
  };
  using MarketKey = std::tuple<int, int, bool>;

  void load();
  void step();
  void refresh_types();
  void poll_list(const std::string& from);
  void take_list_page(const Json& body);
  void end_list();
  void note_reporting(const ShardSummary& summary);
  [[nodiscard]] bool knows_all_of(const std::string& machine_name) const;
  [[nodiscard]] bool heard_of(const std::string& machine_name) const;
  [[nodiscard]] bool within_limit(const DemandSummary& demand) const;
  void evaluate_machines();
  void plan();
  void follow_ordinary_use(double step_s);
  [[nodiscard]] double ordinary_spare() const;
  void keep_ordinary(const std::vector<std::string>& names, const std::vector<FleetMachine>& machines,
                     const std::vector<FleetType>& types);
  [[nodiscard]] Resources as_unit(const DemandSummary& wanted) const;
  [[nodiscard]] std::vector<FleetPlan::Rent> rents_for_large_gangs() const;
  [[nodiscard]] std::optional<FleetPlan::Rent> rent_for(const DemandSummary& gang) const;
  [[nodiscard]] std::vector<int> slots_by_shard(const DemandSummary& gang, int zone) const;
  [[nodiscard]] bool allows(const DemandSummary& wanted, int type, int zone, bool spot) const;
  void cordon_surplus(const std::vector<std::string>& names, const std::vector<FleetMachine>& machines,
                      const std::vector<FleetType>& types);
  void rent(const std::vector<FleetPlan::Rent>& wanted);
  void record_rental(const std::string& name);
  void call_rental(const std::string& name, const RentalRequest& request);
  void on_rental(const std::string& name, const RentalRequest& request, const CloudReply& reply);
  void drop_rental(const std::string& name);
  void send_returns();
  void start_return(const std::string& machine_name, Rented& rented, const std::string& why);
  [[nodiscard]] const MachineSummary* reporting(const std::string& machine_name) const;
  [[nodiscard]] std::vector<FleetDemand> demands() const;

  template <typename F>
  auto alive(F f) {
    return [token = std::weak_ptr<bool>(alive_), f = std::move(f)](auto&&... args) mutable {
      if (!token.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  Context ctx_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  struct Told {
    ShardSummary summary;
    double at = 0;
    double since = 0;  // first heard from this owner
  };
  std::map<int, Told> summaries_;                          // by shard
  std::map<std::string, const MachineSummary*> machines_;  // those in the summaries
  std::set<std::string> cordoned_;
  std::map<std::string, double> start_wish_;  // by workload: tasks are wanted to start within
  int next_name_ = 0;
  std::map<std::string, Rented> rented_;
  std::map<std::string, Rental> rentals_;
  std::map<MarketKey, Market> markets_;
  std::set<std::string> list_seen_;
  bool listing_ = false;
  bool list_complete_ = false;  // at least one full list since we took over
  double next_list_ = 0;
  double next_types_ = 0;
  int rent_calls_ = 0;
  bool return_call_ = false;
  double guarantee_wish_ = 60;  // any job: tasks are wanted to start within, the least that guarantees say
  double used_cores_ = 0;       // smoothed
  double headroom_share_ = 0;   // of all cores: what is wanted free, as last planned
  double squares_ = 0;          // of the open jobs' cores, smoothed
  OrdinaryUse ordinary_;        // smoothed likewise
  double next_gang_rent_ = 0;
  std::set<std::string> kept_;  // ordinary machines that are kept for work that may run nowhere else
  double last_step_ = 0;
  double began_ = 0;
  double next_note_ = 0;
  double trouble_until_ = 0;
  bool knows_use_ = false;
};

}  // namespace mothslip
