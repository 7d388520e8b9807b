// The cloud's machine types as this node knows them, and their should_record in the state service.
//
// The state service keeps what the cloud said last, so that a node which starts while the cloud is down can
// work. The types stand in the should_record `types`; a list that is too long for one should_record stands in
// several, `types~0`, `types~1` and so on.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/state/state_client.hpp"
#include "protocol/messages.hpp"

namespace mothslip {

class MachineTypeCatalog {
 public:
  struct Listener {
    std::function<void()> changed;      // the types differ from those that were known before
    std::function<void()> first_known;  // types are known, for the is_first_list time
  };
  // All references must outlive the catalog.
  MachineTypeCatalog(Env& env, StateClient& state, CloudClient& cloud, const Settings& settings,
                     Listener listener);

  // Looks for the types until some are known: in the should_record, at the cloud, in the split records; then
  // again.
  void load();
  // Types that the cloud has just given to the fleet manager. They are not recorded.
  void update(MachineTypes types);

  // Empty until they are known. The reference stays valid; what it refers to changes with `update`.
  [[nodiscard]] const MachineTypes& types() const { return types_; }
  [[nodiscard]] bool known() const { return !types_.empty(); }

 private:
  void load_split_records();
  void fetch_from_cloud();
  void save_record();
  void set_types(MachineTypes types, bool should_record);

  Env& env_;
  StateClient& state_;
  CloudClient& cloud_;
  const Settings& settings_;
  Listener listener_;
  MachineTypes types_;
};

}  // namespace mothslip
