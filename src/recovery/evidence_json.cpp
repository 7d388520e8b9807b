// The JSON format in which controllers send evidence to one another.
#include <limits>

#include "recovery/evidence.hpp"

namespace mothslip::recovery {

namespace {

std::string to_text(const TaskSet& tasks) { return to_ranges(tasks).to_text(); }

std::optional<TaskSet> parse_task_set(const Json& value) {
  if (!value.is_string()) return std::nullopt;
  const auto ranges = RangeSet::from_text(value.get<std::string>(), kMaxTasksPerJob);
  if (!ranges) return std::nullopt;
  return to_task_set(*ranges);
}

// Field names of a job's evidence in JSON.
constexpr const char* kRecord = "head";
constexpr const char* kEnding = "ending";
constexpr const char* kHasStoredRecord = "in_store";
constexpr const char* kAccepted = "accepted";
constexpr const char* kAcceptedAtRevision = "accepted_at";  // absent in messages of earlier versions
constexpr const char* kOpenAtOwner = "owned";
constexpr const char* kOpenAtToken = "owned_token";  // absent in messages of earlier versions
constexpr const char* kWithoutDescription = "undescribed";
constexpr const char* kMayHaveEnded = "may_have_ended";
constexpr const char* kHeld = "held";
constexpr const char* kDone = "done";
constexpr const char* kReportedByWorker = "seen";
constexpr const char* kDelegated = "lent";     // object of task ranges by shard
constexpr const char* kPlacements = "placed";  // array of [task index, machine, attempt, owner's token]

// Earlier versions do not report some fencing tokens and revisions. The highest one stands for these: an
// owner of such a version counts as the last one, as it does in that version, and may know no endings.
constexpr std::uint64_t kUnknownRevision = std::numeric_limits<std::uint64_t>::max();

// Returns the number at this index of an array; kUnknownRevision if an earlier version has sent the array.
std::uint64_t number_or_unknown(const Json& array, std::size_t index) {
  return array.size() > index ? array.at(index).get<std::uint64_t>() : kUnknownRevision;
}

Json job_to_json(const JobEvidence& job) {
  Json out = Json::object();
  if (job.record) out[kRecord] = job.record->to_json();
  if (job.ending) out[kEnding] = wire_name(*job.ending);
  if (job.has_stored_record) out[kHasStoredRecord] = true;
  if (job.accepted_at_revision) {
    out[kAccepted] = true;
    out[kAcceptedAtRevision] = *job.accepted_at_revision;
  }
  if (job.open_at_token > 0) {
    out[kOpenAtOwner] = true;
    out[kOpenAtToken] = job.open_at_token;
  }
  if (job.without_description) out[kWithoutDescription] = true;
  if (job.may_have_ended) out[kMayHaveEnded] = true;
  if (!job.held.isEmpty()) out[kHeld] = to_text(job.held);
  if (!job.done.isEmpty()) out[kDone] = to_text(job.done);
  if (!job.reported_by_worker.isEmpty()) out[kReportedByWorker] = to_text(job.reported_by_worker);
  for (const auto& [shard, tasks] : job.delegated) out[kDelegated][std::to_string(shard)] = to_text(tasks);
  for (const auto& [place, placement] : job.placements)
    out[kPlacements].push_back({place.first, place.second, placement.attempt, placement.owner_token});
  return out;
}

// Throws Json::exception if a field is missing or has an unexpected type.
OwnerEvidence parse_owner(const Json& value) {
  OwnerEvidence out;
  out.token = value.at(1).get<std::uint64_t>();
  out.loaded = value.at(2).get<bool>();
  out.had_lease = value.at(3).get<bool>();
  out.lease_left_s = value.at(4).get<double>();
  out.endings_known_since = number_or_unknown(value, 5);
  return out;
}

// Throws Json::exception if a field has an unexpected type, and the std::exception of std::stoi if a shard is
// not a number.
std::optional<JobEvidence> parse_job(const Json& value) {
  JobEvidence out;
  if (value.contains(kRecord)) {
    out.record = JobRecord::from_json(value[kRecord]);
    if (!out.record) return std::nullopt;
  }
  if (value.contains(kEnding)) {
    const auto status = terminal_status(value[kEnding].get<std::string>(), 0);
    if (!status) return std::nullopt;
    out.ending = status->phase;
  }
  out.has_stored_record = value.value(kHasStoredRecord, false);
  if (value.value(kAccepted, false))
    out.accepted_at_revision = value.value(kAcceptedAtRevision, std::uint64_t{0});
  if (value.value(kOpenAtOwner, false)) out.open_at_token = value.value(kOpenAtToken, kUnknownRevision);
  const auto done = parse_task_set(value.value(kDone, Json("")));
  const auto reported_by_worker = parse_task_set(value.value(kReportedByWorker, Json("")));
  const auto held = parse_task_set(value.value(kHeld, Json("")));
  if (!done || !reported_by_worker || !held) return std::nullopt;
  out.without_description = value.value(kWithoutDescription, false);
  out.held = *held;
  out.may_have_ended = value.value(kMayHaveEnded, false);
  out.done = *done;
  out.reported_by_worker = *reported_by_worker;
  const Json delegated = value.value(kDelegated, Json::object());
  for (const auto& [shard, tasks] : delegated.items()) {
    const auto set = parse_task_set(tasks);
    if (!set) return std::nullopt;
    out.delegated[std::stoi(shard)] = *set;
  }
  const Json placements = value.value(kPlacements, Json::array());
  for (const Json& placed : placements) {
    const std::pair place(placed.at(0).get<int>(), placed.at(1).get<std::string>());
    out.placements[place] = {placed.at(2).get<std::uint64_t>(), number_or_unknown(placed, 3)};
  }
  return out;
}

}  // namespace

// Each owner is an array: shard, token, loaded, had_lease, lease_left_s, endings_known_since.
Json Evidence::to_json() const {
  Json out = {{"shards", shards}, {"newest", newest_revision}};
  for (const auto& [shard, owner] : owners)
    out["owners"].push_back(
        {shard, owner.token, owner.loaded, owner.had_lease, owner.lease_left_s, owner.endings_known_since});
  for (const auto& [name, machine] : machines) out["machines"][name] = machine.to_json();
  for (const auto& [ref, job] : jobs) out["jobs"][ref] = job_to_json(job);
  return out;
}

std::optional<Evidence> Evidence::from_json(const Json& value) {
  if (!value.is_object()) return std::nullopt;
  Evidence out;
  try {
    out.shards = value.at("shards").get<int>();
    out.newest_revision = value.at("newest").get<std::uint64_t>();
    const Json owner_list = value.value("owners", Json::array());
    for (const Json& owner : owner_list) out.owners[owner.at(0).get<int>()] = parse_owner(owner);
    const Json machine_map = value.value("machines", Json::object());
    for (const auto& [name, machine] : machine_map.items()) {
      auto record = MachineRecord::from_json(machine);
      if (!record) return std::nullopt;
      out.machines.emplace(name, std::move(*record));
    }
    const Json job_map = value.value("jobs", Json::object());
    for (const auto& [ref, job] : job_map.items()) {
      auto evidence = parse_job(job);
      if (!evidence || !is_valid_ref(ref)) return std::nullopt;
      out.jobs.emplace(ref, std::move(*evidence));
    }
  } catch (const std::exception&) {  // thrown by the JSON library, or by std::stoi for a shard that is not a
                                     // number
    return std::nullopt;
  }
  return out;
}

}  // namespace mothslip::recovery
