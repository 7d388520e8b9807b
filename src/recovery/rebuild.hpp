// One rebuild of the records, run by the controller that leads it. It collects the evidence of all
// controllers, waits until unaccounted tasks have stopped if necessary, reads the surviving records, writes
// the records of a new incarnation and publishes that incarnation.
//
// It stores no state for a successor: the next leader starts over with another incarnation.
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
    MetaRecord meta;  // current value; `begun` is the incarnation to write
    std::uint64_t meta_revision = 0;
    std::uint64_t leader_revision = 0;       // revision of the key that names this controller as leader
    std::string nonce;                       // makes the key prefix of the incarnation unique
    Incarnation last_incarnation;            // incarnation that the controllers served before, if known
    double process_uptime_s = 0;             // uptime of this controller's process
    std::function<Evidence()> own_evidence;  // returns all evidence of this controller
  };
  // Exactly one of them is called, once. It must not destroy this object before it returns.
  struct Handlers {
    std::function<void(const MetaRecord&)> published;  // the new incarnation
    std::function<void()> deposed;  // another controller leads or has published an incarnation
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
  [[nodiscard]] Incarnation make_incarnation(std::uint64_t newest_revision) const;
  void publish();
  void on_publish_reply(const StateReply& reply);

  ScopedEnv env_;  // cancels pending timers and calls when this object is destroyed
  StateClient store_;
  const Settings& settings_;
  Plan plan_;
  Handlers handlers_;
  double started_at_;
  RebuildPhase phase_ = RebuildPhase::kGathering;
  EvidenceCollector collector_;
  std::vector<std::string> unresponsive_;  // controllers whose evidence is missing
  Evidence evidence_;
  RebuildScope scope_;
  MetaRecord next_meta_;
  RebuiltRecords::Counts counts_;
  std::unique_ptr<RecordWriter> writer_;
};

}  // namespace mothslip::recovery
