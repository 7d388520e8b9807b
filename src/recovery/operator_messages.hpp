// What controllers answer to operators (and, of the status, to one another) about lost state: the JSON of
// `/ops/recovery/*` as typed messages. mothslipctl reads them with the same code that writes them.
//
// from_json() takes a field that is missing as its default, so that versions can be mixed; it throws
// Json::exception where the body is no object or a field has another type.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip::recovery {

// GET: ControllerStatus of the controller that is asked.
inline const std::string kStatusPath = "/ops/recovery/status";
// GET: UnaccountedList of the cluster.
inline const std::string kUnaccountedPath = "/ops/recovery/unaccounted";
// POST: an operator's decision about a job on that list.
inline const std::string kResolvePath = "/ops/recovery/resolve";

// How far a rebuilding is, as its leader knows.
struct RebuildStatus {
  std::string phase;     // gathering, waiting, reading, writing or publishing
  double elapsed_s = 0;  // since this controller took the lead
  std::vector<std::string>
      missing_controllers;  // controllers that did not answer with their evidence in time
  int open_jobs = 0;
  int ended_jobs = 0;
  int unaccounted_jobs = 0;
  // While waiting until nothing runs: so long yet.
  std::optional<double> remaining_wait_s;
  // From when on it is known how many records there are to write.
  struct Records {
    std::size_t total = 0;
    std::size_t written = 0;
  };
  std::optional<Records> records;

  [[nodiscard]] Json to_json() const;
  static RebuildStatus from_json(const Json& value);
};

// What a controller that does not serve knows of the rebuilding.
struct RecoveryStatus {
  int target_incarnation = 0;            // the incarnation that is being rebuilt
  bool is_leader = false;                // this controller leads the rebuilding
  std::optional<RebuildStatus> rebuild;  // of the leader only

  [[nodiscard]] Json to_json() const;
  static RecoveryStatus from_json(const Json& value);
};

struct ControllerStatus {
  std::string node;
  int incarnation = 0;  // that it serves, or served last
  bool serving = false;
  // So long yet what this controller has read may prove to be older than what others saw before it began.
  double stale_risk_s = 0;
  std::uint64_t newest_revision = 0;  // that this controller has heard of; 0 while it does not serve
  std::string reason;                 // why records are, or were last, rebuilt
  // While records are being rebuilt.
  std::optional<RecoveryStatus> recovery;
  double suspended_s = 0;  // with `recovery`: so long it has not been serving

  [[nodiscard]] Json to_json() const;
  static ControllerStatus from_json(const Json& value);
};

// A job that could not be accounted for, as operators see it.
struct UnaccountedEntry {
  std::string job;
  std::string reason;
  // False: its record cannot be read, and nothing below is known.
  bool is_readable = true;
  std::string team;
  std::string job_class;
  bool may_have_ended = false;
  std::string pending_decision;   // what an operator has decided without its being carried out yet
  std::optional<int> held_tasks;  // nothing: all

  [[nodiscard]] Json to_json() const;
  static UnaccountedEntry from_json(const Json& value);
};

struct UnaccountedList {
  std::vector<UnaccountedEntry> entries;

  [[nodiscard]] Json to_json() const;
  static UnaccountedList from_json(const Json& value);
};

}  // namespace mothslip::recovery
