// A job as its user describes it: the body of a submission, which is also kept in the job's record.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace mothslip {

// In rising order.
enum class Urgency { kBestEffort = 0, kNormal = 1, kUrgent = 2, kCritical = 3 };
// By its name on the wire; nothing where there is none of this name.
std::optional<Urgency> parse_urgency(const std::string& text);
// The name on the wire.
const char* urgency_name(Urgency urgency);

struct JobSpec {
  std::string ref;        // the job's id (is_valid_ref), chosen by the user
  std::string job_class;  // for objectives and display
  std::string team;
  Urgency urgency = Urgency::kNormal;
  bool is_gang =
      false;  // all tasks run at the same time, or none does; otherwise an array of independent tasks
  int task_count = 1;

  // What each task takes.
  double cores = 0;
  double accelerators = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;  // size of the image that a machine has to fetch

  // Where tasks may run.
  std::optional<std::vector<std::string>> machine_types;  // only on these; none: on any
  std::optional<std::string> zone;                        // only in this one; none: in any
  bool must_share_zone = false;                           // all in one zone
  bool must_spread_zones = false;                         // at most half of them in one zone
  bool allows_spot = false;                               // on spot machines too

  // How long tasks run, in seconds.
  double estimated_s = 0;            // the user's estimate for one task
  double checkpoint_interval_s = 0;  // 0: a task keeps nothing when it is stopped
  double checkpoint_cost_s = 0;      // for one checkpoint
  std::optional<double> deadline_s;  // from the submission on

  // Whether a task that is stopped can keep what it has done.
  [[nodiscard]] bool can_checkpoint() const { return checkpoint_interval_s > 0; }
};

// "job-" and digits, 40 characters at the most.
bool is_valid_ref(const std::string& ref);
// Nothing when malformed; `why` then names the first field that is missing or malformed. Unknown fields are
// ignored.
std::optional<JobSpec> parse_job(const Json& body, std::string& bad_field);
// What parse_job reads.
Json job_to_json(const JobSpec& spec);

// A task's name on the wire: "REF/INDEX".
std::string task_name(const std::string& ref, int index);
// The reverse; false where it is no such name.
bool parse_task_name(const std::string& name, std::string& ref, int& index);

}  // namespace mothslip
