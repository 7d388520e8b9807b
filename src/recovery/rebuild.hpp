// One rebuilding of the records, by the controller that leads it: gather what is known, wait for what may
// still run, read what survived, write the records of a new incarnation, publish it.
//
// It keeps nothing that another leader would need: whoever leads next begins anew, under another incarnation.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/state/state_client.hpp"
#include "recovery/evidence_collector.hpp"
#include "recovery/operator_messages.hpp"
#include "recovery/record_writer.hpp"
#include "recovery/scoped_env.hpp"
#include "recovery/surviving_records.hpp"

namespace mothslip::recovery {

enum class RebuildPhase { kGathering, kWaiting, kReading, kWriting, kPublishing };
[[nodiscard]] const char* phase_name(RebuildPhase phase);

class Rebuild {
 public:
  struct Plan {
    MetaRecord meta;  // as it is now: `begun` is the incarnation to be written
    std::uint64_t meta_revision = 0;
    std::uint64_t leader_revision = 0;       // of the key that names this controller the leader
    std::string nonce;                       // makes the prefix of the keys unique
    Incarnation last_incarnation;            // that the controllers served before, where known
    double process_uptime_s = 0;             // of this controller
    std::function<Evidence()> own_evidence;  // all that this controller knows
  };
  // One of them is called, once, and must not destroy this object from within.
  struct Handlers {
    std::function<void(const MetaRecord&)> published;  // the new incarnation
    std::function<void()> deposed;                     // another controller leads, or has published
  };
  Rebuild(Env& env, const Settings& settings, Plan plan, Handlers handlers);

  void start();
  [[nodiscard]] RebuildStatus status() const;

 private:
  void gather();
  void merge_evidence(const Evidence& peer_evidence);
  void on_gathered(const EvidenceCollector::Result& result);
  [[nodiscard]] RebuildScope make_scope(const EvidenceCollector::Result& result) const;
  [[nodiscard]] double all_tasks_stopped_at() const;
  void wait_until_nothing_runs();
  void read_records();
  void on_records_read(std::optional<SurvivingRecords> surviving);
  void write_records(const SurvivingRecords& surviving);
  [[nodiscard]] Incarnation make_incarnation(std::uint64_t highest_revision) const;
  void publish();
  void on_publish_reply(const StateReply& reply);

  ScopedEnv env_;  // what is under way ends with this object
  StateClient store_;
  const Settings& settings_;
  Plan plan_;
  Handlers handlers_;
  double started_at_;
  RebuildPhase phase_ = RebuildPhase::kGathering;
  EvidenceCollector collector_;
  std::vector<std::string> unresponsive_;  // controllers not heard
  Evidence evidence_;
  RebuildScope scope_;
  MetaRecord next_meta_;
  RebuiltRecords::Counts counts_;
  std::unique_ptr<RecordWriter> writer_;
};

}  // namespace mothslip::recovery
