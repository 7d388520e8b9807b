// The work of a controller from the detection of lost state until the records are rebuilt. It polls `meta`,
// leads the rebuild if no other controller does, and reports when a new incarnation is published.
//
// The leader holds a key of the state service under a lease (kLeaderKey). A controller that takes the key
// increases `meta.begun` in the same transaction, so every incarnation that is being rebuilt has one leader.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coordination/state/state_client.hpp"
#include "recovery/operator_messages.hpp"
#include "recovery/rebuild.hpp"

namespace mothslip::recovery {

class Recovery {
 public:
  struct Context {
    Env* env = nullptr;
    const Settings* settings = nullptr;
    Incarnation last_incarnation;            // the incarnation that this controller served last
    int shards = 0;                          // number of shards in the cluster; 0 if not known
    double process_started_at = 0;           // by the clock of `env`
    std::function<Evidence()> own_evidence;  // returns everything that this controller knows
    // Called when a new incarnation is published. It must not destroy this object during the call.
    std::function<void(const MetaRecord&)> published;
  };
  explicit Recovery(Context context);

  void start();
  [[nodiscard]] RecoveryStatus status() const;

 private:
  void read_meta();
  void read_meta_later();
  void on_meta(const StateReply& reply);
  void check_for_leader(const MetaRecord& meta, std::uint64_t meta_revision);
  void claim(const MetaRecord& meta, std::uint64_t meta_revision);
  void claim_with_lease(std::uint64_t lease, const MetaRecord& meta, std::uint64_t meta_revision);
  void start_leading(std::uint64_t lease, const MetaRecord& meta, std::uint64_t revision);
  void renew(std::uint64_t lease);
  void stop_leading();

  Context ctx_;
  StateClient store_;
  int target_incarnation_;   // highest incarnation known to be in rebuild
  std::uint64_t lease_ = 0;  // lease of the leader key; 0 while this controller does not lead
  std::unique_ptr<Rebuild> rebuild_;
};

}  // namespace mothslip::recovery
