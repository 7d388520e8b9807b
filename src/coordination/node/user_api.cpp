#include "coordination/node/user_api.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kForwardSeconds = 0.8;
constexpr double kCancelForwardSeconds = 2.5;
constexpr int kUpgradeSeconds = 5;
constexpr double kJobRecordFill = 0.9;  // of the value size: a cancellation adds to the record
constexpr double kAcceptPatience = 0.8;
// Users wait this long for the state of a job. What is learned later is of no use to them.
constexpr double kPollSeconds = 2.0;
// A job's owner hears of it within a few seconds, or is replaced by one that reads the record.
constexpr double kAcceptedSeconds = 60.0;

void send_unknown(const Responder& responder) { responder.send(404, R"({"error":"unknown"})"); }

void send_starting(const Responder& responder) { responder.send(503, R"({"error":"starting"})", 1); }

void send_finding(const std::string& ref, const JobFinding& finding, const Responder& responder) {
  switch (finding.kind) {
    case JobFinding::Kind::kStatus:
      responder.send(200, finding.status.to_body(ref));
      return;
    case JobFinding::Kind::kUnknownJob:
      send_unknown(responder);
      return;
    case JobFinding::Kind::kBeingCancelled:
      responder.send(503, R"({"error":"being cancelled"})", 1);
      return;
    case JobFinding::Kind::kUndecided:
      responder.send(503, R"({"error":"state service away"})", 1);
      return;
  }
}

// The submission was refused for nothing but that the job is unaccounted.
bool only_unaccounted(const StateReply& reply, int shard, const std::string& ref) {
  return reply.body.is_object() &&
         reply.body.value("failed", Json()) == Json::array({keys::unaccounted(shard, ref)});
}

}  // namespace

UserApi::UserApi(Context context)
    : ctx_(std::move(context)),
      statuses_({ctx_.state, [this] { return ctx_.ownership->shard_count(); },
                 [this](const std::string& ref) -> std::optional<JobFinding> {
                   if (ctx_.ownership->shard_count() == 0) return std::nullopt;
                   const int index = shard_of(ref, ctx_.ownership->shard_count());
                   const ShardLeader* shard = ctx_.ownership->exclusive(index) ? ctx_.shard(index) : nullptr;
                   if (shard == nullptr) return std::nullopt;
                   return shard->find(ref);
                 }}) {}

std::string UserApi::owner_address(const std::string& ref) const {
  return ctx_.peer_address(ctx_.ownership->owner(shard_of(ref, ctx_.ownership->shard_count())).node);
}

void UserApi::pass_on(const std::string& ref, const std::string& body, const Responder& responder) {
  const Json answer = parse_json(body);
  if (answer.is_object()) {
    const auto status = terminal_status(answer.value("phase", ""), answer.value("done", 0));
    if (status) statuses_.note_terminal(ref, *status);
  }
  responder.send(200, body);
}

// ---------------------------------------------------------------- submissions

// A known job is answered with its state whatever the repeat's body says; only then is a refusal right.
void UserApi::refuse(const std::string& ref, int status, const std::string& why, const Responder& responder) {
  const std::string body = dump_json({{"error", why}});
  spdlog::info("submission of {} refused with {}: {}", ref, status, why);
  if (!valid_ref(ref)) {
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
  std::string why;
  auto spec = parse_job(json, why);
  if (spec && spec->gang && !ctx_.gangs) {
    spec.reset();
    why = "shape";
  }
  if (!spec) {
    const auto ref = json.find("ref");
    const bool named = ref != json.end() && ref->is_string();
    refuse(named ? ref->get<std::string>() : "", 400, "bad field: " + why, responder);
    return;
  }
  if (!ctx_.decides() && statuses_.terminal(spec->ref) == nullptr) {
    send_starting(responder);
    return;
  }
  // A repeat of one that is known here needs no write.
  const auto found = statuses_.from_memory(spec->ref);
  if (found && found->kind != JobFinding::Kind::kUnknownJob) {
    poll(spec->ref, true, responder);
    return;
  }
  if (ctx_.types->empty() || ctx_.ownership->shard_count() == 0) {
    send_starting(responder);
    return;
  }
  if (const std::string never = never_runs(*spec, *ctx_.settings, *ctx_.types); !never.empty()) {
    refuse(spec->ref, 422, never, responder);
    return;
  }
  if (ctx_.state->busy(RequestPriority::kAccept, kAcceptPatience)) {
    responder.send(429, R"({"error":"too many submissions"})", 2);
    return;
  }
  if (spec->gang) {
    accept_gang(*spec, responder);
  } else {
    accept(*spec, responder);
  }
}

// Nodes of an earlier version can't run gangs. While one is known to live, none is accepted; but once one has
// been, wherever, that does not hold the others up.
void UserApi::accept_gang(const JobSpec& spec, const Responder& responder) {
  if (gangs_accepted_ || !ctx_.ownership->earlier_version_alive()) return accept(spec, responder);
  ctx_.state->get(RequestPriority::kAccept, keys::kGangs, [this, spec, responder](const StateReply& reply) {
    if (reply.ok()) {
      gangs_accepted_ = true;
      accept(spec, responder);
      return;
    }
    responder.send(503, R"({"error":"not all controllers can run gangs yet"})", kUpgradeSeconds);
  });
}

// `unaccounted`: the job may have run before records were lost. Its description is kept, and nothing told.
void UserApi::accept(const JobSpec& spec, const Responder& responder, bool unaccounted) {
  const std::string& ref = spec.ref;
  const int shard = shard_of(ref, ctx_.ownership->shard_count());
  JobRecord job_record;
  job_record.spec = spec;
  job_record.submitted = ctx_.env->wall();
  // A long list of machine types, most of them unknown here, must not keep the job from being recorded.
  const auto bytes = static_cast<double>(dump_json(job_record.to_json()).size());
  if (bytes > kJobRecordFill * ctx_.settings->value_kb * 1024)
    keep_known_machine_types(job_record.spec, *ctx_.types);
  Transaction txn;
  txn.guard(keys::job_record(shard, ref), 0);
  for (const std::string& key : ctx_.state->key_space().ending_keys(shard, ref)) txn.guard(key, 0);
  const bool rebuilt = !ctx_.state->key_space().incarnation().first();
  if (rebuilt && !unaccounted) txn.guard(keys::unaccounted(shard, ref), 0);
  if (ctx_.settings->tuning.recovery) txn.guard(keys::kMeta, ctx_.ownership->meta_revision());
  txn.put(keys::job_record(shard, ref), job_record.to_json());
  const bool first_gang = spec.gang && !gangs_accepted_;
  if (first_gang) txn.put(keys::kGangs, {{"accepted", true}});
  ctx_.state->commit(RequestPriority::kAccept, txn,
                     [this, ref, shard, job_record, responder, unaccounted](const StateReply& reply) {
                       if (reply.ok()) {
                         spdlog::info("{} accepted", ref);
                         gangs_accepted_ |= job_record.spec.gang;
                         note_accepted(job_record);
                         if (ShardLeader* ours = ctx_.shard(shard); ours != nullptr)
                           ours->admit(job_record, reply.revision());
                         if (unaccounted) return poll(ref, false, responder);
                         responder.send(201, dump_json({{"ref", ref}, {"phase", "queued"}}));
                       } else if (reply.outcome == Outcome::kConflict && !unaccounted &&
                                  only_unaccounted(reply, shard, ref)) {
                         accept(job_record.spec, responder, true);
                       } else if (reply.outcome == Outcome::kConflict) {
                         poll(ref, false, responder);
                       } else if (reply.outcome == Outcome::kInvalid) {
                         spdlog::error("{}: the state service calls the record invalid: {}", ref,
                                       dump_json(reply.body));
                         responder.send(503, R"({"error":"not recorded"})", 5);
                       } else {
                         // Not recorded, or not known to be: a repeat finds out.
                         send_finding(ref, {}, responder);
                       }
                     });
}

void UserApi::note_accepted(const JobRecord& job_record) {
  if (!ctx_.settings->tuning.recovery) return;
  const double now = ctx_.env->now();
  accepted_.push_back({now, job_record});
  while (accepted_.front().at < now - kAcceptedSeconds) accepted_.pop_front();
}

void UserApi::remember(NodeMemory& memory) const {
  statuses_.remember(memory);
  for (const Acceptance& acceptance : accepted_) memory.accepted.push_back(acceptance.record);
}

// ---------------------------------------------------------------- polls

void UserApi::poll(const std::string& ref, bool forwarded, const Responder& responder) {
  if (!valid_ref(ref)) {
    send_unknown(responder);
    return;
  }
  if (!ctx_.decides() && statuses_.terminal(ref) == nullptr) {
    send_starting(responder);
    return;
  }
  const auto found = statuses_.from_memory(ref);
  if (found && found->tellable()) {
    send_finding(ref, *found, responder);
    return;
  }
  if (ctx_.ownership->shard_count() == 0) {
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
  const double asked = ctx_.env->now();
  ctx_.env->call({address, "GET", "/v2/runs/" + ref, "", kForwardSeconds},
                 [this, ref, asked, responder](const HttpReply& reply) {
                   const bool late = ctx_.env->now() - asked > kForwardSeconds;
                   if (reply.status == 200 && !late) {
                     pass_on(ref, reply.body, responder);
                   } else if (reply.status == 404 && !late) {
                     send_unknown(responder);
                   } else {
                     poll_state(ref, {}, responder);
                   }
                 });
}

void UserApi::poll_state(const std::string& ref, const JobStatus& open, const Responder& responder) {
  const double asked = ctx_.env->now();
  statuses_.read(ref, [this, ref, open, asked, responder](JobFinding found) {
    const bool late = ctx_.env->now() - asked > kPollSeconds;
    if (!found.terminal()) {
      if (late) found = {};
      found.status = open;
    }
    send_finding(ref, found, responder);
  });
}

// ---------------------------------------------------------------- cancellations

void UserApi::cancel(const std::string& ref, bool forwarded, const Responder& responder) {
  if (!valid_ref(ref)) {
    send_unknown(responder);
    return;
  }
  if (const JobStatus* status = statuses_.terminal(ref); status != nullptr) {
    responder.send(200, cancellation_body(ref, status->phase));
    return;
  }
  if (ctx_.ownership->shard_count() == 0 || !ctx_.decides()) {
    send_starting(responder);
    return;
  }
  if (ShardLeader* shard = ctx_.shard(shard_of(ref, ctx_.ownership->shard_count())); shard != nullptr) {
    if (shard->knows(ref)) {
      shard->cancel(ref, responder);
    } else {
      cancel_unknown_here(ref, responder);
    }
    return;
  }
  const std::string address = owner_address(ref);
  if (forwarded || address.empty()) {
    responder.send(503, R"({"error":"no owner"})", 1);
  } else {
    cancel_at_owner(address, ref, responder);
  }
}

void UserApi::cancel_unknown_here(const std::string& ref, const Responder& responder) {
  statuses_.read(ref, [ref, responder](const JobFinding& found) {
    if (found.terminal()) {
      responder.send(200, cancellation_body(ref, found.status.phase));
    } else if (found.kind == JobFinding::Kind::kUnknownJob) {
      send_unknown(responder);
    } else {
      responder.send(503, R"({"error":"not yet"})", 1);  // accepted elsewhere a moment ago
    }
  });
}

void UserApi::cancel_at_owner(const std::string& address, const std::string& ref,
                              const Responder& responder) {
  ctx_.env->call({address, "POST", "/v2/runs/" + ref + "/cancel", "{}", kCancelForwardSeconds},
                 [this, ref, responder](const HttpReply& reply) {
                   if (reply.status == 200) {
                     pass_on(ref, reply.body, responder);
                   } else if (reply.status == 404) {
                     send_unknown(responder);
                   } else {
                     responder.send(503, R"({"error":"owner not reached"})", 1);
                   }
                 });
}

}  // namespace mothslip
