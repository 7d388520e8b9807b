// JobSpec is a job as its user describes it: the body of a submission. The job's record contains it as well.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace mothslip {

// The values are in ascending order of urgency.
enum class Urgency { kBestEffort = 0, kNormal = 1, kUrgent = 2, kCritical = 3 };
// Returns the urgency with this name on the wire, or nullopt if no urgency has this name.
std::optional<Urgency> parse_urgency(const std::string& text);
// Returns the name on the wire.
const char* urgency_name(Urgency urgency);

struct JobSpec {
  std::string ref;        // the job's id, chosen by the user; see is_valid_ref
  std::string job_class;  // used for objectives and for display
  std::string team;
  Urgency urgency = Urgency::kNormal;
  // In a gang, all tasks run at the same time or none runs. Any other job is an array of independent tasks.
  bool is_gang = false;
  int task_count = 1;

  // Resources that each task needs.
  double cores = 0;
  double accelerators = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;  // size of the image that a machine has to fetch before it can run a task

  // Placement constraints.
  std::optional<std::vector<std::string>> machine_types;  // the only types allowed; nullopt: any
  std::optional<std::string> zone;                        // the only zone allowed; nullopt: any
  bool must_share_zone = false;                           // all tasks run in one zone
  bool must_spread_zones = false;                         // at most half of the tasks run in one zone
  bool allows_spot = false;                               // tasks may also run on spot machines

  // Run time, checkpoints and deadline.
  double estimated_s = 0;            // the user's estimate of one task's run time
  double checkpoint_interval_s = 0;  // 0: a task that is stopped loses its progress
  double checkpoint_cost_s = 0;      // time that one checkpoint takes
  std::optional<double> deadline_s;  // counted from the submission

  // Returns whether a task that is stopped can resume from a checkpoint instead of losing its progress.
  [[nodiscard]] bool can_checkpoint() const { return checkpoint_interval_s > 0; }
};

// A valid ref is "job-" followed by at least one digit, with at most 40 characters in all.
bool is_valid_ref(const std::string& ref);
// Returns nullopt if the body is malformed; `bad_field` is then the name of the first field that is missing
// or malformed. Unknown fields are ignored.
std::optional<JobSpec> parse_job(const Json& body, std::string& bad_field);
// Returns the JSON object that parse_job reads.
Json job_to_json(const JobSpec& spec);

// Returns a task's name on the wire: "REF/INDEX".
std::string task_name(const std::string& ref, int index);
// Splits a task name into ref and index. Returns false if `name` is not a valid task name; the outputs
// may then have been changed.
bool parse_task_name(const std::string& name, std::string& ref, int& index);

}  // namespace mothslip
