// Parsing and validation of what users, workers and the cloud send, and the emission of what they get.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "protocol/names.hpp"
#include "protocol/settings.hpp"

namespace mothslip {

using Json = nlohmann::json;

// A parse that never throws: discarded() tells.
Json parse_json(const std::string& text);
std::string dump_json(const Json& value);

enum class Urgency { kBestEffort = 0, kNormal = 1, kUrgent = 2, kCritical = 3 };
std::optional<Urgency> parse_urgency(const std::string& text);
const char* urgency_name(Urgency urgency);

struct JobSpec {
  std::string ref;
  std::string job_class;
  std::string team;
  Urgency urgency = Urgency::kNormal;
  bool gang = false;  // all tasks run at the same time, or none does
  int task_count = 1;
  double cores = 0;
  double accelerators = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> machine_types;
  std::optional<std::string> zone;
  bool together = false;
  bool scatter = false;
  bool allows_spot = false;
  double estimated_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_cost_s = 0;
  std::optional<double> deadline_s;

  // Whether a task that is stopped can keep what it has done.
  [[nodiscard]] bool can_checkpoint() const { return checkpoint_interval_s > 0; }
};

bool valid_ref(const std::string& ref);
// nullopt when malformed; `why` then names the field.
std::optional<JobSpec> parse_job(const Json& body, std::string& why);
Json job_to_json(const JobSpec& spec);

struct MachineType {
  std::string name;
  double cores = 0;
  double accelerators = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 1;
  double hourly = 0;
  double spot_price = 0;
  double boot_s = 30;
  std::vector<std::string> zones;
};

// How long a machine of the type fetches the job's image, as a rule.
double fetch_seconds(const JobSpec& spec, const MachineType& type);

class MachineTypes {
 public:
  // nullopt when the cloud's answer cannot be understood.
  static std::optional<MachineTypes> parse(const Json& body);
  [[nodiscard]] Json to_json() const;
  [[nodiscard]] int find(const std::string& name) const;
  [[nodiscard]] const std::vector<MachineType>& all() const { return types_; }
  [[nodiscard]] const MachineType& at(int index) const { return types_[static_cast<std::size_t>(index)]; }
  [[nodiscard]] bool empty() const { return types_.empty(); }

 private:
  std::vector<MachineType> types_;
};

// Drops the allowed machine types that do not exist.
void keep_known_machine_types(JobSpec& spec, const MachineTypes& types);

// Empty when the job can run some day; else why it never can.
std::string never_runs(const JobSpec& spec, const Settings& settings, const MachineTypes& types);

// kWaiting: has its image, and waits for the other tasks of its gang.
enum class TaskPhase { kFetchingImage, kWaiting, kRunning, kCheckpointing, kExited };
// kMatesGone: another task of the gang is gone; kAlone: the gang was not complete in time.
enum class ExitCause {
  kNone,
  kDone,
  kHalted,
  kError,
  kNoRoom,
  kInUse,
  kNoSuch,
  kGangPeerLost,
  kGangIncomplete,
  kOther
};

struct TaskReport {
  std::string ref;
  int index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kRunning;
  ExitCause cause = ExitCause::kNone;
};

struct Report {
  std::string machine_name;
  std::string address;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  std::uint64_t worker_incarnation = 0;
  std::uint64_t sequence = 0;  // of the heartbeat, rising within an incarnation
  std::uint64_t fencing_token = 0;
  std::optional<double> eviction_notice_s;
  std::vector<TaskReport> tasks;
};

std::optional<Report> parse_report(const Json& body);

struct Order {
  enum class Verb { kLaunch, kStop, kAcknowledgeExit };
  Verb verb = Verb::kLaunch;
  std::string task;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};
std::string orders_body(std::uint64_t fencing_token, std::optional<std::uint64_t> worker_incarnation,
                        const std::vector<Order>& orders);
std::string task_name(const std::string& ref, int index);

}  // namespace mothslip
