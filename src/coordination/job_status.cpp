#include "coordination/job_status.hpp"

#include <utility>

#include "bookkeeping/records.hpp"
#include "protocol/names.hpp"

namespace mothslip {

namespace {
constexpr std::size_t kMostTerminal = 5000;  // remembered
constexpr std::size_t kMostWaiting = 64;     // for one read; others are asked to come back

JobFinding finding(JobFinding::Kind kind) { return {kind, {}}; }
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

std::string cancellation_body(const std::string& ref, JobPhase phase) {
  return dump_json({{"ref", ref}, {"phase", wire_name(phase)}});
}

std::optional<JobStatus> terminal_status(const std::string& name, int done) {
  if (name == wire_name(JobPhase::kDone)) return JobStatus{JobPhase::kDone, done, 0};
  if (name == wire_name(JobPhase::kCancelled)) return JobStatus{JobPhase::kCancelled, 0, 0};
  return std::nullopt;
}

std::string JobStatus::to_body(const std::string& ref) const {
  return dump_json({{"ref", ref}, {"phase", wire_name(phase)}, {"done", done}, {"running", running}});
}

void JobStatusService::note_terminal(const std::string& ref, const JobStatus& status) {
  if (!terminal_.emplace(ref, status).second) return;
  terminal_age_.push_back(ref);
  if (terminal_age_.size() <= kMostTerminal) return;
  terminal_.erase(terminal_age_.front());
  terminal_age_.pop_front();
}

const JobStatus* JobStatusService::terminal(const std::string& ref) const {
  const auto it = terminal_.find(ref);
  return it == terminal_.end() ? nullptr : &it->second;
}

std::optional<JobFinding> JobStatusService::from_memory(const std::string& ref) const {
  if (const JobStatus* status = terminal(ref); status != nullptr)
    return JobFinding{JobFinding::Kind::kStatus, *status};
  return ctx_.ask_owned_shard(ref);
}

void JobStatusService::read(const std::string& ref, Handler handler) {
  if (ctx_.shard_count() == 0) {
    handler(finding(JobFinding::Kind::kUndecided));
    return;
  }
  const auto [it, fresh] = readings_.try_emplace(ref);
  Reading& reading = it->second;
  if (reading.waiting.size() >= kMostWaiting) {
    handler(finding(JobFinding::Kind::kUndecided));
    return;
  }
  reading.waiting.push_back(std::move(handler));
  if (fresh) start_read(ref);
}

// First the head, then the ending: a job moves only in that order.
void JobStatusService::start_read(const std::string& ref) {
  Reading& reading = readings_.at(ref);
  reading.served = std::exchange(reading.waiting, {});
  const int shard = part_of(ref, ctx_.shard_count());
  ctx_.state->get(Lane::kAccept, keys::head(shard, ref), [this, shard, ref](const StateReply& reply) {
    if (reply.outcome == Outcome::kMissing) {
      read_ending(shard, ref);
      return;
    }
    if (!reply.ok() || !reply.body.contains("data")) {
      finish_read(ref, finding(JobFinding::Kind::kUndecided));
      return;
    }
    const Json& head = reply.body["data"];
    if (head.value("phase", "") != "aborted") {
      finish_read(ref, {JobFinding::Kind::kStatus, {}});
    } else if (head.value("spread", false)) {
      // Only the owner knows whether all who borrowed tasks of it have taken note.
      finish_read(ref, finding(JobFinding::Kind::kUndecided));
    } else {
      finish_read(ref, {JobFinding::Kind::kStatus, {JobPhase::kCancelled, 0, 0}});
    }
  });
}

void JobStatusService::read_ending(int shard, const std::string& ref) {
  ctx_.state->get(Lane::kAccept, keys::ending(shard, ref), [this, ref](const StateReply& reply) {
    if (reply.outcome == Outcome::kMissing) {
      finish_read(ref, finding(JobFinding::Kind::kUnknownJob));
      return;
    }
    const Json ending = reply.ok() ? reply.body.value("data", Json()) : Json();
    const auto status = ending.is_object()
                            ? terminal_status(ending.value("phase", ""), ending.value("pieces", 0))
                            : std::nullopt;
    finish_read(
        ref, status ? JobFinding{JobFinding::Kind::kStatus, *status} : finding(JobFinding::Kind::kUndecided));
  });
}

void JobStatusService::finish_read(const std::string& ref, const JobFinding& finding) {
  if (finding.terminal()) note_terminal(ref, finding.status);
  const auto it = readings_.find(ref);
  const std::vector<Handler> served = std::exchange(it->second.served, {});
  if (it->second.waiting.empty()) {
    readings_.erase(it);
  } else {
    start_read(ref);
  }
  for (const Handler& handler : served) handler(finding);
}

}  // namespace mothslip
