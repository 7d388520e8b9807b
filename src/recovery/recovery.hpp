// What a controller does from the first sign of lost state until records are rebuilt: it watches `meta`,
// leads the rebuilding where nobody else does, and tells when a new incarnation is published.
//
// The lead is a key of the state service under a lease (kLeaderKey). Who takes it raises `meta.begun` in the
// same transaction, so there is one leader for each incarnation that is begun.
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
    Incarnation last;                        // that this controller served
    int shards = 0;                          // of the cluster; 0: not known
    double process_started_at = 0;           // by the clock of `env`
    std::function<Evidence()> own_evidence;  // all that this controller knows
    // A new incarnation is published. Must not destroy this object from within.
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
  int target_incarnation_;   // the incarnation that is being rebuilt, as far as is known here
  std::uint64_t lease_ = 0;  // under which this controller leads; 0: it does not
  std::unique_ptr<Rebuild> rebuild_;
};

}  // namespace mothslip::recovery
