// Decides which status of a job may be reported, for polls, repeated submissions and cancellations alike. No
// other code decides this.
//
// Invariant: no answer is older than an answer that any node gave before the request was received.
//  * A terminal state is reported only once it is durable, and is then final.
//  * Any other answer (open or unknown) is reported only if it was true at some moment after the request was
//    received. The owner of the job's shard may answer from memory while no other node can own the shard and
//    none of its own terminal writes has an unknown outcome. Other nodes, and the owner otherwise, need a
//    read of the state service that started after the request.
//  * If neither is available, no status is reported: the user is asked to retry.
//
// The state service may be ahead of the owner's memory: a terminal write can be durable while its answer is
// late or lost. Owners that answered from memory in that case reported "running" after other nodes had
// reported "done".
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/state/state_client.hpp"

namespace mothslip {

enum class JobPhase { kQueued, kRunning, kDone, kCancelled };

// Returns the name of the phase on the wire.
[[nodiscard]] const char* wire_name(JobPhase phase);

// Returns the body of the answer to a submission that has just been accepted.
[[nodiscard]] std::string acceptance_body(const std::string& ref);

// Returns the body of the answer to the cancellation of a job that has ended.
[[nodiscard]] std::string cancellation_body(const std::string& ref, JobPhase phase);

// The status of a job as users may see it.
struct JobStatus {
  JobPhase phase = JobPhase::kQueued;
  int done = 0;     // completed tasks; for display only
  int running = 0;  // running tasks; for display only
  [[nodiscard]] bool is_terminal() const { return phase == JobPhase::kDone || phase == JobPhase::kCancelled; }
  // Returns the body of the answer to a poll.
  [[nodiscard]] std::string to_body(const std::string& ref) const;
};

// Returns the terminal state with this name on the wire; nothing if no terminal state has it.
[[nodiscard]] std::optional<JobStatus> terminal_status(const std::string& wire_name, int done);

// Returns the terminal state in another node's answer to a poll or a cancellation; nothing if the answer
// contains none.
[[nodiscard]] std::optional<JobStatus> terminal_status_of_answer(const Json& answer);

// What the owner of a job's shard, or a read of the state service, has found out about the job.
struct JobFinding {
  enum class Kind {
    kStatus,          // `status` may be reported
    kUnknownJob,      // no such job was found
    kBeingCancelled,  // a cancellation is in progress and not confirmed yet
    kUndecided,       // it is not known whether the job has ended; if it is open, `status` has its counts
  };
  Kind kind = Kind::kUndecided;
  JobStatus status;
  [[nodiscard]] bool is_terminal() const { return kind == Kind::kStatus && status.is_terminal(); }
  [[nodiscard]] bool can_be_reported() const {
    return kind == Kind::kStatus || kind == Kind::kBeingCancelled;
  }
};

struct NodeMemory;

// Determines the status of jobs from this node's memory or from reads of the state service.
class JobStatusService {
 public:
  struct Context {
    StateClient* state = nullptr;
    // Returns the number of shards; 0 until it is known.
    std::function<int()> shard_count;
    // Returns what the leader of the job's shard knows, if this node owns the shard and no other node can own
    // it; nothing otherwise.
    std::function<std::optional<JobFinding>(const std::string& ref)> ask_owned_shard;
  };
  explicit JobStatusService(Context context) : ctx_(std::move(context)) {}

  // Caches a durable terminal state.
  void cache_terminal(const std::string& ref, const JobStatus& status);
  // Returns the terminal state if it is cached; null otherwise. The cache is bounded; the state service keeps
  // all terminal states.
  [[nodiscard]] const JobStatus* cached_terminal(const std::string& ref) const;

  // Adds the cached terminal states to `memory`, and since when they are complete.
  void add_to(NodeMemory& memory) const;

  // Returns what this node knows without a read; nothing if it neither has the job's terminal state in the
  // cache nor owns its shard.
  [[nodiscard]] std::optional<JobFinding> from_memory(const std::string& ref) const;

  // Reads the status from the state service, with a read that starts after this call. Calls for a job that is
  // already being read share the next read, so that there are at most two reads per job for any number of
  // calls. `handler` is called exactly once; if no read can be started, it is called from within this call,
  // with kUndecided.
  using Handler = std::function<void(const JobFinding&)>;
  void read(const std::string& ref, Handler handler);

 private:
  // The reads of one job.
  struct JobReads {
    std::vector<Handler> current_handlers;  // served by the read that is in progress
    std::vector<Handler> next_handlers;     // served by the next read
  };
  void start_read(const std::string& ref);
  // `keys`: the keys at which the ending may be stored. Those before index `next` have been read without
  // success.
  void read_ending(const std::string& ref, std::vector<std::string> keys, std::size_t next);
  void read_unaccounted(const std::string& ref);
  void on_unaccounted(const std::string& ref, const StateReply& reply);
  void read_job_record(const std::string& ref);
  void on_job_record(const std::string& ref, const StateReply& reply);
  void finish_read(const std::string& ref, const JobFinding& finding);

  Context ctx_;
  struct CachedJob {
    std::string ref;
    std::uint64_t newest_revision = 0;  // known to the state client when the terminal state was cached
  };
  std::unordered_map<std::string, JobStatus> cached_terminals_;  // by job; bounded
  std::deque<CachedJob> cached_terminals_by_age_;                // jobs in `cached_terminals_`, oldest first
  // The newest revision that was known when the terminal state was cached that was dropped last; 0 if none
  // was dropped. Every terminal state that was cached at a later revision is still in the cache.
  std::uint64_t dropped_up_to_revision_ = 0;
  std::unordered_map<std::string, JobReads> reads_;  // by job; only while a read is in progress
};

}  // namespace mothslip
