// The settings file that the platform hands over (TOML), and the operators' own optional one (INI).
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace mothslip {

struct Member {
  std::string node;
  std::string area;
  std::string address;  // its `back` listener
};

// A limit that is 0 in the settings file means that there is none: parsed, it is this much.
inline constexpr double kUnlimited = 1e9;

struct Team {
  std::string name;
  double cpus = 0;      // guaranteed; 0: nothing is
  double cpus_max = 0;  // at no time may its tasks use more
  double gpus = 0;
  double gpus_max = 0;
};

struct Objective {
  std::string kind;
  std::string job_class;  // empty: for all
  double share = 0;
  double within_s = 0;
};

// What operators may change in `mothslip.ini` beside the settings file; every value has a default.
struct Tuning {
  double idle_return_s = 55.0;    // a spot machine idle this long may be returned
  double idle_ordinary_s = 15.0;  // an ordinary one
  double headroom = 0.8;          // idle spot capacity kept, as a share of recent use, at the most
  double headroom_spread = 1.5;   // and in times of what use varies by
  double weight_fitness = 0.2;    // HaSTE-A
  double weight_urgency = 0.2;    // HaSTE-A
  double weight_alignment = 0.6;  // HaSTE-A
  double weight_slack = 1.0;      // ours: deadline pressure
  double weight_locality = 0.8;   // ours: image already on the machine
  bool recovery = false;          // lost state is noticed and rebuilt (src/recovery)
};

struct Settings {
  std::string node;
  std::string area;
  std::string client_address;   // users and workers
  std::string peer_address;     // other controllers and operators
  std::vector<Member> members;  // the others
  std::string cloud;
  std::string state;
  std::vector<std::string> zones;
  double skew_s = 0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double report_s = 2;
  double lease_s = 15;
  double cancel_s = 40;
  double gang_wait_s = 30;  // a gang task waits this long for the others of its attempt
  double gang_peer_s = 4;   // within this time the others notice that one is gone, or is being stopped
  double state_rps = 50;
  double state_write_rps = 15;
  // What the rates may fall to at any moment, without notice; the same as above where nothing is announced.
  double next_state_rps = 50;
  double next_write_rps = 15;
  // Sizes are bounded by the smaller of the present and the announced limit, from the start: what is written
  // must stay writable.
  double value_kb = 8;
  int txn_ops = 12;
  double cloud_rps = 2;
  double list_lag_s = 3;
  double cpu_share = 1;
  double mem_mb = 0;
  int max_sockets = 0;
  Tuning tuning;

  [[nodiscard]] int team_index(const std::string& name) const;
};

class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws SettingsError with one line that names file and field. `ini` may be empty.
Settings load_settings(const std::string& file, const std::string& ini);
Settings parse_settings(const std::string& text, const std::string& name);
void parse_tuning(const std::string& text, const std::string& name, Tuning& tuning);

}  // namespace mothslip
