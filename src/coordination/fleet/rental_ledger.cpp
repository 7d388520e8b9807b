#include "coordination/fleet/rental_ledger.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kLoadRetrySeconds = 0.5;
constexpr double kRecordRetentionSeconds = 60.0;  // from the time of the request
constexpr double kFailurePauseSeconds = 2.0;      // pause of all calls after one whose outcome is uncertain
constexpr double kUnansweredRetrySeconds = 1.0;   // retry delay of a call without a response
constexpr double kFailedRetrySeconds = 2.0;       // retry delay of a call that failed
constexpr double kTokenRetrySeconds = 0.1;        // retry delay while the token bucket is empty
constexpr int kMaxOpenCalls = 24;
constexpr int kMaxMachinesPerCall = 50;                // the cloud's limit
constexpr std::size_t kRecordOverheadBytes = 40;       // size of a rental's record without its requests
constexpr std::size_t kRequestOverheadBytes = 60;      // size of a request in the record without its names
constexpr double kPartialRentalBackoffSeconds = 10.0;  // the market had fewer machines than requested
constexpr double kMinRefusalBackoffSeconds = 8.0;      // the market had no machines
constexpr double kMaxRefusalBackoffSeconds = 40.0;
constexpr double kRefusalBackoffFactor = 1.5;
}  // namespace

RentalLedger::RentalLedger(const RentalServices& services, MachineInventory& inventory,
                           std::uint64_t fencing_token)
    : services_(services), inventory_(inventory), fencing_token_(fencing_token) {}

void RentalLedger::load(std::function<void()> done) {
  auto on_list = [this, done = std::move(done)](Outcome outcome, const std::vector<StateItem>& items,
                                                std::uint64_t) {
    if (outcome != Outcome::kOk) {
      services_.env.after(kLoadRetrySeconds, callback_guard_([this, done] { load(done); }));
      return;
    }
    resume(items);
    done();
  };
  services_.state.list(RequestPriority::kOther, keys::kRentals, callback_guard_(std::move(on_list)));
}

void RentalLedger::resume(const std::vector<StateItem>& items) {
  for (const StateItem& item : items) {
    const std::string name = item.key.substr(keys::kRentals.size());
    Rental rental;
    rental.requested_at = services_.env.now();
    rental.requests = RentalRecord::from_json(name, item.data).requests;
    for (const RentalRequest& request : rental.requests) rental.open_requests.insert(request.name);
    open_calls_ += static_cast<int>(rental.requests.size());
    rentals_.emplace(name, rental);
    for (const RentalRequest& request : rental.requests) call(name, request);
  }
}

bool RentalLedger::accepts_requests() const {
  return open_calls_ < kMaxOpenCalls && services_.env.now() >= paused_until_;
}

void RentalLedger::rent(const std::vector<FleetPlan::NewMachines>& wanted) {
  const std::string name =
      "r-" + std::to_string(fencing_token_) + "-" + std::to_string(++last_rental_number_);
  Rental rental;
  std::size_t bytes = kRecordOverheadBytes;
  const auto max_bytes = static_cast<std::size_t>(services_.settings.value_kb * 1024);
  for (const FleetPlan::NewMachines& each : wanted) {
    for (int left = each.count; left > 0 && open_calls_ < kMaxOpenCalls; left -= kMaxMachinesPerCall) {
      RentalRequest request = {RentalRecord::request_name(name, rental.requests.size()),
                               services_.types.at(each.type).name, services_.zones.name(each.zone), each.spot,
                               std::min(kMaxMachinesPerCall, left)};
      bytes += kRequestOverheadBytes + request.machine_type.size() + request.zone.size();
      if (bytes > max_bytes && !rental.requests.empty())
        break;  // the next plan requests what the record cannot hold
      rental.open_requests.insert(request.name);
      rental.requests.push_back(std::move(request));
      open_calls_++;
    }
  }
  if (rental.requests.empty()) return;
  rental.requested_at = services_.env.now();
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
    subtract_open_calls(static_cast<int>(requests.size()));
    // The write has not been executed, or its outcome is unknown. In both cases, no request was sent under
    // these names, and they are not used again. If the record exists after all, a new leader sends its
    // requests and rents the machines.
    rentals_.erase(name);
  };
  services_.state.commit(RequestPriority::kLaunch, txn, callback_guard_(std::move(on_commit)));
}

void RentalLedger::call(const std::string& name, const RentalRequest& request) {
  if (rentals_.count(name) == 0) return;
  // Repeated calls take tokens from the bucket like any other call. When they did not, an outage of the cloud
  // left the bucket with a negative balance that blocked all calls for a minute after the outage.
  const bool is_paused = services_.env.now() < paused_until_;
  if (is_paused || !services_.cloud.can_call()) {
    const double pause_s = is_paused ? services_.env.uniform(0.5, 1.0) : kTokenRetrySeconds;
    services_.env.after(pause_s, callback_guard_([this, name, request] { call(name, request); }));
    return;
  }
  services_.cloud.rent_machines(request, callback_guard_([this, name, request](const CloudReply& reply) {
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
  rental.open_requests.erase(request.name);
  subtract_open_calls(1);
  if (answer.outcome == RentalAnswer::Outcome::kRented) {
    on_rented(request, key, rental.requested_at, answer.machine_names);
    return;
  }
  Market& market = markets_[key];
  market.backoff_s = std::clamp(market.backoff_s * kRefusalBackoffFactor, kMinRefusalBackoffSeconds,
                                kMaxRefusalBackoffSeconds);
  market.refused_until = services_.env.now() + market.backoff_s;
}

// Handles an error, a rejection by the rate limit or a missing response. The call is repeated under the same
// name until the outcome is certain.
void RentalLedger::on_uncertain(const std::string& name, const RentalRequest& request, int status) {
  paused_until_ = services_.env.now() + kFailurePauseSeconds;
  services_.env.after(status == 0 ? kUnansweredRetrySeconds : kFailedRetrySeconds,
                      callback_guard_([this, name, request] { call(name, request); }));
}

void RentalLedger::on_rented(const RentalRequest& request, const MarketKey& key, double requested_at,
                             const std::vector<std::string>& machine_names) {
  const auto [type, zone, spot] = key;
  for (const std::string& machine_name : machine_names) {
    inventory_.add_rented(machine_name, type, zone, spot, requested_at);
  }
  const auto count = static_cast<int>(machine_names.size());
  spdlog::info("rented {} of {} requested machines of type {} in zone {}{} (request {})", count,
               request.machine_count, request.machine_type, request.zone, request.spot ? ", spot" : "",
               request.name);
  const bool is_partial = count < request.machine_count;
  Market& market = markets_[key];
  market.backoff_s = is_partial ? kPartialRentalBackoffSeconds : 0;
  market.refused_until = is_partial ? services_.env.now() + market.backoff_s : 0;
}

bool RentalLedger::is_refused(int type, int zone, bool spot) const {
  const auto market = markets_.find({type, zone, spot});
  return market != markets_.end() && services_.env.now() < market->second.refused_until;
}

void RentalLedger::for_each_open_request(const std::function<void(const OpenRequest&)>& visit) const {
  for (const auto& [name, rental] : rentals_) {
    for (const RentalRequest& request : rental.requests) {
      if (rental.open_requests.count(request.name) > 0) visit({request, rental.requested_at});
    }
  }
}

void RentalLedger::remove_ended_records() {
  for (auto it = rentals_.begin(); it != rentals_.end();) {
    const std::string name = it->first;
    const bool ended = it->second.open_requests.empty();
    const bool is_expired = services_.env.now() - it->second.requested_at > kRecordRetentionSeconds;
    ++it;
    if (ended && is_expired) remove_record(name);
  }
}

void RentalLedger::remove_record(const std::string& name) {
  rentals_.erase(name);
  Transaction txn;
  txn.guard(keys::shard_owner(0), fencing_token_);
  txn.remove(keys::rental(name));
  services_.state.commit(RequestPriority::kOther, txn, [](const StateReply&) {});
}

void RentalLedger::subtract_open_calls(int count) { open_calls_ = std::max(0, open_calls_ - count); }

}  // namespace mothslip
