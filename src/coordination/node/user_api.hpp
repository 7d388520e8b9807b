// The users' interface on every node: submissions, polls and cancellations.
//
// Any node accepts a job by creating its job record. Polls and cancellations belong to the owner of the
// job's shard and are forwarded to it. What may be told about a job is for JobStatusService to say.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "coordination/node/job_status.hpp"
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
    // The leader of the shard, where this node owns it and it knows its records; null otherwise.
    std::function<ShardLeader*(int shard)> find_active_shard;
    bool supports_gangs = true;        // gangs are accepted, once all controllers can run them
    std::function<bool()> may_decide;  // false: nothing is told yet but what is final
  };
  explicit UserApi(Context context);

  // POST /v2/runs. Answers 201 when the job is recorded, its status when it is known already, 400 or 422 when
  // it can reason run, 429 or 503 when the user is to come back.
  void submit(const std::string& body, const Responder& responder);
  // GET /v2/runs/REF. `forwarded`: by another node, so it is not forwarded again.
  void poll(const std::string& ref, bool forwarded, const Responder& responder);
  // POST /v2/runs/REF/cancel; `forwarded` as above.
  void cancel(const std::string& ref, bool forwarded, const Responder& responder);
  // A terminal state that has become durable here.
  void cache_terminal(const std::string& ref, const JobStatus& status) {
    statuses_.cache_terminal(ref, status);
  }

  // Adds what only this module knows: terminal states, and jobs accepted a short while ago.
  void add_to(NodeMemory& memory) const;

 private:
  // An acceptance under way: what is written, and for whom.
  struct Acceptance {
    JobRecord record;
    int shard = 0;
    // The job may have run before records were lost. Its description is kept, and nothing told.
    bool is_unaccounted = false;
    Responder responder;
  };
  struct Accepted {
    double accepted_at = 0;  // by the clock of this node
    JobRecord record;
  };

  void submit_parsed(const JobSpec& spec, const Responder& responder);
  void refuse(const std::string& ref, int status, const std::string& why, const Responder& responder);
  void accept_gang(const JobSpec& spec, const Responder& responder);
  void accept(const JobSpec& spec, const Responder& responder, bool is_unaccounted = false);
  [[nodiscard]] JobRecord job_record(const JobSpec& spec) const;
  [[nodiscard]] Transaction acceptance_writes(const Acceptance& acceptance) const;
  void on_acceptance_reply(const Acceptance& acceptance, const StateReply& reply);
  void on_accepted(const Acceptance& acceptance, std::uint64_t revision);
  void remember_accepted(const JobRecord& record);

  void poll_owner(const std::string& address, const std::string& ref, const Responder& responder);
  // `open_status`: what is told of a job that has not ended.
  void poll_state(const std::string& ref, const JobStatus& open_status, const Responder& responder);
  void cancel_unknown_job(const std::string& ref, const Responder& responder);
  void cancel_at_owner(const std::string& address, const std::string& ref, const Responder& responder);
  // Another node's answer, passed on: a terminal state in it is remembered.
  void forward_reply(const std::string& ref, const std::string& body, const Responder& responder);

  [[nodiscard]] bool are_shards_known() const { return ctx_.ownership->shard_count() > 0; }
  // The number of shards must be known.
  [[nodiscard]] int home_shard(const std::string& ref) const {
    return shard_of(ref, ctx_.ownership->shard_count());
  }
  // The peer address of the owner of the job's shard; empty where none is known, or it is this node.
  [[nodiscard]] std::string owner_address(const std::string& ref) const;
  // What the leader of the job's shard says, where that is this node's and nobody else can own it.
  [[nodiscard]] std::optional<JobFinding> ask_owned_shard(const std::string& ref) const;

  Context ctx_;
  bool gang_was_accepted_ = false;  // one has been, by whichever node
  JobStatusService statuses_;
  std::deque<Accepted> accepted_;  // the latest, oldest first; kept where lost state is watched for
};

}  // namespace mothslip
