// The interface for users, on every node: submissions, polls and cancellations.
//
// Any node accepts a job by creating its job record. Polls and cancellations are forwarded to the owner of
// the job's shard. JobStatusService decides which status of a job may be reported.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "coordination/node/job_status.hpp"
#include "coordination/node/node_memory.hpp"
#include "coordination/ownership/ownership.hpp"
#include "coordination/shard/shard_leader.hpp"
#include "protocol/names.hpp"
#include "transport/http.hpp"

namespace mothslip {

class UserApi {
 public:
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    const Ownership* ownership = nullptr;
    // Returns the leader of the shard if this node owns the shard and the leader has loaded its records; null
    // otherwise.
    std::function<ShardLeader*(int shard)> find_active_shard;
    bool supports_gangs = true;        // whether gangs are accepted, once all controllers can run them
    std::function<bool()> may_decide;  // if false, only terminal states are reported
  };
  explicit UserApi(Context context);

  // POST /v2/runs. Answers 201 when the job is recorded, its status if the job is known already, 400 or 422
  // if it can never run, and 429 or 503 if the user should retry.
  void submit(const std::string& body, const Responder& responder);
  // GET /v2/runs/REF. `forwarded`: whether another node forwarded the request. If so, it is not forwarded
  // again.
  void poll(const std::string& ref, bool forwarded, const Responder& responder);
  // POST /v2/runs/REF/cancel. `forwarded`: as for `poll`.
  void cancel(const std::string& ref, bool forwarded, const Responder& responder);
  // Caches a terminal state that has become durable on this node.
  void cache_terminal(const std::string& ref, const JobStatus& status) {
    statuses_.cache_terminal(ref, status);
  }

  // Adds to `memory` what only this module knows: terminal states and recently accepted jobs.
  void add_to(NodeMemory& memory) const;

 private:
  // An acceptance in progress.
  struct Acceptance {
    JobRecord record;
    int shard = 0;
    // Whether the job may have run before records were lost. If so, its description is recorded, and the user
    // is not told that it was accepted.
    bool is_unaccounted = false;
    Responder responder;
  };
  struct RecentAcceptance {
    double accepted_at = 0;  // by this node's clock
    AcceptedJob job;
  };

  void submit_parsed(const JobSpec& spec, const Responder& responder);
  void refuse(const std::string& ref, int status, const std::string& why, const Responder& responder);
  void accept_gang(const JobSpec& spec, const Responder& responder);
  void accept(const JobSpec& spec, const Responder& responder, bool is_unaccounted = false);
  [[nodiscard]] JobRecord job_record(const JobSpec& spec) const;
  [[nodiscard]] Transaction acceptance_writes(const Acceptance& acceptance) const;
  void on_acceptance_reply(const Acceptance& acceptance, const StateReply& reply);
  void on_accepted(const Acceptance& acceptance, std::uint64_t revision);
  void remember_accepted(const JobRecord& record, std::uint64_t revision);

  void poll_owner(const std::string& address, const std::string& ref, const Responder& responder);
  // `open_status`: the status to report if the job has not ended.
  void poll_state(const std::string& ref, const JobStatus& open_status, const Responder& responder);
  void cancel_unknown_job(const std::string& ref, const Responder& responder);
  void cancel_at_owner(const std::string& address, const std::string& ref, const Responder& responder);
  // Forwards another node's answer to the user, and caches a terminal state that it contains.
  void forward_reply(const std::string& ref, const std::string& body, const Responder& responder);

  [[nodiscard]] bool are_shards_known() const { return ctx_.ownership->shard_count() > 0; }
  // The number of shards must be known.
  [[nodiscard]] int home_shard(const std::string& ref) const {
    return shard_of(ref, ctx_.ownership->shard_count());
  }
  // Returns the peer address of the owner of the job's shard; empty if no owner is known or this node is the
  // owner.
  [[nodiscard]] std::string owner_address(const std::string& ref) const;
  // Returns what the leader of the job's shard knows, if this node owns the shard and no other node can own
  // it; nothing otherwise.
  [[nodiscard]] std::optional<JobFinding> ask_owned_shard(const std::string& ref) const;

  Context ctx_;
  bool gang_was_accepted_ = false;  // whether any node has accepted a gang
  JobStatusService statuses_;
  std::deque<RecentAcceptance> accepted_;  // oldest first; empty without recovery
};

}  // namespace mothslip
