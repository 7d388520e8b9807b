// The settings file that the platform hands over (TOML), and the operators' own optional one (INI).
//
// Units: seconds, GB, cores, and calls a second, unless a name says otherwise. The member functions and the
// names of the fields in both files stand in settings.cpp.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace mothslip {

// Another controller.
struct Member {
  std::string node;
  std::string area;     // the zone that it runs in
  std::string address;  // its peer address
};

// A limit that is 0 in the settings file means that there is none: parsed, it is this much.
inline constexpr double kUnlimited = 1e9;

struct Team {
  std::string name;
  double cpus = 0;      // guaranteed cores; 0: nothing is
  double cpus_max = 0;  // at no time may its tasks use more cores
  double gpus = 0;      // guaranteed accelerators
  double gpus_max = 0;  // at no time may its tasks use more accelerators
};

// A service-level objective: `share` of what `kind` names is to be reached within so many seconds.
struct Objective {
  std::string kind;
  std::string job_class;  // empty: for all
  double share = 0;       // 0..1
  double within_s = 0;
};

// What operators may change in `mothslip.ini` beside the settings file; every value has a default.
struct Tuning {
  double idle_return_s = 55.0;    // a spot machine idle this long may be returned
  double idle_ordinary_s = 15.0;  // an ordinary one
  double headroom = 0.8;          // idle spot capacity kept, as a share of recent use, at the most
  double headroom_spread = 1.5;   // and in times of what use varies by
  // Weights of the preference by which a machine's next task is chosen (scheduling/preference.hpp).
  double weight_fitness = 0.2;    // HaSTE-A
  double weight_urgency = 0.2;    // HaSTE-A
  double weight_alignment = 0.6;  // HaSTE-A
  double weight_slack = 1.0;      // not in the paper: deadline pressure
  double weight_locality = 0.8;   // not in the paper: the image is on the machine already
  bool recovery = false;          // lost state is noticed and rebuilt (src/recovery)
};

// Addresses are numeric IPv4 with a port.
struct Settings {
  std::string node;             // the name of this controller
  std::string area;             // the zone that it runs in
  std::string client_address;   // where it listens for users and workers
  std::string peer_address;     // where it listens for other controllers and operators
  std::vector<Member> members;  // the other controllers
  std::string cloud;            // address of the cloud
  std::string state;            // address of the state service
  std::vector<std::string> zones;
  double skew_s = 0;  // clocks differ by at most this
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  // Workers.
  double report_s = 2;      // between two heartbeats
  double lease_s = 15;      // a worker's lease, from when the heartbeat was sent that renewed it
  double cancel_s = 40;     // within this time after the confirmation all tasks of a cancelled job are gone
  double gang_wait_s = 30;  // a gang task waits this long for the others of its attempt
  double gang_peer_s = 4;   // within this time the others notice that one is gone, or is being stopped

  // Limits of the state service, for all controllers together.
  double state_rps = 50;        // calls a second
  double state_write_rps = 15;  // changes a second
  // What the rates may fall to at any moment, without notice; the same as above where nothing is announced.
  double next_state_rps = 50;
  double next_write_rps = 15;
  // Sizes are bounded by the smaller of the present and the announced limit, from the start: what is written
  // must stay writable.
  double value_kb = 8;  // of a value, in KiB
  int txn_ops = 12;     // conditions and changes of a transaction

  // Limits of the cloud, for all controllers together.
  double cloud_rps = 2;   // calls a second
  double list_lag_s = 3;  // the list of machines may be this old

  // Limits of the machine that this process runs on.
  double cpu_share = 1;  // of a core
  double mem_mb = 0;     // 0: not known
  int max_sockets = 0;   // 0: no bound

  Tuning tuning;

  // The place of the team in `teams`; -1: there is none of this name.
  [[nodiscard]] int team_index(const std::string& name) const;
  // The peer address of another controller; empty where it is no member.
  [[nodiscard]] std::string member_address(const std::string& member) const;
};

// A file that cannot be read, or a field that is missing or wrong. One line that names file and field.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the settings file, and the operators' file unless `ini` is empty. Throws SettingsError.
Settings load_settings(const std::string& file, const std::string& ini);
// The same of texts; `name` is the file's, for errors. Fields that are not known are ignored.
Settings parse_settings(const std::string& text, const std::string& name);
// Changes the values that are given. Throws SettingsError.
void parse_tuning(const std::string& text, const std::string& name, Tuning& tuning);

}  // namespace mothslip
