// The machine types of the cloud that this node knows, and their record in the state service.
//
// The state service keeps the last list that the cloud returned, so that a node can start while the cloud is
// unavailable. The list is stored in the record `types`. A list that is too long for one record is split into
// the records `types~0`, `types~1` and so on.
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
    std::function<void()> changed;        // called when the list differs from the previous one
    std::function<void()> on_first_list;  // called when the first list is known
  };
  // All references must outlive this object.
  MachineTypeCatalog(Env& env, StateClient& state, CloudClient& cloud, const Settings& settings,
                     Listener listener);

  // Reads the record, asks the cloud and reads the split records, in this order, and repeats this until a
  // list is found.
  void load();
  // Takes over the list that the cloud has just returned to the fleet manager. It is not recorded here.
  void update(MachineTypes types);

  // Returns the list, which is empty until it is known. The reference stays valid; `update` changes the list
  // that it refers to.
  [[nodiscard]] const MachineTypes& types() const { return types_; }
  [[nodiscard]] bool has_types() const { return !types_.empty(); }

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
