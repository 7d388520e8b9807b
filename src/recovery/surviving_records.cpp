#include "recovery/surviving_records.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "recovery/rebuilt_records.hpp"

namespace mothslip::recovery {

namespace {

constexpr int kMostTasks = 100'000;

// One reading: prefix after prefix. (Where tasks are placed is not read: by the time of a rebuilding either
// their machines' owners tell, or nothing runs any more.)
class Reader : public std::enable_shared_from_this<Reader> {
 public:
  Reader(StateClient& store, const Incarnation& incarnation, Evidence known, SurvivingHandler handler)
      : store_(store), current_(incarnation.prefix), handler_(std::move(handler)) {
    out_.evidence = std::move(known);
    using Take = void (Reader::*)(const StateItem&);
    const auto plan = [this](const std::string& prefix, Take take) { steps_.push_back({prefix, take}); };
    plan(current_ + keys::kJobRecords, &Reader::take_job_record);
    plan(current_ + "d/", &Reader::take_progress);
    plan(current_ + keys::kDelegations, &Reader::take_delegation);
    plan(current_ + "h/", &Reader::take_segment);
    plan(current_ + keys::kUnaccounted, &Reader::take_unaccounted);
    plan(current_ + "e/", &Reader::take_ending);
    for (const std::string& earlier : incarnation.earlier_prefixes)
      plan(earlier + "e/", &Reader::take_ending);
  }

  void next() {
    if (at_ == steps_.size()) {
      handler_(std::move(out_));
      return;
    }
    const Step step = steps_[at_];
    const auto self = shared_from_this();
    store_.scan(
        RequestPriority::kLease, "/" + step.prefix,
        [self, step](const std::vector<StateItem>& items) {
          for (const StateItem& item : items) (self.get()->*step.take)(item);
        },
        [self](Outcome outcome, std::uint64_t revision) {
          if (outcome != Outcome::kOk) {
            self->handler_(std::nullopt);
            return;
          }
          self->out_.revision = std::max(self->out_.revision, revision);
          self->at_++;
          self->next();
        });
  }

 private:
  struct Step {
    std::string prefix;
    void (Reader::*take)(const StateItem&);
  };

  // The job that a key belongs to: what stands behind the last slash, and before a tilde.
  static std::string job_of(const std::string& key) {
    const std::string name = key.substr(key.rfind('/') + 1);
    return name.substr(0, name.find('~'));
  }

  void unreadable(const StateItem& item) const {
    spdlog::error("recovery: record {} cannot be read", item.key);
  }

  void add_done(const std::string& ref, const std::string& text) {
    const auto open = out_.evidence.jobs.find(ref);
    if (open == out_.evidence.jobs.end()) return;  // it has ended
    if (const auto done = RangeSet::from_text(text, kMostTasks)) open->second.done |= to_task_set(*done);
  }

  void take_job_record(const StateItem& item) {
    auto job_record = JobRecord::from_json(item.data);
    if (!job_record) return unreadable(item);
    JobEvidence job;
    job.in_store = true;
    const std::string ref = job_record->spec.ref;
    job.record = std::move(job_record);
    out_.evidence.jobs[ref].merge(job);
  }

  void take_progress(const StateItem& item) { add_done(job_of(item.key), item.data.value("done", "")); }

  void take_delegation(const StateItem& item) {
    const auto delegation = DelegationRecord::from_json(item.data);
    if (!delegation) return unreadable(item);
    add_done(delegation->job.spec.ref, delegation->done.to_text());
  }

  void take_segment(const StateItem& item) {
    const auto segment = SegmentRecord::from_json(item.data);
    if (!segment) return unreadable(item);
    for (const auto& [name, text] : segment->done) add_done(job_of(name), text);
  }

  void take_unaccounted(const StateItem& item) {
    // (An operator may have decided since; what the owner's memory says counts, and otherwise it is held
    // again.)
    const auto record = UnaccountedRecord::from_json(item.data);
    if (record && record->all && !record->rerun)
      out_.evidence.jobs[job_of(item.key)].without_description = true;
  }

  void take_ending(const StateItem& item) {
    const std::string ref = job_of(item.key);
    if (const auto number = job_number(ref)) out_.endings.add(*number);
    // Only those that somebody takes for open matter beyond that.
    const auto open = out_.evidence.jobs.find(ref);
    if (open == out_.evidence.jobs.end() || !item.data.is_object()) return;
    if (const auto status = terminal_status(item.data.value("phase", ""), 0)) {
      JobEvidence ended;
      ended.ending = status->phase;
      open->second.merge(ended);
    }
  }

  StateClient& store_;
  std::string current_;
  SurvivingHandler handler_;
  std::vector<Step> steps_;
  std::size_t at_ = 0;
  SurvivingRecords out_;
};

}  // namespace

void read_surviving_records(StateClient& store, const Incarnation& incarnation, Evidence known,
                            SurvivingHandler handler) {
  std::make_shared<Reader>(store, incarnation, std::move(known), std::move(handler))->next();
}

}  // namespace mothslip::recovery
