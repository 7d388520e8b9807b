#include "coordination/shard/shard_messages.hpp"

namespace mothslip {

namespace {

// Reads a message and converts JSON errors, such as a missing field, to MalformedMessage.
template <typename Read>
auto read_message(const char* message_name, Read read) {
  try {
    return read();
  } catch (const Json::exception& error) {
    throw MalformedMessage(std::string(message_name) + ": " + error.what());
  }
}

// An offer is sent as a list. Earlier versions do not send the last item.
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
  return {offer.machine_type,     offer.zone,         offer.spot,
          offer.room[0],          offer.room[1],      offer.room[2],
          offer.large_tasks_only, Json(offer.images), offer.excludes_best_effort};
}

RoomOffer offer_from_json(const Json& value) {
  RoomOffer out;
  out.machine_type = value.at(kOfferType).get<std::string>();
  out.zone = value.at(kOfferZone).get<std::string>();
  out.spot = value.at(kOfferSpot).get<bool>();
  out.room = {value.at(kOfferCores).get<double>(), value.at(kOfferMemory).get<double>(),
              value.at(kOfferAccelerators).get<double>()};
  out.large_tasks_only = value.at(kOfferOnlyLarge).get<bool>();
  out.images = value.at(kOfferImages).get<std::vector<std::string>>();
  out.excludes_best_effort = value.size() > kOfferNoBestEffort && value.at(kOfferNoBestEffort).get<bool>();
  return out;
}

// A shortfall is sent as a list. The last two items are present only if `starving` is true.
enum ShortfallField : std::size_t {
  kShortfallTeam = 0,
  kShortfallCores,
  kShortfallGpus,
  kShortfallStarving,
  kShortfallStartableCores,
  kShortfallStartableGpus,
};

Json shortfall_to_json(const QuotaShortfall& shortfall) {
  Json out = {shortfall.team, shortfall.cores, shortfall.gpus, shortfall.starving};
  if (shortfall.startable_shortfall) {
    out.push_back(shortfall.startable_shortfall->cores);
    out.push_back(shortfall.startable_shortfall->gpus);
  }
  return out;
}

QuotaShortfall shortfall_from_json(const Json& value) {
  QuotaShortfall out;
  out.team = value.at(kShortfallTeam).get<int>();
  out.cores = value.at(kShortfallCores).get<double>();
  out.gpus = value.at(kShortfallGpus).get<double>();
  out.starving = value.at(kShortfallStarving).get<bool>();
  if (value.size() > kShortfallStartableGpus) {
    out.startable_shortfall = QuotaAmount{value.at(kShortfallStartableCores).get<double>(),
                                          value.at(kShortfallStartableGpus).get<double>()};
  }
  return out;
}

}  // namespace

QuotaAmount& TaskRequest::spare_quota_of(int team) {
  const auto index = static_cast<std::size_t>(team);
  if (index >= spare_quotas.size())
    throw MalformedMessage("task request: no spare quota for team " + std::to_string(team));
  return spare_quotas[index];
}

Json TaskRequest::to_json() const {
  Json rooms = Json::array();
  for (const RoomOffer& offer : offers) rooms.push_back(offer_to_json(offer));
  Json quotas = Json::array();
  for (const QuotaAmount& quota : spare_quotas) quotas.push_back({quota.cores, quota.gpus});
  return {{"part", shard},
          {"baton", fencing_token},
          {"rooms", std::move(rooms)},
          {"spare", std::move(quotas)},
          {"gangs", can_run_gangs}};
}

TaskRequest TaskRequest::from_json(const Json& value) {
  return read_message("task request", [&value] {
    TaskRequest out;
    out.shard = value.at("part").get<int>();
    out.fencing_token = value.at("baton").get<std::uint64_t>();
    for (const Json& offer : value.at("rooms")) out.offers.push_back(offer_from_json(offer));
    for (const Json& quota : value.at("spare"))
      out.spare_quotas.push_back({quota.at(0).get<double>(), quota.at(1).get<double>()});
    out.can_run_gangs = value.value("gangs", false);
    return out;
  });
}

Json TaskReply::to_json() const { return {{"lent", delegated}}; }

TaskReply TaskReply::from_json(const Json& value) { return {value.is_object() ? value.value("lent", 0) : 0}; }

Json QuotaRequest::to_json() const {
  Json list = Json::array();
  for (const QuotaShortfall& shortfall : shortfalls) list.push_back(shortfall_to_json(shortfall));
  return {{"part", shard}, {"wants", std::move(list)}};
}

QuotaRequest QuotaRequest::from_json(const Json& value) {
  return read_message("quota request", [&value] {
    QuotaRequest out;
    out.shard = value.at("part").get<int>();
    for (const Json& shortfall : value.at("wants")) out.shortfalls.push_back(shortfall_from_json(shortfall));
    return out;
  });
}

Json GangCapacityRequest::to_json() const { return {{"job", job_to_json(job)}}; }

GangCapacityRequest GangCapacityRequest::from_json(const Json& value) {
  return read_message("gang capacity request", [&value] {
    std::string bad_field;
    const auto spec = parse_job(value.at("job"), bad_field);
    if (!spec) throw MalformedMessage("gang capacity request: bad field " + bad_field);
    if (!spec->is_gang) throw MalformedMessage("gang capacity request: the job is not a gang");
    return GangCapacityRequest{*spec};
  });
}

Json GangCapacityReply::to_json() const { return {{"capacity", has_capacity}, {"baton", fencing_token}}; }

GangCapacityReply GangCapacityReply::from_json(const Json& value) {
  if (!value.is_object()) return {};
  return {value.value("capacity", false), value.value("baton", std::uint64_t{0})};
}

Json GangState::to_json() const { return {{"ref", ref}, {"running", is_running}}; }

GangState GangState::from_json(const Json& value) {
  return read_message("gang state", [&value] {
    return GangState{value.at("ref").get<std::string>(), value.at("running").get<bool>()};
  });
}

Json CancellationNotice::to_json() const { return {{"ref", ref}}; }

CancellationNotice CancellationNotice::from_json(const Json& value) { return {value.value("ref", "")}; }

Json CancellationReply::to_json() const {
  return {{"noted", acknowledged}, {"valid", lease_valid}, {"baton", fencing_token}};
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
