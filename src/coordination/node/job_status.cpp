#include "coordination/node/job_status.hpp"

#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/node/node_memory.hpp"
#include "protocol/names.hpp"

namespace mothslip {

namespace {
constexpr std::size_t kMaxCachedTerminals = 5000;
constexpr std::size_t kMaxWaitersPerRead = 64;  // further callers are asked to retry

JobFinding finding(JobFinding::Kind kind) { return {kind, {}}; }

JobFinding status_finding(const JobStatus& status) { return {JobFinding::Kind::kStatus, status}; }

// Returns what a job record in the state service shows about the status of the job. The job's description is
// not needed here.
JobFinding finding_of_job_record(const Json& record) {
  const bool cancelled = record.value("phase", "") == wire_name(JobPhase::kCancelled);
  if (!cancelled) return status_finding({});
  // If tasks were delegated, only the owner knows whether all shards that hold them have received the
  // cancellation.
  const bool delegated = record.value("spread", false);
  if (delegated) return finding(JobFinding::Kind::kUndecided);
  return status_finding({JobPhase::kCancelled, 0, 0});
}

// Returns what the ending of a job in the state service (ending_json) shows.
JobFinding finding_of_ending(const Json& ending) {
  if (!ending.is_object()) return finding(JobFinding::Kind::kUndecided);
  const auto status = terminal_status(ending.value("phase", ""), ending.value("pieces", 0));
  return status ? status_finding(*status) : finding(JobFinding::Kind::kUndecided);
}
}  // namespace

const char* wire_name(JobPhase phase) {
  switch (phase) {
    case JobPhase::kQueued:
      return "queued";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kDone:
      return "done";
    case JobPhase::kCancelled:
      return "aborted";
  }
  return "";
}

std::string acceptance_body(const std::string& ref) {
  return dump_json({{"ref", ref}, {"phase", wire_name(JobPhase::kQueued)}});
}

std::string cancellation_body(const std::string& ref, JobPhase phase) {
  return dump_json({{"ref", ref}, {"phase", wire_name(phase)}});
}

std::optional<JobStatus> terminal_status(const std::string& name, int done) {
  if (name == wire_name(JobPhase::kDone)) return JobStatus{JobPhase::kDone, done, 0};
  if (name == wire_name(JobPhase::kCancelled)) return JobStatus{JobPhase::kCancelled, 0, 0};
  return std::nullopt;
}

std::optional<JobStatus> terminal_status_of_answer(const Json& answer) {
  if (!answer.is_object()) return std::nullopt;
  return terminal_status(answer.value("phase", ""), answer.value("done", 0));
}

std::string JobStatus::to_body(const std::string& ref) const {
  return dump_json({{"ref", ref}, {"phase", wire_name(phase)}, {"done", done}, {"running", running}});
}

void JobStatusService::add_to(NodeMemory& memory) const {
  for (const auto& [ref, status] : cached_terminals_) memory.terminals.emplace(ref, status);
  memory.terminals_known_since = dropped_up_to_revision_;
}

void JobStatusService::cache_terminal(const std::string& ref, const JobStatus& status) {
  if (!cached_terminals_.emplace(ref, status).second) return;
  cached_terminals_by_age_.push_back({ref, ctx_.state->newest_revision()});
  if (cached_terminals_by_age_.size() <= kMaxCachedTerminals) return;
  const CachedJob& dropped = cached_terminals_by_age_.front();
  dropped_up_to_revision_ = dropped.newest_revision;
  cached_terminals_.erase(dropped.ref);
  cached_terminals_by_age_.pop_front();
}

const JobStatus* JobStatusService::cached_terminal(const std::string& ref) const {
  const auto it = cached_terminals_.find(ref);
  return it == cached_terminals_.end() ? nullptr : &it->second;
}

std::optional<JobFinding> JobStatusService::from_memory(const std::string& ref) const {
  if (const JobStatus* status = cached_terminal(ref); status != nullptr) return status_finding(*status);
  return ctx_.ask_owned_shard(ref);
}

void JobStatusService::read(const std::string& ref, Handler handler) {
  if (ctx_.shard_count() == 0) {
    handler(finding(JobFinding::Kind::kUndecided));
    return;
  }
  const auto [it, is_first] = reads_.try_emplace(ref);
  JobReads& reads = it->second;
  if (reads.next_handlers.size() >= kMaxWaitersPerRead) {
    handler(finding(JobFinding::Kind::kUndecided));
    return;
  }
  reads.next_handlers.push_back(std::move(handler));
  if (is_first) start_read(ref);
}

void JobStatusService::start_read(const std::string& ref) {
  JobReads& reads = reads_.at(ref);
  reads.current_handlers = std::exchange(reads.next_handlers, {});
  if (ctx_.state->key_space().incarnation().is_first()) {
    read_job_record(ref);
  } else {
    read_unaccounted(ref);
  }
}

// Called if records were lost before. The outcome of the job may then be unknown although its ending was
// reported earlier. The unaccounted record is read before the job record because it is never created later,
// and is deleted together with the write that decides the job. When it was read after the job record, it
// could be found deleted by the write of the ending: the job record read before was then reported as queued
// although the job had ended.
void JobStatusService::read_unaccounted(const std::string& ref) {
  const std::string key = keys::unaccounted(shard_of(ref, ctx_.shard_count()), ref);
  ctx_.state->get(RequestPriority::kAccept, key,
                  [this, ref](const StateReply& reply) { on_unaccounted(ref, reply); });
}

void JobStatusService::on_unaccounted(const std::string& ref, const StateReply& reply) {
  if (reply.outcome == Outcome::kMissing) {
    read_job_record(ref);
    return;
  }
  const auto record = reply.ok() ? UnaccountedRecord::from_json(reply.data()) : std::nullopt;
  if (!record || record->withholds_status()) {
    finish_read(ref, finding(JobFinding::Kind::kUndecided));
  } else if (record->all_held) {
    finish_read(ref, status_finding({}));  // the job waits for its description
  } else {
    read_job_record(ref);
  }
}

// Reads the job record before the ending because a job only ever moves in that order.
void JobStatusService::read_job_record(const std::string& ref) {
  const int shard = shard_of(ref, ctx_.shard_count());
  ctx_.state->get(RequestPriority::kAccept, keys::job_record(shard, ref),
                  [this, ref](const StateReply& reply) { on_job_record(ref, reply); });
}

void JobStatusService::on_job_record(const std::string& ref, const StateReply& reply) {
  if (reply.outcome == Outcome::kMissing) {
    const int shard = shard_of(ref, ctx_.shard_count());
    read_ending(ref, ctx_.state->key_space().ending_keys(shard, ref), 0);
  } else if (!reply.has_data()) {
    finish_read(ref, finding(JobFinding::Kind::kUndecided));
  } else {
    finish_read(ref, finding_of_job_record(reply.data()));
  }
}

void JobStatusService::read_ending(const std::string& ref, std::vector<std::string> keys, std::size_t next) {
  if (next == keys.size()) {
    finish_read(ref, finding(JobFinding::Kind::kUnknownJob));
    return;
  }
  const std::string key = keys[next];
  const auto handler = [this, ref, keys = std::move(keys), next](const StateReply& reply) {
    if (reply.outcome == Outcome::kMissing) {
      read_ending(ref, keys, next + 1);
    } else {
      finish_read(ref, reply.ok() ? finding_of_ending(reply.data()) : finding(JobFinding::Kind::kUndecided));
    }
  };
  ctx_.state->get(RequestPriority::kAccept, key, handler);
}

void JobStatusService::finish_read(const std::string& ref, const JobFinding& finding) {
  if (finding.is_terminal()) cache_terminal(ref, finding.status);
  const auto it = reads_.find(ref);
  const std::vector<Handler> current_handlers = std::exchange(it->second.current_handlers, {});
  if (it->second.next_handlers.empty()) {
    reads_.erase(it);
  } else {
    start_read(ref);
  }
  for (const Handler& handler : current_handlers) handler(finding);
}

}  // namespace mothslip
