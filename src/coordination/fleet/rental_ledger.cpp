#include "coordination/fleet/rental_ledger.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kRetryLoadSeconds = 0.5;
constexpr double kKeepSeconds = 60.0;      // a rental's record, after it was asked for
constexpr double kTroubleSeconds = 2.0;    // the cloud is left alone this long after it failed to answer
constexpr double kUnansweredRepeat = 1.0;  // seconds until a call without a response is repeated
constexpr double kFailedRepeat = 2.0;      // seconds until a call that failed is repeated
constexpr double kBucketPause = 0.1;       // seconds until a call that the token bucket holds back is retried
constexpr int kMaxOpenCalls = 24;
constexpr int kMaxMachinesPerCall = 50;         // that the cloud takes
constexpr std::size_t kRecordFrameBytes = 40;   // of a rental's record without its requests
constexpr std::size_t kRequestFrameBytes = 60;  // of a request in it without its names
constexpr double kPartlyRentedBackoff = 10.0;   // seconds: the market had less than was asked for
constexpr double kRefusedBackoffLeast = 8.0;    // seconds: it had none
constexpr double kRefusedBackoffMost = 40.0;    // seconds
constexpr double kRefusedBackoffGrowth = 1.5;
}  // namespace

RentalLedger::RentalLedger(const RentalServices& services, MachineInventory& inventory,
                           std::uint64_t fencing_token)
    : services_(services), inventory_(inventory), fencing_token_(fencing_token) {}

void RentalLedger::load(std::function<void()> done) {
  auto on_list = [this, done = std::move(done)](Outcome outcome, const std::vector<StateItem>& items,
                                                std::uint64_t) {
    if (outcome != Outcome::kOk) {
      services_.env.after(kRetryLoadSeconds, callbacks_([this, done] { load(done); }));
      return;
    }
    adopt(items);
    done();
  };
  services_.state.list(RequestPriority::kRest, keys::kRentals, callbacks_(std::move(on_list)));
}

void RentalLedger::adopt(const std::vector<StateItem>& items) {
  for (const StateItem& item : items) {
    const std::string name = item.key.substr(keys::kRentals.size());
    Rental rental;
    rental.asked_at = services_.env.now();
    rental.requests = RentalRecord::from_json(name, item.data).requests;
    for (const RentalRequest& request : rental.requests) rental.open.insert(request.name);
    open_calls_ += static_cast<int>(rental.requests.size());
    rentals_.emplace(name, rental);
    for (const RentalRequest& request : rental.requests) call(name, request);
  }
}

bool RentalLedger::accepts_requests() const {
  return open_calls_ < kMaxOpenCalls && services_.env.now() >= trouble_until_;
}

void RentalLedger::rent(const std::vector<FleetPlan::NewMachines>& wanted) {
  const std::string name = "r-" + std::to_string(fencing_token_) + "-" + std::to_string(++last_name_);
  Rental rental;
  std::size_t bytes = kRecordFrameBytes;
  const auto most_bytes = static_cast<std::size_t>(services_.settings.value_kb * 1024);
  for (const FleetPlan::NewMachines& each : wanted) {
    for (int left = each.count; left > 0 && open_calls_ < kMaxOpenCalls; left -= kMaxMachinesPerCall) {
      RentalRequest request = {RentalRecord::request_name(name, rental.requests.size()),
                               services_.types.at(each.type).name, services_.zones.name(each.zone), each.spot,
                               std::min(kMaxMachinesPerCall, left)};
      bytes += kRequestFrameBytes + request.machine_type.size() + request.zone.size();
      if (bytes > most_bytes && !rental.requests.empty()) break;  // what a record can't hold comes next time
      rental.open.insert(request.name);
      rental.requests.push_back(std::move(request));
      open_calls_++;
    }
  }
  if (rental.requests.empty()) return;
  rental.asked_at = services_.env.now();
  rentals_.emplace(name, std::move(rental));
  record(name);
}

void RentalLedger::record(const std::string& name) {
  const std::vector<RentalRequest> requests = rentals_.at(name).requests;
  Transaction txn;
  txn.guard(keys::shard_owner(0), fencing_token_);
  txn.put(keys::rental(name), RentalRecord{requests}.to_json());
  auto on_commit = [this, name, requests](const StateReply& reply) {
    if (reply.ok()) {
      for (const RentalRequest& request : requests) call(name, request);
      return;
    }
    end_calls(static_cast<int>(requests.size()));
    // Not executed, or not known to be: in both cases nothing was asked of the cloud under these names, and
    // they are not used again. A record that turns up later is repeated by a new leader and brings machines.
    rentals_.erase(name);
  };
  services_.state.commit(RequestPriority::kLaunch, txn, callbacks_(std::move(on_commit)));
}

void RentalLedger::call(const std::string& name, const RentalRequest& request) {
  if (rentals_.count(name) == 0) return;
  // Repeats pass the token bucket like any other call: while the cloud was away they once ran up a debt of
  // calls that kept it from being asked for a minute after it was back.
  const bool trouble = services_.env.now() < trouble_until_;
  if (trouble || !services_.cloud.ready()) {
    const double pause_s = trouble ? services_.env.uniform(0.5, 1.0) : kBucketPause;
    services_.env.after(pause_s, callbacks_([this, name, request] { call(name, request); }));
    return;
  }
  services_.cloud.rent(request, callbacks_([this, name, request](const CloudReply& reply) {
                         on_reply(name, request, reply);
                       }));
}

void RentalLedger::on_reply(const std::string& name, const RentalRequest& request, const CloudReply& reply) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  Rental& rental = found->second;
  const MarketKey key = {services_.types.find(request.machine_type), services_.zones.intern(request.zone),
                         request.spot};
  const RentalAnswer answer = RentalAnswer::from_reply(reply.status, reply.body);
  if (answer.outcome == RentalAnswer::Outcome::kUncertain) {
    on_uncertain(name, request, reply.status);
    return;
  }
  rental.open.erase(request.name);
  end_calls(1);
  if (answer.outcome == RentalAnswer::Outcome::kRented) {
    on_rented(request, key, rental.asked_at, answer.machine_names);
    return;
  }
  Market& market = markets_[key];
  market.backoff_s =
      std::clamp(market.backoff_s * kRefusedBackoffGrowth, kRefusedBackoffLeast, kRefusedBackoffMost);
  market.refused_until = services_.env.now() + market.backoff_s;
}

// Trouble, too many calls or silence: the same name again, until the answer is certain.
void RentalLedger::on_uncertain(const std::string& name, const RentalRequest& request, int status) {
  trouble_until_ = services_.env.now() + kTroubleSeconds;
  services_.env.after(status == 0 ? kUnansweredRepeat : kFailedRepeat,
                      callbacks_([this, name, request] { call(name, request); }));
}

void RentalLedger::on_rented(const RentalRequest& request, const MarketKey& key, double asked_at,
                             const std::vector<std::string>& machine_names) {
  const auto [type, zone, spot] = key;
  for (const std::string& machine_name : machine_names) {
    inventory_.add_rented(machine_name, type, zone, spot, asked_at);
  }
  const auto count = static_cast<int>(machine_names.size());
  spdlog::info("rented {} of {} {} in {}{} ({})", count, request.how_many, request.machine_type, request.zone,
               request.spot ? ", spot" : "", request.name);
  const bool partly = count < request.how_many;
  Market& market = markets_[key];
  market.backoff_s = partly ? kPartlyRentedBackoff : 0;
  market.refused_until = partly ? services_.env.now() + market.backoff_s : 0;
}

bool RentalLedger::is_refused(int type, int zone, bool spot) const {
  const auto market = markets_.find({type, zone, spot});
  return market != markets_.end() && services_.env.now() < market->second.refused_until;
}

void RentalLedger::for_each_open(const std::function<void(const OpenRequest&)>& visit) const {
  for (const auto& [name, rental] : rentals_) {
    for (const RentalRequest& request : rental.requests) {
      if (rental.open.count(request.name) > 0) visit({request, rental.asked_at});
    }
  }
}

void RentalLedger::drop_ended() {
  for (auto it = rentals_.begin(); it != rentals_.end();) {
    const std::string name = it->first;
    const bool ended = it->second.open.empty();
    const bool old = services_.env.now() - it->second.asked_at > kKeepSeconds;
    ++it;
    if (ended && old) drop(name);
  }
}

void RentalLedger::drop(const std::string& name) {
  rentals_.erase(name);
  Transaction txn;
  txn.guard(keys::shard_owner(0), fencing_token_);
  txn.remove(keys::rental(name));
  services_.state.commit(RequestPriority::kRest, txn, [](const StateReply&) {});
}

void RentalLedger::end_calls(int count) { open_calls_ = std::max(0, open_calls_ - count); }

}  // namespace mothslip
