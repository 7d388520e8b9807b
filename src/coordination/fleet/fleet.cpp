#include "coordination/fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "bookkeeping/records.hpp"
#include "scheduling/gang.hpp"

namespace mothslip {

namespace {
constexpr double kStep = 1.0;
constexpr double kTypesEvery = 60.0;
constexpr double kRetry = 0.5;
constexpr double kKeepRental = 60.0;
constexpr double kSmooth = 90.0;      // seconds over which use is averaged
constexpr double kSmoothFall = 40.0;  // while it falls
constexpr double kBootLate = 1.7;     // times boot_s: no longer counted on
constexpr double kBootLost = 3.0;     // times boot_s: returned
constexpr double kSilentLeases = 3;   // a machine that is silent for so many is returned
constexpr double kTrouble = 2.0;      // the cloud is left alone this long after it failed to answer
constexpr double kNoteEvery = 10.0;
constexpr std::size_t kMaxHints = 60;
constexpr double kSummaryGood = 5.0;    // a shard's summary is believed this long
constexpr double kCordonReserve = 0.2;  // of recent use, free on the other machines
constexpr double kSilentShard = 20.0;
constexpr std::size_t kReturnShare = 30;  // one in so many machines may go back a step
constexpr int kRentCalls = 24;
constexpr double kBestEffortStart = 120.0;       // machines are rented for best-effort work that waits longer
constexpr std::size_t kRentalFrame = 40;         // bytes of a rental's record without its requests
constexpr std::size_t kRentalRequestFrame = 60;  // and of a request without its names
constexpr double kOrdinaryFall = 60.0;           // seconds
constexpr double kGangAge = 2.0;                 // a gang that has waited so long gets machines of its own
constexpr double kGangRentEvery = 2.5;           // by then it is known to which shards those just rented fall
constexpr int kGangRent = 8;                     // at once
constexpr double kLeastOrdinary = 0.5;           // cores: less than that is no work at all
constexpr double kAskedFor = 10.0;               // a rental without an answer is counted on this long

bool allows_type(const DemandSummary& wanted, const std::string& type) {
  const auto& allowed = wanted.machine_types;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), type) != allowed.end();
}
}  // namespace

Fleet::Fleet(Context context) : ctx_(std::move(context)) {
  for (const Objective& goal : ctx_.settings->objectives) {
    if (goal.kind == "guarantee") guarantee_wish_ = std::min(guarantee_wish_, goal.within_s);
    if (goal.kind != "wait" || goal.job_class.empty()) continue;
    auto [it, fresh] = start_wish_.try_emplace(goal.job_class, goal.within_s);
    if (!fresh) it->second = std::min(it->second, goal.within_s);
  }
}

void Fleet::start() { load(); }

void Fleet::load() {
  ctx_.state->list(RequestPriority::kRest, keys::kRentals,
                   alive([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                     if (outcome != Outcome::kOk) {
                       ctx_.env->after(kRetry, alive([this] { load(); }));
                       return;
                     }
                     for (const StateItem& item : items) {
                       const std::string name = item.key.substr(keys::kRentals.size());
                       Rental rental;
                       rental.at = ctx_.env->now();
                       const Json& list =
                           item.data.contains("requests") ? item.data["requests"] : Json::array();
                       for (const Json& each : list) {
                         const RentalRequest request = {
                             name + "." + std::to_string(rental.requests.size()), each.value("flavour", ""),
                             each.value("hall", ""), each.value("loaner", false), each.value("how_many", 1)};
                         rental.requests.push_back(request);
                         rental.open.insert(request.name);
                       }
                       rent_calls_ += static_cast<int>(rental.requests.size());
                       rentals_.emplace(name, rental);
                       for (const RentalRequest& request : rental.requests) call_rental(name, request);
                     }
                     last_step_ = began_ = ctx_.env->now();
                     next_types_ = ctx_.env->now() + ctx_.env->uniform(5, 15);
                     step();
                   }));
}

void Fleet::step() {
  const double now = ctx_.env->now();
  if (ctx_.exclusive_owner()) {
    double used = 0;
    // Beyond a team's limit its waiting tasks need no machines, however many there are.
    std::map<int, double> wanted;
    for (const auto& [shard, told] : summaries_) {
      for (const auto& [team, cores] : told.summary.wanted_by_team) wanted[team] += cores;
    }
    for (const auto& [team, cores] : wanted) {
      if (team < 0 || team >= static_cast<int>(ctx_.settings->teams.size())) continue;
      used += std::min(cores, ctx_.settings->teams[static_cast<std::size_t>(team)].cpus_max);
    }
    // A new fleet owner starts from what it finds, not from nothing.
    const bool first = !knows_use_ && static_cast<int>(summaries_.size()) == ctx_.shard_count;
    if (first) knows_use_ = true;
    const auto follow = [this, first, now](double& known, double fresh) {
      const double weight =
          first ? 1.0 : std::min(1.0, (now - last_step_) / (fresh < known ? kSmoothFall : kSmooth));
      known += (fresh - known) * weight;
    };
    follow(used_cores_, used);
    double squares = 0;
    for (const auto& [shard, told] : summaries_) squares += told.summary.squares;
    follow(squares_, squares);
    follow_ordinary_use(now - last_step_);
    evaluate_machines();
    send_returns();
    plan();
    for (auto it = rentals_.begin(); it != rentals_.end();) {
      const std::string name = it->first;
      const bool old = it->second.open.empty() && now - it->second.at > kKeepRental;
      ++it;
      if (old) drop_rental(name);
    }
    if (!listing_ && now >= next_list_ && ctx_.cloud->ready()) {
      list_seen_.clear();
      poll_list("");
    }
    if (now >= next_types_ && ctx_.cloud->ready(1)) refresh_types();
  }
  last_step_ = now;
  ctx_.env->after(kStep, alive([this] { step(); }));
}

// Ordinary machines take long to boot, and gangs can start nowhere else: a rise is followed at once, a fall
// slowly.
void Fleet::follow_ordinary_use(double step_s) {
  OrdinaryUse now;
  for (const auto& [shard, told] : summaries_) {
    const OrdinaryUse& use = told.summary.ordinary;
    now.cores += use.cores;
    now.squares += use.squares;
    for (std::size_t r = 0; r < now.largest.size(); r++)
      now.largest[r] = std::max(now.largest[r], use.largest[r]);
  }
  const auto follow = [step_s](double& known, double fresh) {
    known = std::max(fresh, known + (fresh - known) * std::min(1.0, step_s / kOrdinaryFall));
  };
  follow(ordinary_.cores, now.cores);
  follow(ordinary_.squares, now.squares);
  for (std::size_t r = 0; r < now.largest.size(); r++) {
    // (What has to be free at once is remembered for a while.)
    const double kept = ordinary_.cores < kLeastOrdinary ? 0 : ordinary_.largest[r];
    ordinary_.largest[r] = std::max(kept, now.largest[r]);
  }
}

// Cores to be kept free for what ordinary work varies by.
double Fleet::ordinary_spare() const {
  const Tuning& tuning = ctx_.settings->tuning;
  return std::min(tuning.headroom * ordinary_.cores, tuning.headroom_spread * std::sqrt(ordinary_.squares));
}

void Fleet::refresh_types() {
  next_types_ = ctx_.env->now() + kTypesEvery;
  ctx_.cloud->machine_types(alive([this](const CloudReply& reply) {
    if (reply.status != 200) return;
    auto types = MachineTypes::parse(reply.body);
    if (types) ctx_.new_types(std::move(*types));
  }));
}

// ---------------------------------------------------------------- what there is

void Fleet::poll_list(const std::string& from) {
  listing_ = true;
  ctx_.cloud->list(
      from, alive([this](const CloudReply& reply) {
        if (reply.status != 200 || !reply.body.is_object()) {
          listing_ = false;
          next_list_ = ctx_.env->now() + 3;
          return;
        }
        take_list_page(reply.body);
        const auto machine_names = reply.body.find("hosts");
        if (reply.body.value("more", false) && machine_names != reply.body.end() && !machine_names->empty()) {
          poll_list(machine_names->back().value("ref", ""));
          return;
        }
        listing_ = false;
        next_list_ = ctx_.env->now() + std::max(2.0, 4 / std::max(0.1, ctx_.settings->cloud_rps));
        end_list();
      }));
}

void Fleet::take_list_page(const Json& body) {
  const auto machine_names = body.find("hosts");
  if (machine_names == body.end() || !machine_names->is_array()) return;
  for (const Json& item : *machine_names) {
    const std::string ref = item.value("ref", "");
    const int type = ctx_.types->find(item.value("flavour", ""));
    if (ref.empty() || type < 0) continue;
    list_seen_.insert(ref);
    auto [it, fresh] = rented_.try_emplace(ref);
    Rented& rented = it->second;
    if (fresh) {
      rented.type = type;
      rented.zone = ctx_.zones->intern(item.value("hall", ""));
      rented.spot = item.value("loaner", false);
      rented.rented_at = ctx_.env->now() - item.value("age_s", 0.0);
    }
    rented.address = item.value("address", "");
    rented.listed = true;
    rented.failed = item.value("phase", "") == "failed";
  }
}

void Fleet::end_list() {
  list_complete_ = true;
  for (auto& [ref, rented] : rented_) {
    if (list_seen_.count(ref) > 0) {
      rented.missing = 0;
    } else {
      rented.missing++;
    }
  }
}

const MachineSummary* Fleet::reporting(const std::string& machine_name) const {
  const auto it = machines_.find(machine_name);
  return it == machines_.end() ? nullptr : it->second;
}

// Whether the owner of the machine's shard has told us of its machines lately.
bool Fleet::heard_of(const std::string& machine_name) const {
  const auto it = summaries_.find(shard_of(machine_name, ctx_.shard_count));
  return it != summaries_.end() && ctx_.env->now() - it->second.at < kSummaryGood;
}

// A new owner of a shard knows the machines with placements from its records, the others once they report: of
// what it does not name yet, nothing is concluded before. (Incident db4e: idle machines that were up went
// back as "never came up" a second after each takeover.)
bool Fleet::knows_all_of(const std::string& machine_name) const {
  const auto it = summaries_.find(shard_of(machine_name, ctx_.shard_count));
  return it != summaries_.end() && ctx_.env->now() - it->second.since > ctx_.settings->lease_s;
}

FleetOrders Fleet::take(ShardSummary summary) {
  const int shard = summary.shard;
  for (auto it = machines_.begin(); it != machines_.end();) {
    it = shard_of(it->first, ctx_.shard_count) == shard ? machines_.erase(it) : std::next(it);
  }
  Told& told = summaries_[shard];
  told.at = ctx_.env->now();
  if (told.since == 0 || told.summary.fencing_token != summary.fencing_token) told.since = told.at;
  told.summary = std::move(summary);
  for (const MachineSummary& machine : told.summary.machines) machines_[machine.name] = &machine;
  note_reporting(told.summary);
  FleetOrders orders;
  orders.headroom_share = headroom_share_;
  for (const MachineSummary& machine : told.summary.machines) {
    const auto it = rented_.find(machine.name);
    if (it == rented_.end()) continue;
    if (it->second.returned) {
      orders.removed.push_back(machine.name);
    } else if (it->second.returning) {
      orders.draining.push_back(machine.name);
    } else if (cordoned_.count(machine.name) > 0) {
      orders.cordoned.push_back(machine.name);
    }
  }
  for (const bool starving : {true, false}) {  // those first, should there be too many
    for (const auto& [other, each] : summaries_) {
      if (other == shard || ctx_.env->now() - each.at > kSummaryGood) continue;
      for (const DemandSummary& demand : each.summary.demands) {
        if (demand.starving != starving || orders.waiting.size() >= kMaxHints) continue;
        // Best-effort work waits for what others leave: nothing is kept for it, unless it starves.
        const bool best_effort = demand.urgency == 0;
        if (best_effort && !starving) continue;
        orders.waiting.push_back({demand.demand, demand.urgency, demand.allows_spot, starving,
                                  !best_effort && within_limit(demand)});
      }
    }
  }
  return orders;
}

// One more task of it would be within its team's limit.
bool Fleet::within_limit(const DemandSummary& demand) const {
  if (demand.team < 0 || demand.team >= static_cast<int>(ctx_.settings->teams.size())) return false;
  double used = demand.demand[0];
  for (const auto& [shard, told] : summaries_) {
    const auto it = told.summary.used_by_team.find(demand.team);
    if (it != told.summary.used_by_team.end()) used += it->second;
  }
  return used <= ctx_.settings->teams[static_cast<std::size_t>(demand.team)].cpus_max;
}

// Machines that nobody here remembers asking for report like any other; they are used, or returned.
void Fleet::note_reporting(const ShardSummary& summary) {
  for (const MachineSummary& machine : summary.machines) {
    const int type = ctx_.types->find(machine.machine_type);
    if (type < 0) continue;
    auto [it, fresh] = rented_.try_emplace(machine.name);
    if (!fresh) continue;
    it->second.type = type;
    it->second.zone = ctx_.zones->intern(machine.zone);
    it->second.spot = machine.spot;
    it->second.address = machine.address;
    it->second.rented_at = ctx_.env->now();
  }
}

void Fleet::start_return(const std::string& machine_name, Rented& rented, const std::string& why) {
  if (rented.returning) return;
  rented.returning = true;
  rented.why = why;
  spdlog::info("{} to be returned: {}", machine_name, why);
}

void Fleet::evaluate_machines() {
  const double now = ctx_.env->now();
  const double lease = ctx_.settings->lease_s;
  // Silent machines are more likely cut off or hung than dead, and come back sooner than new ones boot
  // (incident 0675). Dead ones the list shows, and meanwhile silent ones are counted on for nothing.
  const double patience = kSilentLeases * lease;
  const double lag = ctx_.settings->list_lag_s;
  for (auto it = rented_.begin(); it != rented_.end();) {
    const std::string& name = it->first;
    Rented& rented = it->second;
    const MachineSummary* machine = reporting(name);
    const double age = now - rented.rented_at;
    if (!heard_of(name)) {
      ++it;  // it may well be up: its owner has only not told us
      continue;
    }
    if (rented.returned) {
      // Remembered while lists that lag may still show it.
      if (machine == nullptr && rented.missing >= 2 && now - rented.returned_at > 2 * lag + 5) {
        it = rented_.erase(it);
      } else {
        ++it;
      }
      continue;
    }
    if (machine == nullptr && rented.missing >= 2 && age > 3 * lag + 5 && list_complete_ &&
        knows_all_of(name)) {
      // Never heard here, and not listed any more: taken or deleted.
      it = rented_.erase(it);
      continue;
    }
    if (!rented.returning) {
      if (rented.failed) {
        start_return(name, rented, "failed");
      } else if (machine == nullptr) {
        const double boot = ctx_.types->at(rented.type).boot_s;
        if (age > kBootLost * boot + 10 && knows_all_of(name)) start_return(name, rented, "never came up");
      } else if (machine->faulty) {
        start_return(name, rented, "sick");
      } else if (machine->silent_s > patience || (machine->silent_s > lease && rented.missing >= 2)) {
        start_return(name, rented, rented.missing >= 2 ? "taken" : "silent");
      }
    }
    ++it;
  }
}

void Fleet::send_returns() {
  if (return_call_ || !ctx_.cloud->ready()) return;
  std::vector<std::string> machine_names;
  for (auto& [name, rented] : rented_) {
    if (!rented.returning || rented.returned || machine_names.size() >= 100 || !heard_of(name)) continue;
    const MachineSummary* machine = reporting(name);
    // Drained first, unless nothing on it can be saved by waiting.
    const bool lost = machine == nullptr || rented.failed || machine->silent_s > ctx_.settings->lease_s;
    const bool drained = machine != nullptr && machine->draining && machine->empty;
    if (lost || drained) machine_names.push_back(name);
  }
  if (machine_names.empty()) return;
  return_call_ = true;
  ctx_.cloud->give_back(machine_names, alive([this, machine_names](const CloudReply& reply) {
                          return_call_ = false;
                          // Anything but a 200 may or may not have worked: it is repeated until confirmed.
                          if (reply.status != 200) return;
                          for (const std::string& machine_name : machine_names) {
                            const auto it = rented_.find(machine_name);
                            if (it == rented_.end()) continue;
                            it->second.returned = true;
                            it->second.returned_at = ctx_.env->now();
                            spdlog::info("{} returned", machine_name);
                          }
                        }));
}

// ---------------------------------------------------------------- what is wanted

// What a gang takes on one machine, if there is one that holds all of it; else what each task takes.
Resources Fleet::as_unit(const DemandSummary& wanted) const {
  Resources all = wanted.demand;
  for (double& amount : all) amount *= wanted.count;
  for (const MachineType& type : ctx_.types->all()) {
    if (allows_type(wanted, type.name) && fits(all, {type.cores, type.memory_gb, type.accelerators}))
      return all;
  }
  return wanted.demand;
}

bool Fleet::allows(const DemandSummary& wanted, int type, int zone, bool spot) const {
  if (spot && !wanted.allows_spot) return false;
  if (!wanted.zone.empty() && ctx_.zones->intern(wanted.zone) != zone) return false;
  return allows_type(wanted, ctx_.types->at(type).name);
}

// Tasks of the gang that each shard's machines in this zone could hold if they were empty. A shard owns the
// machines whose names hash to it: those that are still booting count too.
std::vector<int> Fleet::slots_by_shard(const DemandSummary& gang, int zone) const {
  std::vector<int> out(static_cast<std::size_t>(ctx_.shard_count));
  for (const auto& [name, rented] : rented_) {
    if (rented.returned || rented.returning || rented.failed || rented.zone != zone) continue;
    if (!allows(gang, rented.type, zone, rented.spot)) continue;
    const MachineSummary* machine = reporting(name);
    if (machine != nullptr && !machine->schedulable) continue;
    const MachineType& type = ctx_.types->at(rented.type);
    out[static_cast<std::size_t>(shard_of(name, ctx_.shard_count))] +=
        slots({type.cores, type.memory_gb, type.accelerators}, gang.demand);
  }
  return out;
}

// A gang that no single machine holds needs several of one shard and, as a rule, of one zone. Which shard a
// machine falls to shows only when it is rented: where no shard has enough, more are rented in the zone that
// lacks least, until one has. (What is too much goes back when it is idle.)
std::optional<FleetPlan::Rent> Fleet::rent_for(const DemandSummary& gang) const {
  std::optional<FleetPlan::Rent> best;
  int least_missing = gang.count;
  double least_price = 0;
  for (std::size_t t = 0; t < ctx_.types->all().size(); t++) {
    const MachineType& type = ctx_.types->all()[t];
    const int each = slots({type.cores, type.memory_gb, type.accelerators}, gang.demand);
    if (each == 0) continue;
    for (const std::string& zone_name : type.zones) {
      const int zone = ctx_.zones->intern(zone_name);
      const std::vector<int> by_shard = slots_by_shard(gang, zone);
      const int missing = gang.count - *std::max_element(by_shard.begin(), by_shard.end());
      if (missing <= 0) return std::nullopt;
      for (const bool spot : {true, false}) {
        const auto market = markets_.find({static_cast<int>(t), zone, spot});
        const bool refused = market != markets_.end() && ctx_.env->now() < market->second.refused_until;
        if (refused || !allows(gang, static_cast<int>(t), zone, spot)) continue;
        const int count = (missing + each - 1) / each;
        const double price = (spot ? type.spot_price : type.hourly) * count;
        if (best && std::pair(missing, price) >= std::pair(least_missing, least_price)) continue;
        best = FleetPlan::Rent{static_cast<int>(t), zone, spot, std::min(count, kGangRent)};
        least_missing = missing;
        least_price = price;
      }
    }
  }
  return best;
}

std::vector<FleetPlan::Rent> Fleet::rents_for_large_gangs() const {
  std::vector<FleetPlan::Rent> out;
  const double now = ctx_.env->now();
  const DemandSummary* first = nullptr;
  for (const auto& [shard, told] : summaries_) {
    if (now - told.at > kSummaryGood) continue;
    for (const DemandSummary& demand : told.summary.demands) {
      if (!demand.gang || as_unit(demand) != demand.demand || demand.count < 2) continue;
      if (ctx_.env->wall() - demand.submitted < kGangAge || !within_limit(demand)) continue;
      if (first == nullptr || demand.submitted < first->submitted) first = &demand;
    }
  }
  if (first == nullptr) return out;
  if (const auto rent = rent_for(*first)) out.push_back(*rent);
  return out;
}

std::vector<FleetDemand> Fleet::demands() const {
  std::vector<FleetDemand> out;
  std::vector<const DemandSummary*> all;
  std::map<int, double> claimed;  // by team: cores in use, then also those asked for by jobs before
  const double now = ctx_.env->now();
  for (const auto& [shard, told] : summaries_) {
    if (now - told.at > kSummaryGood) continue;
    for (const DemandSummary& demand : told.summary.demands) all.push_back(&demand);
    for (const auto& [team, cores] : told.summary.used_by_team) claimed[team] += cores;
  }
  std::sort(all.begin(), all.end(), [](const DemandSummary* a, const DemandSummary* b) {
    return a->urgency != b->urgency ? a->urgency > b->urgency : a->submitted < b->submitted;
  });
  for (const DemandSummary* wanted : all) {
    if (wanted->team < 0 || wanted->team >= static_cast<int>(ctx_.settings->teams.size())) continue;
    int count = wanted->count;
    double& used = claimed[wanted->team];
    if (wanted->demand[0] > 0) {
      const double most = ctx_.settings->teams[static_cast<std::size_t>(wanted->team)].cpus_max - used;
      count = std::min(count, static_cast<int>(std::max(0.0, most) / wanted->demand[0]));
    }
    if (count <= 0) continue;
    used += count * wanted->demand[0];
    FleetDemand demand;
    demand.demand = wanted->demand;
    demand.count = count;
    if (wanted->gang) {
      if (count < wanted->count) continue;  // not all of it is within the team's limit
      demand.demand = as_unit(*wanted);
      if (demand.demand != wanted->demand) demand.count = 1;
    }
    demand.rank = wanted->urgency;
    demand.estimated_s = wanted->estimated_s;
    demand.image_gb = wanted->image_gb;
    demand.time_left_s = wanted->time_left_s;
    const auto wish = start_wish_.find(wanted->job_class);
    demand.start_within_s = wish != start_wish_.end() ? wish->second : guarantee_wish_;
    demand.spot_allowed = wanted->allows_spot;
    if (wanted->urgency == 0) {
      demand.start_within_s = std::max(demand.start_within_s, kBestEffortStart);
      demand.spot_only = wanted->allows_spot;
    }
    if (!wanted->machine_types.empty()) {
      demand.types.assign(ctx_.types->all().size(), 0);
      for (const std::string& machine_type : wanted->machine_types) {
        const int type = ctx_.types->find(machine_type);
        if (type >= 0) demand.types[static_cast<std::size_t>(type)] = 1;
      }
    }
    if (!wanted->zone.empty()) demand.zone = ctx_.zones->intern(wanted->zone);
    out.push_back(std::move(demand));
  }
  return out;
}

void Fleet::plan() {
  const double now = ctx_.env->now();
  if (rent_calls_ >= kRentCalls || now < trouble_until_) return;
  const Tuning& tuning = ctx_.settings->tuning;

  std::vector<FleetType> types;
  std::vector<FleetMarket> markets;
  for (std::size_t t = 0; t < ctx_.types->all().size(); t++) {
    const MachineType& type = ctx_.types->all()[t];
    FleetType out;
    out.capacity = {type.cores, type.memory_gb, type.accelerators};
    out.hourly = type.hourly;
    out.spot_price = type.spot_price;
    out.boot_s = type.boot_s;
    out.fetch_gb_per_s = type.fetch_gb_per_s;
    for (const std::string& name : type.zones) {
      const int zone = ctx_.zones->intern(name);
      for (const bool spot : {true, false}) {
        FleetMarket market;
        market.type = static_cast<int>(t);
        market.zone = zone;
        market.spot = spot;
        market.refused = now < markets_[{market.type, zone, spot}].refused_until;
        markets.push_back(market);
      }
    }
    types.push_back(std::move(out));
  }

  std::vector<FleetMachine> machines;
  std::vector<std::string> names;
  for (const auto& [name, rented] : rented_) {
    if (rented.returned) continue;
    const MachineSummary* machine = reporting(name);
    FleetMachine out;
    out.type = rented.type;
    out.zone = rented.zone;
    out.spot = rented.spot;
    const FleetType& type = types[static_cast<std::size_t>(rented.type)];
    if (machine != nullptr) {
      out.usable = machine->schedulable && !rented.returning;
      out.rooms = machine->rooms;
    } else {
      const double age = now - rented.rented_at;
      out.usable = !rented.returning && !rented.failed && age < kBootLate * type.boot_s;
      out.rooms.push_back({std::max(2.0, type.boot_s - age), type.capacity});
    }
    for (FleetMarket& market : markets) {
      if (market.type == out.type && market.zone == out.zone && market.spot == out.spot) market.rented++;
    }
    machines.push_back(std::move(out));
    names.push_back(name);
  }

  // What is being asked for counts as booting, or it would be asked for again every second until answered.
  // (It has no name yet; only machines with a name are judged below.)
  for (const auto& [name, rental] : rentals_) {
    for (const RentalRequest& request : rental.requests) {
      if (rental.open.count(request.name) == 0) continue;
      FleetMachine out;
      out.type = ctx_.types->find(request.machine_type);
      if (out.type < 0) continue;
      out.zone = ctx_.zones->intern(request.zone);
      out.spot = request.spot;
      out.usable = now - rental.at < kAskedFor;
      const FleetType& type = types[static_cast<std::size_t>(out.type)];
      out.rooms.push_back({type.boot_s, type.capacity});
      for (int i = 0; i < request.how_many; i++) machines.push_back(out);
    }
  }

  std::vector<FleetDemand> wanted = demands();
  FleetDemand headroom;
  headroom.demand = {4, 8, 0};
  // Jobs come independently of each other: what is in use varies by about the root of the sum of their
  // squares. With many jobs that is far less, of what is in use, than with a few.
  const double spare = std::min(tuning.headroom * used_cores_, tuning.headroom_spread * std::sqrt(squares_));
  double cores = 0;
  for (const FleetMachine& machine : machines)
    cores += types[static_cast<std::size_t>(machine.type)].capacity[0];
  headroom_share_ = cores > 0 ? std::min(1.0, spare / cores) : 0;
  headroom.count = static_cast<int>(std::ceil(spare / headroom.demand[0]));
  headroom.rank = -1;
  headroom.start_within_s = 0.5;
  headroom.spot_only = true;
  wanted.push_back(headroom);
  if (ordinary_.cores >= kLeastOrdinary && ordinary_.largest[0] > 0) {
    FleetDemand kept;
    kept.demand = ordinary_.largest;
    kept.count = static_cast<int>(std::ceil(ordinary_spare() / ordinary_.largest[0]));
    kept.rank = -1;
    kept.start_within_s = 0.5;
    kept.spot_allowed = false;
    wanted.push_back(kept);
  }

  const FleetPlan result = plan_fleet(types, markets, machines, wanted, FleetLimits{});

  if (now >= next_note_) {
    next_note_ = now + kNoteEvery;
    int booting = 0;
    double free = 0;
    double total = 0;
    for (const std::string& name : names) {
      const MachineSummary* machine = reporting(name);
      if (machine == nullptr) {
        booting++;
        continue;
      }
      free += machine->rooms.empty() ? 0 : machine->rooms.front().room[0];
      total += ctx_.types->at(rented_[name].type).cores;
    }
    double waiting = 0;
    for (const FleetDemand& demand : wanted) waiting += demand.rank < 0 ? 0 : demand.count * demand.demand[0];
    spdlog::info("fleet: {} up, {} not yet, {:.0f} of {:.0f} cores free; {:.0f} cores waiting, use {:.0f}",
                 names.size() - static_cast<std::size_t>(booting), booting, free, total, waiting,
                 used_cores_);
  }

  // Nothing is rented before a first look at what there is, from the cloud and from every shard. A shard that
  // stays silent must not keep the others from their machines.
  const bool all_told = static_cast<int>(summaries_.size()) == ctx_.shard_count;
  if (list_complete_ && (all_told || now - began_ > kSilentShard)) {
    std::vector<FleetPlan::Rent> rents = result.rents;
    if (now >= next_gang_rent_) {
      next_gang_rent_ = now + kGangRentEvery;
      for (const FleetPlan::Rent& each : rents_for_large_gangs()) rents.push_back(each);
    }
    rent(rents);
  }

  keep_ordinary(names, machines, types);
  cordon_surplus(names, machines, types);

  // Idle machines that the plan does not count on go back, the dearest first, a few a step: a share of the
  // fleet, so that a large one shrinks as fast as a small one. Spot machines are cheap to keep, and what they
  // have cached saves the next task its fetch: they are kept longer.
  std::vector<std::pair<double, std::size_t>> idle;
  for (std::size_t m = 0; m < names.size(); m++) {
    const MachineSummary* machine = reporting(names[m]);
    if (machine == nullptr || !machines[m].usable || result.needed_rooms[m] > 0 || !machine->empty) continue;
    if (kept_.count(names[m]) > 0) continue;
    if (machine->idle_s < (machines[m].spot ? tuning.idle_return_s : tuning.idle_ordinary_s)) continue;
    const FleetType& type = types[static_cast<std::size_t>(machines[m].type)];
    const double price = (machines[m].spot ? type.spot_price : type.hourly) / std::max(1.0, type.capacity[0]);
    idle.emplace_back(-price, m);
  }
  std::sort(idle.begin(), idle.end());
  const std::size_t most = 1 + names.size() / kReturnShare;
  for (std::size_t i = 0; i < idle.size() && i < most; i++) {
    const std::string& name = names[idle[i].second];
    start_return(name, rented_[name], "idle");
  }
}

// Work that may run on ordinary machines only, gangs above all, finds them taken if other work may fill them
// too: as many as it needs take nothing that could go elsewhere. Those kept already stay, then the largest.
void Fleet::keep_ordinary(const std::vector<std::string>& names, const std::vector<FleetMachine>& machines,
                          const std::vector<FleetType>& types) {
  double left = ordinary_.cores < kLeastOrdinary ? 0 : ordinary_.cores + ordinary_spare();
  std::vector<std::tuple<bool, double, std::string>> candidates;  // in order
  for (std::size_t m = 0; m < names.size(); m++) {
    if (machines[m].spot || !machines[m].usable) continue;
    const double cores = types[static_cast<std::size_t>(machines[m].type)].capacity[0];
    candidates.emplace_back(kept_.count(names[m]) == 0, -cores, names[m]);
  }
  std::sort(candidates.begin(), candidates.end());
  kept_.clear();
  for (const auto& [fresh, less, name] : candidates) {
    if (left <= 0) break;
    kept_.insert(name);
    left += less;
  }
}

// An ordinary machine that always gets some task never falls idle. When the others have room for all that
// waits and a reserve without it, it takes nothing new; when work waits again, it does.
void Fleet::cordon_surplus(const std::vector<std::string>& names, const std::vector<FleetMachine>& machines,
                           const std::vector<FleetType>& types) {
  cordoned_ = kept_;
  double waiting = 0;
  for (const auto& [shard, told] : summaries_) {
    for (const DemandSummary& demand : told.summary.demands)
      waiting += demand.urgency > 0 ? demand.count * demand.demand[0] : 0;
  }
  std::vector<std::pair<double, std::size_t>> ordinary;
  double free = 0;
  const auto room_now = [this, &names](std::size_t m) {
    const MachineSummary* machine = reporting(names[m]);
    return machine->rooms.empty() ? 0.0 : std::max(0.0, machine->rooms.front().room[0]);
  };
  for (std::size_t m = 0; m < names.size(); m++) {
    if (reporting(names[m]) == nullptr || !machines[m].usable) continue;
    free += room_now(m);
    const FleetType& type = types[static_cast<std::size_t>(machines[m].type)];
    if (!machines[m].spot && kept_.count(names[m]) == 0)
      ordinary.emplace_back(-type.hourly / std::max(1.0, type.capacity[0]), m);
  }
  std::sort(ordinary.begin(), ordinary.end());
  const double reserve = kCordonReserve * used_cores_;
  for (const auto& [price, m] : ordinary) {
    const double own = room_now(m);
    if (free - own - waiting <= reserve) continue;
    free -= own;
    cordoned_.insert(names[m]);
  }
}

// ---------------------------------------------------------------- renting

void Fleet::rent(const std::vector<FleetPlan::Rent>& wanted) {
  const std::string name = "r-" + std::to_string(ctx_.fencing_token) + "-" + std::to_string(++next_name_);
  Rental rental;
  std::size_t bytes = kRentalFrame;
  const auto most_bytes = static_cast<std::size_t>(ctx_.settings->value_kb * 1024);
  for (const FleetPlan::Rent& each : wanted) {
    for (int left = each.count; left > 0 && rent_calls_ < kRentCalls; left -= 50) {
      const std::string own = name + "." + std::to_string(rental.requests.size());
      RentalRequest request = {own, ctx_.types->at(each.type).name, ctx_.zones->name(each.zone), each.spot,
                               std::min(50, left)};
      bytes += kRentalRequestFrame + request.machine_type.size() + request.zone.size();
      if (bytes > most_bytes && !rental.requests.empty()) break;  // what a record can't hold comes next time
      rental.requests.push_back(std::move(request));
      rental.open.insert(own);
      rent_calls_++;
    }
  }
  if (rental.requests.empty()) return;
  rental.at = ctx_.env->now();
  rentals_.emplace(name, std::move(rental));
  record_rental(name);
}

void Fleet::record_rental(const std::string& name) {
  const std::vector<RentalRequest> requests = rentals_.at(name).requests;
  Json list = Json::array();
  for (const RentalRequest& request : requests) {
    list.push_back({{"flavour", request.machine_type},
                    {"hall", request.zone},
                    {"loaner", request.spot},
                    {"how_many", request.how_many}});
  }
  Transaction txn;
  txn.guard(keys::shard(0), ctx_.fencing_token);
  txn.put(keys::rental(name), {{"requests", std::move(list)}});
  ctx_.state->commit(RequestPriority::kLaunch, txn, alive([this, name, requests](const StateReply& reply) {
                       if (reply.ok()) {
                         for (const RentalRequest& request : requests) call_rental(name, request);
                         return;
                       }
                       rent_calls_ = std::max(0, rent_calls_ - static_cast<int>(requests.size()));
                       // Not executed, or not known to be: in both cases nothing was asked of the cloud under
                       // these names, and they are not used again. A record that turns up later is repeated
                       // by a new owner and brings machines.
                       rentals_.erase(name);
                     }));
}

void Fleet::call_rental(const std::string& name, const RentalRequest& request) {
  if (rentals_.count(name) == 0) return;
  // Repeats pass the bucket like any other call: while the cloud was away they once ran up a debt of calls
  // that kept it from being asked for a minute after it was back.
  if (ctx_.env->now() < trouble_until_ || !ctx_.cloud->ready()) {
    const double pause = ctx_.env->now() < trouble_until_ ? ctx_.env->uniform(0.5, 1.0) : 0.1;
    ctx_.env->after(pause, alive([this, name, request] { call_rental(name, request); }));
    return;
  }
  ctx_.cloud->rent(
      request, alive([this, name, request](const CloudReply& reply) { on_rental(name, request, reply); }));
}

void Fleet::on_rental(const std::string& name, const RentalRequest& request, const CloudReply& reply) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  Rental& rental = found->second;
  const int type = ctx_.types->find(request.machine_type);
  const int zone = ctx_.zones->intern(request.zone);
  Market& market = markets_[{type, zone, request.spot}];
  const double now = ctx_.env->now();
  const bool rented = reply.status == 200 && reply.body.is_object();
  const bool no_capacity =
      reply.status == 503 && reply.body.is_object() && reply.body.value("error", "") == "no capacity";
  if (!rented && !no_capacity && reply.status != 400) {
    // Trouble, too many calls or silence: the same name again, until the answer is certain.
    trouble_until_ = now + kTrouble;
    ctx_.env->after(reply.status == 0 ? 1.0 : 2.0,
                    alive([this, name, request] { call_rental(name, request); }));
    return;
  }
  rental.open.erase(request.name);
  rent_calls_ = std::max(0, rent_calls_ - 1);
  if (!rented) {
    market.backoff = std::clamp(market.backoff * 1.5, 8.0, 40.0);
    market.refused_until = now + market.backoff;
    return;
  }
  int count = 0;
  const auto machine_names = reply.body.find("hosts");
  if (machine_names != reply.body.end() && machine_names->is_array()) {
    for (const Json& machine_name : *machine_names) {
      if (!machine_name.is_string()) continue;
      count++;
      auto [place, fresh] = rented_.try_emplace(machine_name.get<std::string>());
      if (!fresh) continue;
      place->second.type = type;
      place->second.zone = zone;
      place->second.spot = request.spot;
      place->second.rented_at = rental.at;
    }
  }
  spdlog::info("rented {} of {} {} in {}{} ({})", count, request.how_many, request.machine_type, request.zone,
               request.spot ? ", spot" : "", request.name);
  market.backoff = count < request.how_many ? 10 : 0;
  market.refused_until = count < request.how_many ? now + market.backoff : 0;
}

void Fleet::drop_rental(const std::string& name) {
  rentals_.erase(name);
  Transaction txn;
  txn.guard(keys::shard(0), ctx_.fencing_token);
  txn.remove(keys::rental(name));
  ctx_.state->commit(RequestPriority::kRest, txn, [](const StateReply&) {});
}

}  // namespace mothslip
