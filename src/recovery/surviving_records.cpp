#include "recovery/surviving_records.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "recovery/rebuilt_records.hpp"

namespace mothslip::recovery {

namespace {

// Reads the records once, one key prefix after the other. Placements are not read: when a rebuild reads
// records, either the evidence covers the owners of the machines, or no task is running any more.
class Reader : public std::enable_shared_from_this<Reader> {
 public:
  Reader(StateClient& store, const Incarnation& incarnation, Evidence known_evidence,
         SurvivingRecordsHandler handler)
      : store_(store), key_space_(incarnation), handler_(std::move(handler)) {
    out_.evidence = std::move(known_evidence);
    using ItemHandler = void (Reader::*)(const StateItem&);
    const auto add_step = [this](const std::string& prefix, ItemHandler handle_item) {
      steps_.push_back({prefix, handle_item});
    };
    add_step(incarnation.prefix + keys::kJobRecords, &Reader::add_job_record);
    add_step(incarnation.prefix + keys::kProgress, &Reader::add_progress);
    add_step(incarnation.prefix + keys::kDelegations, &Reader::add_delegation);
    add_step(incarnation.prefix + keys::kSegments, &Reader::add_segment);
    add_step(incarnation.prefix + keys::kUnaccounted, &Reader::add_unaccounted);
    add_step(incarnation.prefix + keys::kEndings, &Reader::add_ending);
    for (const std::string& earlier_prefix : incarnation.earlier_prefixes)
      add_step(earlier_prefix + keys::kEndings, &Reader::add_ending);
  }

  void read_next_prefix() {
    if (step_index_ == steps_.size()) {
      handler_(std::move(out_));
      return;
    }
    const Step step = steps_[step_index_];
    const auto self = shared_from_this();
    store_.scan(
        RequestPriority::kLease, "/" + step.prefix,
        [self, step](const std::vector<StateItem>& items) {
          for (const StateItem& item : items) (self.get()->*step.handle_item)(item);
        },
        [self](Outcome outcome, std::uint64_t revision) {
          if (outcome != Outcome::kOk) {
            self->handler_(std::nullopt);
            return;
          }
          self->out_.revision = std::max(self->out_.revision, revision);
          self->step_index_++;
          self->read_next_prefix();
        });
  }

 private:
  struct Step {
    std::string prefix;
    void (Reader::*handle_item)(const StateItem&);
  };

  // Returns the id of the job that a key belongs to: the part after the last slash and before any tilde.
  static std::string job_id_of_key(const std::string& key) {
    const std::string name = key.substr(key.rfind('/') + 1);
    return name.substr(0, name.find('~'));
  }

  static void log_unreadable(const StateItem& item, const RecordError& error) {
    spdlog::error("recovery: record {} cannot be read: {}", item.key, error.to_text());
  }

  // Returns the evidence about the job, or null if no source read so far contains the job.
  JobEvidence* find_job(const std::string& ref) {
    const auto found = out_.evidence.jobs.find(ref);
    return found == out_.evidence.jobs.end() ? nullptr : &found->second;
  }

  void add_done(const std::string& ref, const RangeSet& done) {
    JobEvidence* job = find_job(ref);
    if (job != nullptr) job->done |= to_task_set(done);
  }

  void add_job_record(const StateItem& item) {
    RecordError error;
    auto job_record = JobRecord::from_json(item.data, &error);
    if (!job_record) return log_unreadable(item, error);
    JobEvidence job;
    job.has_stored_record = true;
    // The controller that accepted the job may not have been answered, or may have ended since.
    job.accepted_at_revision = key_space_.to_logical_revision(item.revision);
    const std::string ref = job_record->spec.ref;
    job.record = std::move(job_record);
    out_.evidence.jobs[ref].merge(job);
  }

  void add_progress(const StateItem& item) {
    const auto progress = ProgressRecord::from_json(item.data, kMaxTasksPerJob);
    if (progress) add_done(job_id_of_key(item.key), progress->done);
  }

  void add_delegation(const StateItem& item) {
    RecordError error;
    const auto delegation = DelegationRecord::from_json(item.data, &error);
    if (!delegation) return log_unreadable(item, error);
    add_done(delegation->job.spec.ref, delegation->done);
  }

  void add_segment(const StateItem& item) {
    RecordError error;
    const auto segment = SegmentRecord::from_json(item.data, &error);
    if (!segment) return log_unreadable(item, error);
    for (const auto& [name, text] : segment->done) {
      if (const auto done = RangeSet::from_text(text, kMaxTasksPerJob)) add_done(job_id_of_key(name), *done);
    }
  }

  void add_unaccounted(const StateItem& item) {
    // An operator may have resolved the job since the record was written. If the owner's memory shows this,
    // it takes precedence; otherwise the job is held again.
    const auto record = UnaccountedRecord::from_json(item.data);
    if (record && record->all_held && !record->rerun)
      out_.evidence.jobs[job_id_of_key(item.key)].without_description = true;
  }

  void add_ending(const StateItem& item) {
    const std::string ref = job_id_of_key(item.key);
    if (const auto number = job_number(ref)) out_.endings.add(*number);
    // Apart from its number, an ending matters only if some source has the job.
    JobEvidence* job = find_job(ref);
    if (job == nullptr || !item.data.is_object()) return;
    if (const auto status = terminal_status(item.data.value("phase", ""), 0)) {
      JobEvidence ended;
      ended.ending = status->phase;
      job->merge(ended);
    }
  }

  StateClient& store_;
  KeySpace key_space_;  // of the surviving records
  SurvivingRecordsHandler handler_;
  std::vector<Step> steps_;
  std::size_t step_index_ = 0;
  SurvivingRecords out_;
};

}  // namespace

void read_surviving_records(StateClient& store, const Incarnation& incarnation, Evidence known_evidence,
                            SurvivingRecordsHandler handler) {
  std::make_shared<Reader>(store, incarnation, std::move(known_evidence), std::move(handler))
      ->read_next_prefix();
}

}  // namespace mothslip::recovery
