// The machine types that the cloud rents out.
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
  double cache_gb = 0;        // of local disk, for images
  double fetch_gb_per_s = 1;  // at which an image is fetched
  double hourly_price = 0;    // price of an ordinary machine, an hour
  double spot_price = 0;      // price of a spot machine, an hour
  double boot_s = 30;         // from the rental until the machine reports, in seconds
  std::vector<std::string> zones;
};

// How many seconds a machine of the type takes to fetch the job's image, as a rule.
double image_fetch_s(const JobSpec& spec, const MachineType& type);

// All of them, in the cloud's order. Within the process a machine type is known by its place in this list.
class MachineTypes {
 public:
  // Nothing when the cloud's answer cannot be understood, or is empty.
  static std::optional<MachineTypes> parse(const Json& body);
  // What `parse` reads.
  [[nodiscard]] Json to_json() const;
  // The place in the list; -1: there is no type of this name.
  [[nodiscard]] int find(const std::string& name) const;
  [[nodiscard]] const std::vector<MachineType>& all() const { return types_; }
  [[nodiscard]] const MachineType& at(int index) const { return types_[static_cast<std::size_t>(index)]; }
  [[nodiscard]] bool empty() const { return types_.empty(); }

 private:
  std::vector<MachineType> types_;
};

// Drops the allowed machine types that do not exist, and sorts the rest.
void remove_unknown_machine_types(JobSpec& spec, const MachineTypes& types);

// Empty when the job can run some day; else why it never can, for the user.
std::string unschedulable_reason(const JobSpec& spec, const Settings& settings, const MachineTypes& types);

}  // namespace mothslip
