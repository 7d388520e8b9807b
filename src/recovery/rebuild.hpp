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
    std::uint64_t leader_revision = 0;  // of our claim of the lead
    std::string nonce;                  // makes the prefix of the keys unique
    Incarnation last;                   // that the controllers served before, where known
    double process_uptime_s = 0;
    std::function<Evidence()> own_evidence;
  };
  struct Handlers {
    std::function<void(const MetaRecord&)> published;
    std::function<void()> deposed;
  };
  Rebuild(Env& env, const Settings& settings, Plan plan, Handlers handlers);

  void start();
  [[nodiscard]] Json status() const;

 private:
  void gather();
  void on_gathered(const EvidenceCollector::Result& result);
  [[nodiscard]] RebuildScope scope_of(const EvidenceCollector::Result& result) const;
  [[nodiscard]] double quiet_at() const;
  void wait_until_nothing_runs();
  void read();
  void on_read(std::optional<SurvivingRecords> read);
  void write(const SurvivingRecords& read);
  [[nodiscard]] Incarnation next_incarnation(std::uint64_t newest) const;
  void publish();
  void on_publish_reply(const StateReply& reply);

  ScopedEnv env_;  // what is under way ends with this object
  StateClient store_;
  const Settings& settings_;
  Plan plan_;
  Handlers handlers_;
  double began_;
  RebuildPhase phase_ = RebuildPhase::kGathering;
  EvidenceCollector collector_;
  std::vector<std::string> missing_;  // controllers not heard
  Evidence evidence_;
  RebuildScope scope_;
  MetaRecord next_meta_;
  RebuiltRecords::Counts counts_;
  std::unique_ptr<RecordWriter> writer_;
};

}  // namespace mothslip::recovery
