// The users' interface on every node: submissions, polls and cancellations.
//
// Any node accepts a job by creating its job record. Polls and cancellations belong to the owner of the
// job's shard and are forwarded to it. What may be told about a job is for JobStatusService to say.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "coordination/node/job_status.hpp"
#include "coordination/ownership/ownership.hpp"
#include "coordination/shard/shard_leader.hpp"
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
    std::function<ShardLeader*(int shard)> shard;  // ours and active, or null
    std::function<std::string(const std::string& node)> peer_address;
    bool gangs = true;              // accepted, as a rule
    std::function<bool()> decides;  // false: nothing is told yet but what is final
  };
  explicit UserApi(Context context);

  void submit(const std::string& body, const Responder& responder);
  // `forwarded`: by another node, so it is not forwarded again.
  void poll(const std::string& ref, bool forwarded, const Responder& responder);
  void cancel(const std::string& ref, bool forwarded, const Responder& responder);
  // A terminal state that has become durable here.
  void note_terminal(const std::string& ref, const JobStatus& status) {
    statuses_.note_terminal(ref, status);
  }

  // Adds what only this module knows: terminal states, and jobs accepted a short while ago.
  void remember(NodeMemory& memory) const;

 private:
  void note_accepted(const JobRecord& job_record);
  void accept(const JobSpec& spec, const Responder& responder, bool unaccounted = false);
  void accept_gang(const JobSpec& spec, const Responder& responder);
  void refuse(const std::string& ref, int status, const std::string& why, const Responder& responder);
  void poll_owner(const std::string& address, const std::string& ref, const Responder& responder);
  // `open`: what is told of a job that has not ended.
  void poll_state(const std::string& ref, const JobStatus& open, const Responder& responder);
  void cancel_unknown_here(const std::string& ref, const Responder& responder);
  void cancel_at_owner(const std::string& address, const std::string& ref, const Responder& responder);
  // Another node's answer, passed on: a terminal state in it is remembered.
  void pass_on(const std::string& ref, const std::string& body, const Responder& responder);
  [[nodiscard]] std::string owner_address(const std::string& ref) const;

  Context ctx_;
  bool gangs_accepted_ = false;  // one has been, by whichever node
  JobStatusService statuses_;
  struct Acceptance {
    double at = 0;
    JobRecord record;
  };
  std::deque<Acceptance> accepted_;  // the latest, oldest first; kept where lost state is watched for
};

}  // namespace mothslip
