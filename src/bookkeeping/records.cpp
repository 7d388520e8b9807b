#include "bookkeeping/records.hpp"

#include <algorithm>
#include <utility>

namespace mothslip {

namespace {

// Stored names of the fields. They are part of the on-disk format.
namespace job_fields {
constexpr const char* kSpec = "job";
constexpr const char* kSubmitted = "at";
constexpr const char* kPhase = "phase";
constexpr const char* kCancelled = "aborted";  // the only value that the phase has in a job record
constexpr const char* kCancelledWhileDelegated = "spread";
}  // namespace job_fields

// The names have one letter each because a segment may contain thousands of machines.
namespace machine_fields {
constexpr const char* kAddress = "a";
constexpr const char* kType = "f";
constexpr const char* kZone = "z";
constexpr const char* kSpot = "s";
constexpr const char* kIncarnation = "t";
constexpr const char* kPlacements = "p";  // by job: index, attempt, index, attempt, ...
constexpr const char* kStopping = "x";
}  // namespace machine_fields

namespace segment_fields {
constexpr const char* kMachines = "m";
constexpr const char* kDone = "d";
}  // namespace segment_fields

namespace delegation_fields {
constexpr const char* kHome = "home";
constexpr const char* kJobRevision = "stamp";
constexpr const char* kSucceededElsewhere = "works";
constexpr const char* kFoundFaulty = "fails";
constexpr const char* kJob = "head";
constexpr const char* kRange = "range";
}  // namespace delegation_fields

namespace unaccounted_fields {
constexpr const char* kHeld = "held";
constexpr const char* kReason = "reason";
constexpr const char* kTeam = "team";
constexpr const char* kClass = "class";
constexpr const char* kAllHeld = "all";
constexpr const char* kRerun = "rerun";
constexpr const char* kMayHaveEnded = "may_have_ended";
}  // namespace unaccounted_fields

// Field of delegation and progress records: ranges of completed tasks as text.
constexpr const char* kDone = "done";

constexpr const char* kNotAnObject = "not a JSON object";
constexpr const char* kMissing = "missing";
constexpr const char* kNotRanges = "not a valid list of task index ranges";

// Stores the problem in `error`, if it is given, and returns the empty result for the caller to return.
std::nullopt_t unreadable(RecordError* error, std::string field, std::string problem) {
  if (error != nullptr) *error = {std::move(field), std::move(problem)};
  return std::nullopt;
}

// The same for a record nested in `field` of this one: the reported field is the path to the nested field.
std::nullopt_t unreadable_nested(RecordError* error, const std::string& field, const RecordError& inner) {
  return unreadable(error, inner.field.empty() ? field : field + "." + inner.field, inner.problem);
}

// Reads required fields and remembers the last one requested, which is the one that caused the problem if the
// JSON library throws an exception.
class RequiredFields {
 public:
  explicit RequiredFields(const Json& value) : value_(value) {}

  [[nodiscard]] const char* last() const { return last_; }
  const Json& at(const char* field) {
    last_ = field;
    return value_.at(field);
  }
  template <class T>
  T get(const char* field) {
    return at(field).template get<T>();
  }

 private:
  const Json& value_;
  const char* last_ = "";
};

// Appends the placements of one job on a machine to `out`. The list alternates task index and attempt.
void read_placements(const std::string& ref, const Json& list, std::vector<PlacementRecord>& out) {
  for (std::size_t i = 0; i + 1 < list.size(); i += 2)
    out.push_back({ref, list[i].get<int>(), list[i + 1].get<std::uint64_t>()});
}

}  // namespace

std::string RecordError::to_text() const { return field.empty() ? problem : field + ": " + problem; }

// ---------------------------------------------------------------- jobs

Json JobRecord::to_json() const {
  Json out = {{job_fields::kSpec, job_to_json(spec)}, {job_fields::kSubmitted, submitted_at}};
  if (cancelled) out[job_fields::kPhase] = job_fields::kCancelled;
  if (cancelled_while_delegated) out[job_fields::kCancelledWhileDelegated] = true;
  return out;
}

bool shows_cancellation(const Json& job_record) {
  return job_record.is_object() && job_record.value(job_fields::kPhase, "") == job_fields::kCancelled;
}

std::optional<JobRecord> JobRecord::from_json(const Json& value, RecordError* error) {
  if (!value.is_object()) return unreadable(error, "", kNotAnObject);
  if (!value.contains(job_fields::kSpec)) return unreadable(error, job_fields::kSpec, kMissing);
  std::string why;
  auto spec = parse_job(value[job_fields::kSpec], why);
  if (!spec) return unreadable(error, job_fields::kSpec, why);
  JobRecord out;
  out.spec = std::move(*spec);
  out.submitted_at = value.value(job_fields::kSubmitted, 0.0);
  out.cancelled = value.value(job_fields::kPhase, "") == job_fields::kCancelled;
  out.cancelled_while_delegated = value.value(job_fields::kCancelledWhileDelegated, false);
  return out;
}

Json ProgressRecord::to_json() const { return {{kDone, done.to_text()}}; }

std::optional<ProgressRecord> ProgressRecord::from_json(const Json& value, int task_count,
                                                        RecordError* error) {
  auto done = RangeSet::from_text(value.value(kDone, ""), task_count);
  if (!done) return unreadable(error, kDone, kNotRanges);
  return ProgressRecord{std::move(*done)};
}

Json ending_json(const char* phase, int task_count) { return {{"phase", phase}, {"pieces", task_count}}; }

// ---------------------------------------------------------------- the journal

Json MachineRecord::to_json() const {
  std::map<std::string, Json> by_job;
  for (const PlacementRecord& item : placements) {
    Json& list = by_job.try_emplace(item.ref, Json::array()).first->second;
    list.push_back(item.index);
    list.push_back(item.attempt);
  }
  Json jobs = Json::object();
  for (auto& [ref, list] : by_job) jobs[ref] = std::move(list);
  Json out = {{machine_fields::kAddress, address},
              {machine_fields::kType, machine_type},
              {machine_fields::kZone, zone},
              {machine_fields::kSpot, spot},
              {machine_fields::kIncarnation, worker_incarnation},
              {machine_fields::kPlacements, std::move(jobs)}};
  if (!stopping_attempts.empty()) out[machine_fields::kStopping] = stopping_attempts;
  return out;
}

std::optional<MachineRecord> MachineRecord::from_json(const Json& value, RecordError* error) {
  if (!value.is_object()) return unreadable(error, "", kNotAnObject);
  MachineRecord out;
  RequiredFields fields(value);
  try {
    out.address = fields.get<std::string>(machine_fields::kAddress);
    out.machine_type = fields.get<std::string>(machine_fields::kType);
    out.zone = fields.get<std::string>(machine_fields::kZone);
    out.spot = fields.get<bool>(machine_fields::kSpot);
    out.worker_incarnation = fields.get<std::uint64_t>(machine_fields::kIncarnation);
    for (const auto& [ref, list] : fields.at(machine_fields::kPlacements).items())
      read_placements(ref, list, out.placements);
    if (value.contains(machine_fields::kStopping))
      out.stopping_attempts = fields.get<std::vector<std::uint64_t>>(machine_fields::kStopping);
  } catch (const Json::exception& exception) {
    return unreadable(error, fields.last(), exception.what());
  }
  return out;
}

Json SegmentRecord::to_json() const {
  Json by_name = Json::object();
  for (const auto& [name, machine] : machines) by_name[name] = machine.to_json();
  Json out = {{segment_fields::kMachines, std::move(by_name)}};
  if (!done.empty()) out[segment_fields::kDone] = done;
  return out;
}

std::optional<SegmentRecord> SegmentRecord::from_json(const Json& value, RecordError* error) {
  if (!value.is_object()) return unreadable(error, "", kNotAnObject);
  if (!value.contains(segment_fields::kMachines))
    return unreadable(error, segment_fields::kMachines, kMissing);
  const Json& machines = value[segment_fields::kMachines];
  if (!machines.is_object()) return unreadable(error, segment_fields::kMachines, kNotAnObject);
  SegmentRecord out;
  for (const auto& [name, machine] : machines.items()) {
    RecordError inner;
    auto record = MachineRecord::from_json(machine, &inner);
    if (!record) return unreadable_nested(error, name, inner);
    out.machines.emplace(name, std::move(*record));
  }
  const auto done = value.find(segment_fields::kDone);
  if (done == value.end()) return out;
  if (!done->is_object()) return unreadable(error, segment_fields::kDone, kNotAnObject);
  for (const auto& [key, ranges] : done->items()) {
    if (!ranges.is_string()) return unreadable(error, key, kNotRanges);
    out.done.emplace(key, ranges.get<std::string>());
  }
  return out;
}

// ---------------------------------------------------------------- delegations and quota shares

Json DelegationRecord::to_json() const {
  Json out = {{delegation_fields::kHome, home_shard},
              {delegation_fields::kJobRevision, job_revision},
              {delegation_fields::kSucceededElsewhere, succeeded_elsewhere},
              {delegation_fields::kJob, job.to_json()},
              {delegation_fields::kRange, range.to_text()},
              {kDone, done.to_text()}};
  if (found_faulty) out[delegation_fields::kFoundFaulty] = true;
  return out;
}

std::optional<DelegationRecord> DelegationRecord::from_json(const Json& value, RecordError* error) {
  if (!value.is_object()) return unreadable(error, "", kNotAnObject);
  if (!value.contains(delegation_fields::kJob)) return unreadable(error, delegation_fields::kJob, kMissing);
  RecordError inner;
  auto job_record = JobRecord::from_json(value[delegation_fields::kJob], &inner);
  if (!job_record) return unreadable_nested(error, delegation_fields::kJob, inner);
  DelegationRecord out;
  out.home_shard = value.value(delegation_fields::kHome, 0);
  out.job_revision = value.value(delegation_fields::kJobRevision, std::uint64_t{0});
  out.succeeded_elsewhere = value.value(delegation_fields::kSucceededElsewhere, false);
  out.found_faulty = value.value(delegation_fields::kFoundFaulty, false);
  const int task_count = job_record->spec.task_count;
  out.job = std::move(*job_record);
  auto range = RangeSet::from_text(value.value(delegation_fields::kRange, ""), task_count);
  auto done = RangeSet::from_text(value.value(kDone, ""), task_count);
  if (!range) return unreadable(error, delegation_fields::kRange, kNotRanges);
  if (!done) return unreadable(error, kDone, kNotRanges);
  out.range = std::move(*range);
  out.done = std::move(*done);
  return out;
}

Json QuotaSplitRecord::to_json() const { return {{"c", cores}, {"g", gpus}}; }

// ---------------------------------------------------------------- jobs that could not be accounted for

RangeSet UnaccountedRecord::held_indices(int task_count) const {
  if (rerun) return {};
  if (!all_held) return held;
  RangeSet out;
  out.insert(0, task_count);
  return out;
}

Json UnaccountedRecord::to_json() const {
  Json out = {{unaccounted_fields::kHeld, held.to_text()},
              {unaccounted_fields::kReason, reason},
              {unaccounted_fields::kTeam, team},
              {unaccounted_fields::kClass, job_class}};
  if (all_held) out[unaccounted_fields::kAllHeld] = true;
  if (rerun) out[unaccounted_fields::kRerun] = true;
  if (may_have_ended) out[unaccounted_fields::kMayHaveEnded] = true;
  return out;
}

std::optional<UnaccountedRecord> UnaccountedRecord::from_json(const Json& value, RecordError* error) {
  if (!value.is_object()) return unreadable(error, "", kNotAnObject);
  UnaccountedRecord out;
  auto held = RangeSet::from_text(value.value(unaccounted_fields::kHeld, ""), kMaxTasksPerJob);
  if (!held) return unreadable(error, unaccounted_fields::kHeld, kNotRanges);
  out.held = std::move(*held);
  out.all_held = value.value(unaccounted_fields::kAllHeld, false);
  out.rerun = value.value(unaccounted_fields::kRerun, false);
  out.may_have_ended = value.value(unaccounted_fields::kMayHaveEnded, false);
  out.reason = value.value(unaccounted_fields::kReason, "");
  out.team = value.value(unaccounted_fields::kTeam, "");
  out.job_class = value.value(unaccounted_fields::kClass, "");
  return out;
}

// ---------------------------------------------------------------- revisions reported by workers

std::uint64_t newest_reported_revision(const Report& report) {
  std::uint64_t out = report.fencing_token;
  for (const TaskReport& task : report.tasks) out = std::max(out, task.attempt >> kAttemptCounterBits);
  return out;
}

}  // namespace mothslip
