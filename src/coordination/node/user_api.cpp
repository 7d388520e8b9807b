#include "coordination/node/user_api.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/node/peer_messages.hpp"
#include "protocol/paths.hpp"

namespace mothslip {

namespace {
// The time that the owner has to answer a poll. After that, the state service is read.
constexpr double kPollForwardTimeoutSeconds = 0.8;
// The time that the owner has to answer a cancellation.
constexpr double kCancelForwardTimeoutSeconds = 2.5;
// The fraction of the maximum value size that a new job record may fill. A cancellation adds to the record.
constexpr double kMaxJobRecordFraction = 0.9;
constexpr double kMaxAcceptWaitSeconds = 0.8;
// The time that users wait for the status of a job. A later result is of no use to them.
constexpr double kPollReadTimeoutSeconds = 2.0;
// Within a few seconds, the owner of a job learns of it or is replaced by an owner that reads the job record.
constexpr double kAcceptedRetentionSeconds = 60.0;

// Values of the Retry-After header.
constexpr int kRetryAfterSeconds = 1;
constexpr int kBusyRetryAfterSeconds = 2;
constexpr int kInvalidRecordRetryAfterSeconds = 5;
constexpr int kUpgradeRetryAfterSeconds = 5;

void send_unknown_job(const Responder& responder) { responder.send(404, R"({"error":"unknown"})"); }

void send_starting(const Responder& responder) {
  responder.send(503, R"({"error":"starting"})", kRetryAfterSeconds);
}

// Logs what the answer to a poll rests on. After a loss of records this tells answers that rest on a read
// from those that rest on the memory of the owner.
void log_poll_answer(const std::string& ref, const JobFinding& finding, const char* source,
                     std::uint64_t newest_revision) {
  const bool has_status = finding.kind == JobFinding::Kind::kStatus;
  spdlog::debug("job {}: poll answered from {}: {}; newest known revision {}", ref, source,
                has_status ? wire_name(finding.status.phase) : "no status", newest_revision);
}

void send_finding(const std::string& ref, const JobFinding& finding, const Responder& responder) {
  switch (finding.kind) {
    case JobFinding::Kind::kStatus:
      responder.send(200, finding.status.to_body(ref));
      return;
    case JobFinding::Kind::kUnknownJob:
      send_unknown_job(responder);
      return;
    case JobFinding::Kind::kBeingCancelled:
      responder.send(503, R"({"error":"being cancelled"})", kRetryAfterSeconds);
      return;
    case JobFinding::Kind::kUndecided:
      responder.send(503, R"({"error":"state service away"})", kRetryAfterSeconds);
      return;
  }
}

// Returns the `ref` of a submission that is not a valid job; empty if it has none.
std::string job_ref_of(const Json& submission) {
  const auto ref = submission.find("ref");
  return ref != submission.end() && ref->is_string() ? ref->get<std::string>() : "";
}

// Returns true if the only failed guard of the submission is the one that the job is not unaccounted.
bool conflicts_only_on_unaccounted(const StateReply& reply, int shard, const std::string& ref) {
  return reply.failed_keys() == std::vector<std::string>{keys::unaccounted(shard, ref)};
}

}  // namespace

UserApi::UserApi(Context context)
    : ctx_(std::move(context)),
      statuses_({ctx_.state, [this] { return ctx_.ownership->shard_count(); },
                 [this](const std::string& ref) { return ask_owned_shard(ref); }}) {}

std::optional<JobFinding> UserApi::ask_owned_shard(const std::string& ref) const {
  if (!are_shards_known()) return std::nullopt;
  const int shard = home_shard(ref);
  const ShardLeader* leader =
      ctx_.ownership->owns_exclusively(shard) ? ctx_.find_active_shard(shard) : nullptr;
  if (leader == nullptr) return std::nullopt;
  return leader->find(ref);
}

std::string UserApi::owner_address(const std::string& ref) const {
  return ctx_.settings->member_address(ctx_.ownership->owner(home_shard(ref)).node);
}

void UserApi::forward_reply(const std::string& ref, const std::string& body, const Responder& responder) {
  if (const auto status = terminal_status_of_answer(parse_json(body))) statuses_.cache_terminal(ref, *status);
  responder.send(200, body);
}

// ---------------------------------------------------------------- submissions

// If the job is known, a repeated submission is answered with its status, even if the repeated body is
// invalid. The submission is refused only if the job is unknown.
void UserApi::refuse(const std::string& ref, int status, const std::string& why, const Responder& responder) {
  const std::string body = dump_json({{"error", why}});
  spdlog::info("job {}: submission refused with status {}: {}", ref, status, why);
  if (!is_valid_ref(ref)) {
    responder.send(status, body);
    return;
  }
  statuses_.read(ref, [this, ref, status, body, responder](const JobFinding& found) {
    switch (found.kind) {
      case JobFinding::Kind::kUnknownJob:
        responder.send(status, body);
        return;
      case JobFinding::Kind::kStatus:
        poll(ref, false, responder);
        return;
      default:
        send_finding(ref, found, responder);
    }
  });
}

void UserApi::submit(const std::string& body, const Responder& responder) {
  const Json json = parse_json(body);
  if (!json.is_object()) {
    responder.send(400, R"({"error":"not a JSON object"})");
    return;
  }
  std::string bad_field;
  auto spec = parse_job(json, bad_field);
  if (spec && spec->is_gang && !ctx_.supports_gangs) {
    spec.reset();
    bad_field = "shape";
  }
  if (spec) {
    submit_parsed(*spec, responder);
  } else {
    refuse(job_ref_of(json), 400, "bad field: " + bad_field, responder);
  }
}

void UserApi::submit_parsed(const JobSpec& spec, const Responder& responder) {
  if (!ctx_.may_decide() && statuses_.cached_terminal(spec.ref) == nullptr) {
    send_starting(responder);
    return;
  }
  // A repeated submission of a job that is known here needs no write.
  const auto found = statuses_.from_memory(spec.ref);
  if (found && found->kind != JobFinding::Kind::kUnknownJob) {
    poll(spec.ref, true, responder);
    return;
  }
  if (ctx_.types->empty() || !are_shards_known()) {
    send_starting(responder);
    return;
  }
  if (const std::string reason = unschedulable_reason(spec, *ctx_.settings, *ctx_.types); !reason.empty()) {
    refuse(spec.ref, 422, reason, responder);
    return;
  }
  if (ctx_.state->is_busy(RequestPriority::kAccept, kMaxAcceptWaitSeconds)) {
    responder.send(429, R"({"error":"too many submissions"})", kBusyRetryAfterSeconds);
    return;
  }
  if (spec.is_gang) {
    accept_gang(spec, responder);
  } else {
    accept(spec, responder);
  }
}

// Nodes of an earlier version cannot run gangs. No gang is accepted while such a node is known to be alive.
// Once any node has accepted a gang, a live node of an earlier version no longer blocks further gangs.
void UserApi::accept_gang(const JobSpec& spec, const Responder& responder) {
  if (gang_was_accepted_ || !ctx_.ownership->has_live_node_without_gangs()) return accept(spec, responder);
  ctx_.state->get(RequestPriority::kAccept, keys::kGangs, [this, spec, responder](const StateReply& reply) {
    if (reply.ok()) {
      gang_was_accepted_ = true;
      accept(spec, responder);
      return;
    }
    responder.send(503, R"({"error":"not all controllers can run gangs yet"})", kUpgradeRetryAfterSeconds);
  });
}

void UserApi::accept(const JobSpec& spec, const Responder& responder, bool is_unaccounted) {
  const Acceptance acceptance{job_record(spec), home_shard(spec.ref), is_unaccounted, responder};
  ctx_.state->commit(RequestPriority::kAccept, acceptance_writes(acceptance),
                     [this, acceptance](const StateReply& reply) { on_acceptance_reply(acceptance, reply); });
}

JobRecord UserApi::job_record(const JobSpec& spec) const {
  JobRecord record;
  record.spec = spec;
  record.submitted_at = ctx_.env->wall_time();
  // A long list of machine types, most of them unknown here, must not prevent the job from being recorded.
  const auto bytes = static_cast<double>(dump_json(record.to_json()).size());
  const double max_bytes = kMaxJobRecordFraction * ctx_.settings->value_kb * 1024;
  if (bytes > max_bytes) remove_unknown_machine_types(record.spec, *ctx_.types);
  return record;
}

// Returns the writes that create the job record, on the condition that the job is new.
Transaction UserApi::acceptance_writes(const Acceptance& acceptance) const {
  const JobSpec& spec = acceptance.record.spec;
  const int shard = acceptance.shard;
  const KeySpace& key_space = ctx_.state->key_space();
  Transaction txn;
  txn.guard(keys::job_record(shard, spec.ref), 0);
  for (const std::string& key : key_space.ending_keys(shard, spec.ref)) txn.guard(key, 0);
  const bool records_were_lost = !key_space.incarnation().is_first();
  if (records_were_lost && !acceptance.is_unaccounted) txn.guard(keys::unaccounted(shard, spec.ref), 0);
  if (ctx_.settings->tuning.recovery) txn.guard(keys::kMeta, ctx_.ownership->meta_revision());
  txn.put(keys::job_record(shard, spec.ref), acceptance.record.to_json());
  const bool is_first_gang = spec.is_gang && !gang_was_accepted_;
  if (is_first_gang) txn.put(keys::kGangs, {{"accepted", true}});
  return txn;
}

void UserApi::on_acceptance_reply(const Acceptance& acceptance, const StateReply& reply) {
  const std::string& ref = acceptance.record.spec.ref;
  const Responder& responder = acceptance.responder;
  if (reply.ok()) {
    on_accepted(acceptance, reply.revision());
  } else if (reply.outcome == Outcome::kConflict && !acceptance.is_unaccounted &&
             conflicts_only_on_unaccounted(reply, acceptance.shard, ref)) {
    accept(acceptance.record.spec, responder, true);
  } else if (reply.outcome == Outcome::kConflict) {
    poll(ref, false, responder);
  } else if (reply.outcome == Outcome::kInvalid) {
    spdlog::error("job {}: not accepted because the state service rejected its record as invalid: {}", ref,
                  dump_json(reply.body));
    responder.send(503, R"({"error":"not recorded"})", kInvalidRecordRetryAfterSeconds);
  } else {
    // Whether the job was recorded is unknown, or it was not. A repeated submission finds out.
    send_finding(ref, {}, responder);
  }
}

void UserApi::on_accepted(const Acceptance& acceptance, std::uint64_t revision) {
  const JobRecord& record = acceptance.record;
  const std::string& ref = record.spec.ref;
  spdlog::info("job {}: submission accepted, job record written", ref);
  gang_was_accepted_ |= record.spec.is_gang;
  remember_accepted(record, revision);
  // The guards have compared only what the service still has, so the job may have been accepted and have
  // ended before. That becomes known when the records are rebuilt.
  if (ctx_.state->is_state_lost()) {
    send_finding(ref, {}, acceptance.responder);
    return;
  }
  if (ShardLeader* leader = ctx_.find_active_shard(acceptance.shard); leader != nullptr)
    leader->admit(record, revision);
  if (acceptance.is_unaccounted) {
    poll(ref, false, acceptance.responder);
  } else {
    acceptance.responder.send(201, acceptance_body(ref));
  }
}

void UserApi::remember_accepted(const JobRecord& record, std::uint64_t revision) {
  if (!ctx_.settings->tuning.recovery) return;
  const double now = ctx_.env->now();
  accepted_.push_back({now, {record, revision}});
  while (accepted_.front().accepted_at < now - kAcceptedRetentionSeconds) accepted_.pop_front();
}

void UserApi::add_to(NodeMemory& memory) const {
  statuses_.add_to(memory);
  for (const RecentAcceptance& each : accepted_) memory.accepted.push_back(each.job);
}

// ---------------------------------------------------------------- polls

void UserApi::poll(const std::string& ref, bool forwarded, const Responder& responder) {
  if (!is_valid_ref(ref)) {
    send_unknown_job(responder);
    return;
  }
  if (!ctx_.may_decide() && statuses_.cached_terminal(ref) == nullptr) {
    send_starting(responder);
    return;
  }
  const auto found = statuses_.from_memory(ref);
  if (found && found->can_be_reported()) {
    log_poll_answer(ref, *found, "memory", ctx_.state->newest_revision());
    send_finding(ref, *found, responder);
    return;
  }
  if (!are_shards_known()) {
    send_starting(responder);
    return;
  }
  const std::string address = owner_address(ref);
  if (found || forwarded || address.empty()) {
    poll_state(ref, found ? found->status : JobStatus(), responder);
  } else {
    poll_owner(address, ref, responder);
  }
}

void UserApi::poll_owner(const std::string& address, const std::string& ref, const Responder& responder) {
  const double asked_at = ctx_.env->now();
  const std::string path = forwarded_path(paths::job(ref), ctx_.state->newest_revision());
  ctx_.env->call({address, "GET", path, "", kPollForwardTimeoutSeconds},
                 [this, ref, asked_at, responder](const HttpReply& reply) {
                   const bool is_late = ctx_.env->now() - asked_at > kPollForwardTimeoutSeconds;
                   if (reply.status == 200 && !is_late) {
                     forward_reply(ref, reply.body, responder);
                   } else if (reply.status == 404 && !is_late) {
                     send_unknown_job(responder);
                   } else {
                     poll_state(ref, {}, responder);
                   }
                 });
}

void UserApi::poll_state(const std::string& ref, const JobStatus& open_status, const Responder& responder) {
  const double asked_at = ctx_.env->now();
  statuses_.read(ref, [this, ref, open_status, asked_at, responder](JobFinding found) {
    const bool is_late = ctx_.env->now() - asked_at > kPollReadTimeoutSeconds;
    if (!found.is_terminal()) {
      if (is_late) found = {};
      found.status = open_status;
    }
    log_poll_answer(ref, found, "the state service", ctx_.state->newest_revision());
    send_finding(ref, found, responder);
  });
}

// ---------------------------------------------------------------- cancellations

void UserApi::cancel(const std::string& ref, bool forwarded, const Responder& responder) {
  if (!is_valid_ref(ref)) {
    send_unknown_job(responder);
    return;
  }
  if (const JobStatus* status = statuses_.cached_terminal(ref); status != nullptr) {
    responder.send(200, cancellation_body(ref, status->phase));
    return;
  }
  if (!are_shards_known() || !ctx_.may_decide()) {
    send_starting(responder);
    return;
  }
  if (ShardLeader* leader = ctx_.find_active_shard(home_shard(ref)); leader != nullptr) {
    if (leader->has_job(ref)) {
      leader->cancel(ref, responder);
    } else {
      cancel_unknown_job(ref, responder);
    }
    return;
  }
  const std::string address = owner_address(ref);
  if (forwarded || address.empty()) {
    responder.send(503, R"({"error":"no owner"})", kRetryAfterSeconds);
  } else {
    cancel_at_owner(address, ref, responder);
  }
}

void UserApi::cancel_unknown_job(const std::string& ref, const Responder& responder) {
  statuses_.read(ref, [ref, responder](const JobFinding& found) {
    if (found.is_terminal()) {
      responder.send(200, cancellation_body(ref, found.status.phase));
    } else if (found.kind == JobFinding::Kind::kUnknownJob) {
      send_unknown_job(responder);
    } else {
      // Another node accepted the job a moment ago.
      responder.send(503, R"({"error":"not yet"})", kRetryAfterSeconds);
    }
  });
}

void UserApi::cancel_at_owner(const std::string& address, const std::string& ref,
                              const Responder& responder) {
  const std::string path = forwarded_path(paths::cancel(ref), ctx_.state->newest_revision());
  ctx_.env->call({address, "POST", path, "{}", kCancelForwardTimeoutSeconds},
                 [this, ref, responder](const HttpReply& reply) {
                   if (reply.status == 200) {
                     forward_reply(ref, reply.body, responder);
                   } else if (reply.status == 404) {
                     send_unknown_job(responder);
                   } else {
                     responder.send(503, R"({"error":"owner not reached"})", kRetryAfterSeconds);
                   }
                 });
}

}  // namespace mothslip
