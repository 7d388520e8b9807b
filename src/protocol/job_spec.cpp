#include "protocol/job_spec.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace mothslip {

namespace {
constexpr int kMaxTasksPerJob = 100000;  // task indices are below this
constexpr std::size_t kMaxMachineTypesPerJob = 64;
constexpr std::size_t kMaxRefBytes = 40;
constexpr const char* kArrayShape = "array";
constexpr const char* kGangShape = "ensemble";

// Reads the fields of a submission. Each reading function returns whether the field is valid. bad_field() is
// the field that last failed; callers stop at the first failure.
class SubmissionReader {
 public:
  explicit SubmissionReader(const Json& body) : body_(body) {}

  [[nodiscard]] const char* bad_field() const { return bad_field_; }
  [[nodiscard]] bool has(const char* field) const { return fields::is_present(body_, field); }
  [[nodiscard]] const Json& at(const char* field) const { return body_[field]; }

  bool text(const char* field, std::string& out) {
    return check(field, fields::read_text(body_, field, out));
  }
  bool non_negative(const char* field, double& out) {
    return check(field, fields::read_non_negative(body_, field, out));
  }
  bool flag(const char* field, bool& out) { return check(field, fields::read_flag(body_, field, out)); }
  bool count(const char* field, std::uint64_t& out) {
    return check(field, fields::read_count(body_, field, out));
  }
  bool check(const char* field, bool is_valid) {
    if (!is_valid) bad_field_ = field;
    return is_valid;
  }

 private:
  const Json& body_;
  const char* bad_field_ = "";
};

bool read_shape(SubmissionReader& reader, JobSpec& spec) {
  std::string shape;
  if (!reader.text("shape", shape)) return false;
  spec.is_gang = shape == kGangShape;
  return reader.check("shape", spec.is_gang || shape == kArrayShape);
}

bool read_urgency(SubmissionReader& reader, JobSpec& spec) {
  std::string name;
  if (!reader.text("urgency", name)) return false;
  const auto urgency = parse_urgency(name);
  if (!reader.check("urgency", urgency.has_value())) return false;
  spec.urgency = *urgency;
  return true;
}

bool read_task_count(SubmissionReader& reader, JobSpec& spec) {
  std::uint64_t task_count = 0;
  if (!reader.count("pieces", task_count)) return false;
  if (!reader.check("pieces", task_count >= 1 && task_count <= kMaxTasksPerJob)) return false;
  spec.task_count = static_cast<int>(task_count);
  return true;
}

bool read_identity(SubmissionReader& reader, JobSpec& spec) {
  return reader.text("ref", spec.ref) && reader.check("ref", is_valid_ref(spec.ref)) &&
         reader.text("workload", spec.job_class) && reader.text("owner", spec.team) &&
         read_shape(reader, spec) && read_urgency(reader, spec) && read_task_count(reader, spec);
}

bool read_demand(SubmissionReader& reader, JobSpec& spec) {
  if (!reader.non_negative("cores", spec.cores) || !reader.non_negative("accelerators", spec.accelerators) ||
      !reader.non_negative("memory_gb", spec.memory_gb))
    return false;
  const bool has_demand = spec.cores > 0 || spec.accelerators > 0 || spec.memory_gb > 0;
  return reader.check("cores", has_demand) && reader.text("bundle", spec.image) &&
         reader.non_negative("pull_gb", spec.image_gb);
}

bool read_machine_types(SubmissionReader& reader, JobSpec& spec) {
  if (!reader.has("flavours")) return true;
  const Json& list = reader.at("flavours");
  if (!reader.check("flavours", list.is_array() && list.size() <= kMaxMachineTypesPerJob)) return false;
  std::vector<std::string> machine_types;
  for (const Json& item : list) {
    // Unlike other texts, the name of a machine type may be empty here.
    const bool is_valid =
        item.is_string() && item.get_ref<const std::string&>().size() <= fields::kMaxTextBytes;
    if (!reader.check("flavours", is_valid)) return false;
    machine_types.push_back(item.get<std::string>());
  }
  spec.machine_types = std::move(machine_types);
  return true;
}

bool read_zone(SubmissionReader& reader, JobSpec& spec) {
  if (!reader.has("hall")) return true;
  std::string zone;
  if (!reader.text("hall", zone)) return false;
  spec.zone = zone;
  return true;
}

bool read_constraints(SubmissionReader& reader, JobSpec& spec) {
  return read_machine_types(reader, spec) && read_zone(reader, spec) &&
         reader.flag("together", spec.must_share_zone) && reader.flag("scatter", spec.must_spread_zones) &&
         reader.flag("loaner", spec.allows_spot);
}

bool read_times(SubmissionReader& reader, JobSpec& spec) {
  if (!reader.non_negative("guess_s", spec.estimated_s) ||
      !reader.non_negative("snapshot_every_s", spec.checkpoint_interval_s) ||
      !reader.non_negative("snapshot_cost_s", spec.checkpoint_cost_s))
    return false;
  if (!reader.has("due_s")) return true;
  double deadline_s = 0;
  if (!reader.non_negative("due_s", deadline_s)) return false;
  spec.deadline_s = deadline_s;
  return true;
}
}  // namespace

std::optional<Urgency> parse_urgency(const std::string& text) {
  for (const Urgency urgency :
       {Urgency::kBestEffort, Urgency::kNormal, Urgency::kUrgent, Urgency::kCritical}) {
    if (text == urgency_name(urgency)) return urgency;
  }
  return std::nullopt;
}

const char* urgency_name(Urgency urgency) {
  switch (urgency) {
    case Urgency::kBestEffort:
      return "best_effort";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kCritical:
      return "critical";
  }
  return "normal";
}

bool is_valid_ref(const std::string& ref) {
  constexpr std::string_view kPrefix = "job-";
  if (ref.size() <= kPrefix.size() || ref.size() > kMaxRefBytes) return false;
  if (ref.compare(0, kPrefix.size(), kPrefix) != 0) return false;
  return std::all_of(ref.begin() + kPrefix.size(), ref.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<JobSpec> parse_job(const Json& body, std::string& bad_field) {
  JobSpec spec;
  SubmissionReader reader(body);
  const bool is_valid = read_identity(reader, spec) && read_demand(reader, spec) &&
                        read_constraints(reader, spec) && read_times(reader, spec);
  if (is_valid) return spec;
  bad_field = reader.bad_field();
  return std::nullopt;
}

Json job_to_json(const JobSpec& spec) {
  Json out = {{"ref", spec.ref},
              {"workload", spec.job_class},
              {"owner", spec.team},
              {"shape", spec.is_gang ? kGangShape : kArrayShape},
              {"urgency", urgency_name(spec.urgency)},
              {"pieces", spec.task_count},
              {"cores", spec.cores},
              {"accelerators", spec.accelerators},
              {"memory_gb", spec.memory_gb},
              {"bundle", spec.image},
              {"pull_gb", spec.image_gb},
              {"together", spec.must_share_zone},
              {"scatter", spec.must_spread_zones},
              {"loaner", spec.allows_spot},
              {"guess_s", spec.estimated_s},
              {"snapshot_every_s", spec.checkpoint_interval_s},
              {"snapshot_cost_s", spec.checkpoint_cost_s}};
  if (spec.machine_types) out["flavours"] = *spec.machine_types;
  if (spec.zone) out["hall"] = *spec.zone;
  if (spec.deadline_s) out["due_s"] = *spec.deadline_s;
  return out;
}

std::string task_name(const std::string& ref, int index) { return ref + "/" + std::to_string(index); }

bool parse_task_name(const std::string& name, std::string& ref, int& index) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) return false;
  ref = name.substr(0, slash);
  const char* first = name.data() + slash + 1;
  const char* last = name.data() + name.size();
  const auto [end, error] = std::from_chars(first, last, index);
  return error == std::errc() && end == last && index >= 0 && index < kMaxTasksPerJob && is_valid_ref(ref);
}

}  // namespace mothslip
