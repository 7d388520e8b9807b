// Answers of controllers to operators about lost state: the JSON of `/ops/recovery/*` as typed messages.
// Controllers also request the status from one another. mothslipctl decodes the messages with the code that
// encodes them.
//
// from_json() uses the default of a field that is missing, so that versions can be mixed. It throws
// Json::exception if the body is not an object or a field has another type.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip::recovery {

// GET: returns the ControllerStatus of the controller that receives the request.
inline const std::string kStatusPath = "/ops/recovery/status";
// GET: returns the UnaccountedList of the cluster.
inline const std::string kUnaccountedPath = "/ops/recovery/unaccounted";
// POST: the body is an operator's decision about a job on that list (Decision in messages.hpp).
inline const std::string kResolvePath = "/ops/recovery/resolve";

// Progress of a rebuild, as reported by its leader.
struct RebuildStatus {
  std::string phase;     // gathering, waiting, reading, writing or publishing
  double elapsed_s = 0;  // since this controller became the leader
  // Controllers that did not answer with their evidence in time.
  std::vector<std::string> missing_controllers;
  int open_jobs = 0;
  int ended_jobs = 0;
  int unaccounted_jobs = 0;
  // Set in the phase "waiting": how much longer the leader waits until no task can be running.
  std::optional<double> remaining_wait_s;
  // Set once the number of records to write is known.
  struct Records {
    std::size_t total = 0;
    std::size_t written = 0;
  };
  std::optional<Records> records;

  [[nodiscard]] Json to_json() const;
  static RebuildStatus from_json(const Json& value);
};

// The state of the rebuild as known to a controller that is suspended.
struct RecoveryStatus {
  int target_incarnation = 0;            // the incarnation that is being rebuilt
  bool is_leader = false;                // whether this controller leads the rebuild
  std::optional<RebuildStatus> rebuild;  // set by the leader only

  [[nodiscard]] Json to_json() const;
  static RecoveryStatus from_json(const Json& value);
};

struct ControllerStatus {
  std::string node;
  int incarnation = 0;  // the one that it serves, or served last
  bool serving = false;
  // How much longer the records that this controller has read may prove to be older than records that others
  // saw before it started.
  double stale_risk_s = 0;
  std::uint64_t newest_revision = 0;  // newest one that this controller knows; 0 while it does not serve
  std::string reason;                 // why the records are rebuilt now, or were rebuilt last
  // Set while records are being rebuilt.
  std::optional<RecoveryStatus> recovery;
  double suspended_s = 0;  // set with `recovery`: how long it has not been serving

  [[nodiscard]] Json to_json() const;
  static ControllerStatus from_json(const Json& value);
};

// A job that a rebuild could not account for, as shown to operators.
struct UnaccountedEntry {
  std::string job;
  std::string reason;
  // If false, the record of the job cannot be read and the fields below are not set.
  bool is_readable = true;
  std::string team;
  std::string job_class;
  bool may_have_ended = false;
  std::string pending_decision;   // an operator's decision that has not been carried out yet
  std::optional<int> held_tasks;  // nullopt if all tasks are held

  [[nodiscard]] Json to_json() const;
  static UnaccountedEntry from_json(const Json& value);
};

struct UnaccountedList {
  std::vector<UnaccountedEntry> entries;

  [[nodiscard]] Json to_json() const;
  static UnaccountedList from_json(const Json& value);
};

}  // namespace mothslip::recovery
