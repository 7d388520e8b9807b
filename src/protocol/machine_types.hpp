// The machine types that the cloud offers for rent.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/job_spec.hpp"
#include "protocol/json.hpp"
#include "protocol/settings.hpp"

namespace mothslip {

struct MachineType {
  std::string name;
  double cores = 0;
  double accelerators = 0;
  double memory_gb = 0;
  double cache_gb = 0;        // local disk space that caches images
  double fetch_gb_per_s = 1;  // rate at which the machine fetches an image
  double hourly_price = 0;    // price of an ordinary machine per hour
  double spot_price = 0;      // price of a spot machine per hour
  double boot_s = 30;         // time from the rental to the worker's first report
  std::vector<std::string> zones;
};

// Returns the expected time that a machine of the type takes to fetch the job's image.
double image_fetch_s(const JobSpec& spec, const MachineType& type);

// All machine types, in the order in which the cloud lists them. Within the process, the index in this list
// identifies a machine type.
class MachineTypes {
 public:
  // Returns nullopt if the cloud's answer is malformed or lists no types.
  static std::optional<MachineTypes> parse(const Json& body);
  // Returns the JSON object that `parse` reads.
  [[nodiscard]] Json to_json() const;
  // Returns the index in the list, or -1 if no type has this name.
  [[nodiscard]] int find(const std::string& name) const;
  [[nodiscard]] const std::vector<MachineType>& all() const { return types_; }
  [[nodiscard]] const MachineType& at(int index) const { return types_[static_cast<std::size_t>(index)]; }
  [[nodiscard]] bool empty() const { return types_.empty(); }

 private:
  std::vector<MachineType> types_;
};

// Removes unknown machine types and duplicates from the types that the job allows, and sorts the rest.
void remove_unknown_machine_types(JobSpec& spec, const MachineTypes& types);

// Returns the reason why the job can never run, as the user sees it; empty if it can run at some time.
std::string unschedulable_reason(const JobSpec& spec, const Settings& settings, const MachineTypes& types);

}  // namespace mothslip
