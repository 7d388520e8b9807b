#include "coordination/shard/shard_messages.hpp"

namespace mothslip {

namespace {

// Reads a message; whatever the JSON lacks becomes a MalformedMessage.
template <typename Read>
auto read_message(const char* what, Read read) {
  try {
    return read();
  } catch (const Json::exception& error) {
    throw MalformedMessage(std::string(what) + ": " + error.what());
  }
}

// An offer travels as a list; the last item came later.
enum OfferField : std::size_t {
  kOfferType = 0,
  kOfferZone,
  kOfferSpot,
  kOfferCores,
  kOfferMemory,
  kOfferAccelerators,
  kOfferOnlyLarge,
  kOfferImages,
  kOfferNoBestEffort,
};

Json offer_to_json(const RoomOffer& offer) {
  return {offer.machine_type, offer.zone,       offer.spot,         offer.room[0],       offer.room[1],
          offer.room[2],      offer.only_large, Json(offer.images), offer.no_best_effort};
}

RoomOffer offer_from_json(const Json& value) {
  RoomOffer out;
  out.machine_type = value.at(kOfferType).get<std::string>();
  out.zone = value.at(kOfferZone).get<std::string>();
  out.spot = value.at(kOfferSpot).get<bool>();
  out.room = {value.at(kOfferCores).get<double>(), value.at(kOfferMemory).get<double>(),
              value.at(kOfferAccelerators).get<double>()};
  out.only_large = value.at(kOfferOnlyLarge).get<bool>();
  out.images = value.at(kOfferImages).get<std::vector<std::string>>();
  out.no_best_effort = value.size() > kOfferNoBestEffort && value.at(kOfferNoBestEffort).get<bool>();
  return out;
}

// A want travels as a list; the last two items are there only with `starving`.
enum WantField : std::size_t {
  kWantTeam = 0,
  kWantCores,
  kWantGpus,
  kWantStarving,
  kWantStartableCores,
  kWantStartableGpus,
};

Json want_to_json(const QuotaWant& want) {
  Json out = {want.team, want.cores, want.gpus, want.starving};
  if (want.startable) {
    out.push_back(want.startable->cores);
    out.push_back(want.startable->gpus);
  }
  return out;
}

QuotaWant want_from_json(const Json& value) {
  QuotaWant out;
  out.team = value.at(kWantTeam).get<int>();
  out.cores = value.at(kWantCores).get<double>();
  out.gpus = value.at(kWantGpus).get<double>();
  out.starving = value.at(kWantStarving).get<bool>();
  if (value.size() > kWantStartableGpus) {
    out.startable =
        SpareQuota{value.at(kWantStartableCores).get<double>(), value.at(kWantStartableGpus).get<double>()};
  }
  return out;
}

}  // namespace

SpareQuota& TaskRequest::spare_of(int team) {
  const auto at = static_cast<std::size_t>(team);
  if (at >= spare.size()) throw MalformedMessage("task request: no quota of team " + std::to_string(team));
  return spare[at];
}

Json TaskRequest::to_json() const {
  Json rooms = Json::array();
  for (const RoomOffer& offer : offers) rooms.push_back(offer_to_json(offer));
  Json quotas = Json::array();
  for (const SpareQuota& quota : spare) quotas.push_back({quota.cores, quota.gpus});
  return {{"part", shard},
          {"baton", fencing_token},
          {"rooms", std::move(rooms)},
          {"spare", std::move(quotas)},
          {"gangs", gangs}};
}

TaskRequest TaskRequest::from_json(const Json& value) {
  return read_message("task request", [&value] {
    TaskRequest out;
    out.shard = value.at("part").get<int>();
    out.fencing_token = value.at("baton").get<std::uint64_t>();
    for (const Json& offer : value.at("rooms")) out.offers.push_back(offer_from_json(offer));
    for (const Json& quota : value.at("spare"))
      out.spare.push_back({quota.at(0).get<double>(), quota.at(1).get<double>()});
    out.gangs = value.value("gangs", false);
    return out;
  });
}

Json TaskReply::to_json() const { return {{"lent", delegated}}; }

TaskReply TaskReply::from_json(const Json& value) { return {value.is_object() ? value.value("lent", 0) : 0}; }

Json QuotaRequest::to_json() const {
  Json list = Json::array();
  for (const QuotaWant& want : wants) list.push_back(want_to_json(want));
  return {{"part", shard}, {"wants", std::move(list)}};
}

QuotaRequest QuotaRequest::from_json(const Json& value) {
  return read_message("quota request", [&value] {
    QuotaRequest out;
    out.shard = value.at("part").get<int>();
    for (const Json& want : value.at("wants")) out.wants.push_back(want_from_json(want));
    return out;
  });
}

Json GangCapacityRequest::to_json() const { return {{"job", job_to_json(job)}}; }

GangCapacityRequest GangCapacityRequest::from_json(const Json& value) {
  return read_message("gang capacity request", [&value] {
    std::string bad_field;
    const auto spec = parse_job(value.at("job"), bad_field);
    if (!spec) throw MalformedMessage("gang capacity request: " + bad_field);
    if (!spec->is_gang) throw MalformedMessage("gang capacity request: no gang");
    return GangCapacityRequest{*spec};
  });
}

Json GangCapacityReply::to_json() const { return {{"capacity", capacity}, {"baton", fencing_token}}; }

GangCapacityReply GangCapacityReply::from_json(const Json& value) {
  if (!value.is_object()) return {};
  return {value.value("capacity", false), value.value("baton", std::uint64_t{0})};
}

Json GangState::to_json() const { return {{"ref", ref}, {"running", running}}; }

GangState GangState::from_json(const Json& value) {
  return read_message("gang state", [&value] {
    return GangState{value.at("ref").get<std::string>(), value.at("running").get<bool>()};
  });
}

Json CancellationNotice::to_json() const { return {{"ref", ref}}; }

CancellationNotice CancellationNotice::from_json(const Json& value) { return {value.value("ref", "")}; }

Json CancellationReply::to_json() const {
  return {{"noted", noted}, {"valid", lease_valid}, {"baton", fencing_token}};
}

std::optional<CancellationReply> CancellationReply::from_json(const Json& value) {
  if (!value.is_object() || !value.contains("noted")) return std::nullopt;
  return CancellationReply{value.value("noted", false), value.value("valid", false),
                           value.value("baton", std::uint64_t{0})};
}

Json QuotaSplit::to_json() const { return {{"c", cores}, {"g", gpus}}; }

QuotaSplit QuotaSplit::from_json(const Json& value) {
  return read_message("quota split", [&value] {
    return QuotaSplit{value.at("c").get<std::vector<double>>(), value.at("g").get<std::vector<double>>()};
  });
}

}  // namespace mothslip
