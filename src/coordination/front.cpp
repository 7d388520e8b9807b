#include "coordination/front.hpp"

#include <spdlog/spdlog.h>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr std::size_t kMaxEnded = 5000;
constexpr double kForwardSeconds = 0.8;
constexpr double kCancelForwardSeconds = 2.5;
constexpr double kAcceptPatience = 0.8;
// Users wait this long for the state of a job. What we learn later, after standing still for instance, may be
// older than what they have been told meanwhile.
constexpr double kPollSeconds = 2.0;
const char* const kAway = R"({"error":"state service away"})";
}  // namespace

Part* Front::sure_part(const std::string& ref) const {
  if (ctx_.ownership->parts() == 0 || !ctx_.ownership->valid()) return nullptr;
  return ctx_.part(part_of(ref, ctx_.ownership->parts()));
}

void Front::note_ended(const std::string& ref, const char* phase, int pieces) {
  if (ended_.count(ref) > 0) return;
  ended_age_.push_back(ref);
  ended_.emplace(ref, Ended{phase, pieces});
  if (ended_.size() > kMaxEnded) {
    ended_.erase(ended_age_.front());
    ended_age_.pop_front();
  }
}

std::string Front::ended_body(const std::string& ref) const {
  const Ended& ended = ended_.at(ref);
  return dump_json({{"ref", ref},
                    {"phase", ended.phase},
                    {"done", ended.phase == "done" ? ended.pieces : 0},
                    {"running", 0}});
}

void Front::relay_ended(const std::string& ref, const std::string& body) {
  const Json answer = parse_json(body);
  if (!answer.is_object()) return;
  const std::string phase = answer.value("phase", "");
  if (phase == "done") note_ended(ref, "done", answer.value("done", 0));
  if (phase == "aborted") note_ended(ref, "aborted", 0);
}

// The state service's word: first the head, then the ending; a job moves only in that order.
void Front::look_up(const std::string& ref, std::function<void(Known)> handler) {
  if (ctx_.ownership->parts() == 0) {
    handler(Known::kUnsure);
    return;
  }
  const int part = part_of(ref, ctx_.ownership->parts());
  ctx_.state->get(Lane::kAccept, keys::head(part, ref), [this, ref, part, handler](const StateReply& head) {
    if (head.ok() && head.body.contains("data")) {
      const Json& data = head.body["data"];
      if (data.value("phase", "") == "aborted") {
        // Only the owner knows whether all who borrowed tasks of it have taken note.
        if (data.value("spread", false)) return handler(Known::kUnsure);
        note_ended(ref, "aborted", 0);
        handler(Known::kEnded);
      } else {
        handler(Known::kOpen);
      }
      return;
    }
    if (head.outcome != Outcome::kMissing) {
      handler(Known::kUnsure);
      return;
    }
    ctx_.state->get(Lane::kAccept, keys::ending(part, ref), [this, ref, handler](const StateReply& ending) {
      if (ending.ok() && ending.body.contains("data")) {
        const std::string phase = ending.body["data"].value("phase", "done");
        note_ended(ref, phase.c_str(), ending.body["data"].value("pieces", 0));
        handler(Known::kEnded);
      } else {
        handler(ending.outcome == Outcome::kMissing ? Known::kUnknown : Known::kUnsure);
      }
    });
  });
}

// ---------------------------------------------------------------- submissions

// A known job is answered with its state whatever the repeat's body says; only then is a refusal right.
void Front::refuse(const std::string& ref, int status, const std::string& why, Responder responder) {
  const std::string body = dump_json({{"error", why}});
  spdlog::info("submission of {} refused with {}: {}", ref, status, why);
  if (!valid_ref(ref)) {
    responder.send(status, body);
    return;
  }
  look_up(ref, [this, ref, status, body, responder](Known known) {
    switch (known) {
      case Known::kUnknown:
        responder.send(status, body);
        return;
      case Known::kUnsure:
        responder.send(503, kAway, 1);
        return;
      default:
        show(ref, false, responder);
    }
  });
}

void Front::submit(const std::string& body, Responder responder) {
  const Json json = parse_json(body);
  if (!json.is_object()) {
    responder.send(400, R"({"error":"not a JSON object"})");
    return;
  }
  std::string why;
  const auto spec = parse_job(json, why);
  if (!spec) {
    const auto ref = json.find("ref");
    refuse(ref != json.end() && ref->is_string() ? ref->get<std::string>() : "", 400, "bad field: " + why,
           std::move(responder));
    return;
  }
  const std::string ref = spec->ref;
  if (ended_.count(ref) > 0) {
    responder.send(200, ended_body(ref));
    return;
  }
  if (const Part* part = sure_part(ref); part != nullptr && part->knows(ref)) {
    show(ref, true, std::move(responder));
    return;
  }
  if (ctx_.types->empty() || ctx_.ownership->parts() == 0) {
    responder.send(503, R"({"error":"starting"})", 1);
    return;
  }
  if (const std::string never = never_runs(*spec, *ctx_.settings, *ctx_.types); !never.empty()) {
    refuse(ref, 422, never, std::move(responder));
    return;
  }
  if (ctx_.state->busy(Lane::kAccept, kAcceptPatience)) {
    responder.send(429, R"({"error":"too many submissions"})", 2);
    return;
  }
  HeadRecord head;
  head.spec = *spec;
  head.submitted = ctx_.env->wall();
  const int part = part_of(ref, ctx_.ownership->parts());
  Transaction txn;
  txn.guard(keys::head(part, ref), 0);
  txn.guard(keys::ending(part, ref), 0);
  txn.put(keys::head(part, ref), head.to_json());
  ctx_.state->commit(Lane::kAccept, txn, [this, ref, part, head, responder](const StateReply& reply) {
    if (reply.ok()) {
      spdlog::info("{} accepted", ref);
      if (Part* ours = ctx_.part(part); ours != nullptr) ours->admit(head, reply.epoch());
      responder.send(201, dump_json({{"ref", ref}, {"phase", "queued"}}));
    } else if (reply.outcome == Outcome::kConflict) {
      show(ref, false, responder);
    } else if (reply.outcome == Outcome::kInvalid) {
      spdlog::error("{}: the state service calls the record invalid: {}", ref, dump_json(reply.body));
      responder.send(503, R"({"error":"not recorded"})", 5);
    } else {
      // Not recorded, or not known to be: a repeat finds out.
      responder.send(503, kAway, 1);
    }
  });
}

// ---------------------------------------------------------------- questions

void Front::show(const std::string& ref, bool forwarded, Responder responder) {
  if (!valid_ref(ref)) {
    responder.send(404, R"({"error":"unknown"})");
    return;
  }
  if (ended_.count(ref) > 0) {
    responder.send(200, ended_body(ref));
    return;
  }
  if (ctx_.ownership->parts() == 0) {
    responder.send(503, R"({"error":"starting"})", 1);
    return;
  }
  if (const Part* part = sure_part(ref); part != nullptr) {
    if (const auto view = part->view(ref)) {
      if (view->phase == nullptr) return responder.send(503, R"({"error":"being cancelled"})", 1);
      responder.send(
          200, dump_json(
                   {{"ref", ref}, {"phase", view->phase}, {"done", view->done}, {"running", view->running}}));
      return;
    }
    show_from_state(ref, std::move(responder));
    return;
  }
  const PartOwner& owner = ctx_.ownership->owner(part_of(ref, ctx_.ownership->parts()));
  const std::string address = ctx_.peer_address(owner.node);
  if (forwarded || address.empty()) {
    show_from_state(ref, std::move(responder));
    return;
  }
  const double asked = ctx_.env->now();
  ctx_.env->call({address, "GET", "/v2/runs/" + ref, "", kForwardSeconds},
                 [this, ref, asked, responder](const HttpReply& reply) {
                   const bool late = ctx_.env->now() - asked > kForwardSeconds;
                   if (reply.status == 200 && !late) {
                     relay_ended(ref, reply.body);
                     responder.send(200, reply.body);
                   } else if (reply.status == 404 && !late) {
                     responder.send(404, reply.body);
                   } else {
                     show_from_state(ref, responder);
                   }
                 });
}

void Front::show_from_state(const std::string& ref, Responder responder) {
  const double asked = ctx_.env->now();
  look_up(ref, [this, ref, asked, responder](Known known) {
    const bool late = ctx_.env->now() - asked > kPollSeconds;
    switch (late && known != Known::kEnded ? Known::kUnsure : known) {
      case Known::kEnded:
        responder.send(200, ended_body(ref));
        return;
      case Known::kOpen:
        responder.send(200, dump_json({{"ref", ref}, {"phase", "queued"}}));
        return;
      case Known::kUnknown:
        responder.send(404, R"({"error":"unknown"})");
        return;
      case Known::kUnsure:
        responder.send(503, kAway, 1);
        return;
    }
  });
}

// ---------------------------------------------------------------- cancellations

void Front::cancel(const std::string& ref, bool forwarded, Responder responder) {
  if (!valid_ref(ref)) {
    responder.send(404, R"({"error":"unknown"})");
    return;
  }
  if (ended_.count(ref) > 0) {
    responder.send(200, dump_json({{"ref", ref}, {"phase", ended_.at(ref).phase}}));
    return;
  }
  if (ctx_.ownership->parts() == 0) {
    responder.send(503, R"({"error":"starting"})", 1);
    return;
  }
  const int index = part_of(ref, ctx_.ownership->parts());
  if (Part* part = ctx_.part(index); part != nullptr) {
    if (part->knows(ref)) {
      part->cancel(ref, std::move(responder));
      return;
    }
    look_up(ref, [this, ref, responder](Known known) {
      switch (known) {
        case Known::kEnded:
          responder.send(200, dump_json({{"ref", ref}, {"phase", ended_.at(ref).phase}}));
          return;
        case Known::kUnknown:
          responder.send(404, R"({"error":"unknown"})");
          return;
        default:
          responder.send(503, R"({"error":"not yet"})", 1);  // accepted elsewhere a moment ago
      }
    });
    return;
  }
  const std::string address = ctx_.peer_address(ctx_.ownership->owner(index).node);
  if (forwarded || address.empty()) {
    responder.send(503, R"({"error":"no owner"})", 1);
    return;
  }
  ctx_.env->call({address, "POST", "/v2/runs/" + ref + "/cancel", "{}", kCancelForwardSeconds},
                 [this, ref, responder](const HttpReply& reply) {
                   if (reply.status == 200) {
                     relay_ended(ref, reply.body);
                     responder.send(200, reply.body);
                   } else if (reply.status == 404) {
                     responder.send(404, reply.body);
                   } else {
                     responder.send(503, R"({"error":"owner not reached"})", 1);
                   }
                 });
}

}  // namespace mothslip
