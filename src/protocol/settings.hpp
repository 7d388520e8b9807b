// Settings from the file that the platform provides (TOML), and from the operators' optional file (INI).
//
// The units are seconds, GB, cores and calls per second, unless a name says otherwise. settings.cpp has the
// member functions and the field names of both files.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace mothslip {

// A controller other than this one.
struct Member {
  std::string node;
  std::string area;     // zone that the controller runs in
  std::string address;  // peer address of the controller
};

// A limit of 0 in the settings file means that there is no limit. It is parsed as this value.
inline constexpr double kUnlimited = 1e9;

struct Team {
  std::string name;
  double cpus = 0;      // guaranteed cores; 0: no guarantee
  double cpus_max = 0;  // the team's tasks may never use more cores than this
  double gpus = 0;      // guaranteed accelerators; 0: no guarantee
  double gpus_max = 0;  // the team's tasks may never use more accelerators than this
};

// A service-level objective: the fraction `share` of the events that `kind` names must happen within
// `within_s`.
struct Objective {
  std::string kind;
  std::string job_class;  // empty: the objective applies to all classes
  double share = 0;       // a fraction from 0 to 1
  double within_s = 0;
};

// Parameters that operators may change in `mothslip.ini`, in addition to the settings file. Every value has a
// default.
struct Tuning {
  double idle_return_s = 55.0;    // a spot machine that has been idle this long may be returned
  double idle_ordinary_s = 15.0;  // an ordinary machine that has been idle this long may be returned
  double headroom = 0.8;          // the idle capacity kept is at most this fraction of recent use
  double headroom_spread = 1.5;   // and at most this multiple of the variation of use
  // Weights of the terms of the preference that selects a machine's next task (scheduling/preference.hpp).
  double weight_fitness = 0.2;    // from the HaSTE-A paper
  double weight_urgency = 0.2;    // from the HaSTE-A paper
  double weight_alignment = 0.6;  // from the HaSTE-A paper
  double weight_slack = 1.0;      // not in the paper: favours tasks under deadline pressure
  double weight_locality = 0.8;   // not in the paper: favours tasks whose image is on the machine
  bool recovery = false;          // whether lost state is detected and rebuilt (src/recovery)
};

// Addresses are numeric IPv4 addresses with a port.
struct Settings {
  std::string node;             // name of this controller
  std::string area;             // zone that this controller runs in
  std::string client_address;   // address where this controller listens for users and workers
  std::string peer_address;     // address where it listens for other controllers and operators
  std::vector<Member> members;  // the other controllers
  std::string cloud;            // address of the cloud
  std::string state;            // address of the state service
  std::vector<std::string> zones;
  double skew_s = 0;  // maximum difference between two clocks
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  // Workers.
  double report_s = 2;  // interval between two reports of a worker
  double lease_s = 15;  // duration of a worker's lease, counted from when the worker sent the renewing report
  // All tasks of a cancelled job must be gone within this time after the cancellation is confirmed.
  double cancel_s = 40;
  double gang_wait_s = 30;  // time that a gang task waits for the other tasks of its attempt
  double gang_peer_s = 4;   // maximum time until gang tasks detect that another one is gone or being stopped

  // Limits of the state service, shared by all controllers.
  double state_rps = 50;        // calls per second
  double state_write_rps = 15;  // changes per second
  // The rates may fall to these values at any time without notice. They equal the rates above if the settings
  // file announces no lower ones.
  double next_state_rps = 50;
  double next_write_rps = 15;
  // From the start, sizes are bounded by the smaller of the current and the announced limit, because a record
  // that has been written must remain writable.
  double value_kb = 8;  // maximum size of a value, in KiB
  int txn_ops = 12;     // maximum number of conditions and changes in a transaction

  // Limits of the cloud, shared by all controllers.
  double cloud_rps = 2;   // calls per second
  double list_lag_s = 3;  // maximum age of the list of machines

  // Limits of the machine that runs this process.
  double cpu_share = 1;  // share of a core
  double mem_mb = 0;     // 0: unknown
  int max_sockets = 0;   // 0: no limit

  Tuning tuning;

  // Returns the team's index in `teams`, or -1 if no team has this name.
  [[nodiscard]] int team_index(const std::string& name) const;
  // Returns the peer address of another controller, or an empty string if it is not a member.
  [[nodiscard]] std::string member_address(const std::string& member) const;
};

// Thrown if a file cannot be read, or if a field is missing or invalid. The message is one line that names
// the file and the field.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the settings file, and the operators' file unless `ini` is empty. Throws SettingsError.
Settings load_settings(const std::string& file, const std::string& ini);
// Parses the text of a settings file. Errors refer to the file as `name`. Unknown fields are ignored. Throws
// SettingsError.
Settings parse_settings(const std::string& text, const std::string& name);
// Parses the text of the operators' file and changes the numbers in `tuning` that it contains. `recovery`
// becomes false unless the text enables it. Errors refer to the file as `name`. Throws SettingsError.
void parse_tuning(const std::string& text, const std::string& name, Tuning& tuning);

}  // namespace mothslip
