// What may be told about a job: the one place that decides it, for polls, repeated submissions and
// cancellations alike.
//
// Invariant: no answer is older than one that any node gave before the question was asked.
//  * A terminal state is told only once it is durable, and is then final.
//  * Any other answer (open, or unknown) is told only if it was true at some moment after the question came
//    in. The owner of the job's shard may answer from memory while nobody else can own the shard and no
//    terminal write of its own has an open outcome. Everybody else, and the owner otherwise, needs a read of
//    the state service that began after the question.
//  * Where neither is to be had, nothing is told: the user is asked to come back.
//
// (What others can read may be ahead of the owner's memory: a terminal write can be durable while its answer
// is late or lost. Owners that went by their memory then said "running" after others had said "done".)
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

// The phase's name on the wire.
[[nodiscard]] const char* wire_name(JobPhase phase);

// The body of the answer to a submission that was accepted just now.
[[nodiscard]] std::string acceptance_body(const std::string& ref);

// The body of the answer to a cancellation of a job that has ended.
[[nodiscard]] std::string cancellation_body(const std::string& ref, JobPhase phase);

// What a user may hear about a job.
struct JobStatus {
  JobPhase phase = JobPhase::kQueued;
  int done = 0;     // tasks that have completed; for display
  int running = 0;  // tasks that are running; for display
  [[nodiscard]] bool is_terminal() const { return phase == JobPhase::kDone || phase == JobPhase::kCancelled; }
  // The body of an answer to a poll.
  [[nodiscard]] std::string to_body(const std::string& ref) const;
};

// The terminal state of this name on the wire; nothing where the name is not one's.
[[nodiscard]] std::optional<JobStatus> terminal_status(const std::string& wire_name, int done);

// The terminal state in another node's answer to a poll or a cancellation; nothing where it tells none.
[[nodiscard]] std::optional<JobStatus> terminal_status_of_answer(const Json& answer);

// What is known about a job, by the owner of its shard or by a read of the state service.
struct JobFinding {
  enum class Kind {
    kStatus,          // `status` may be told
    kUnknownJob,      // no such job, as far as was looked
    kBeingCancelled,  // a cancellation is under way and not confirmed yet
    kUndecided,       // whether the job has ended is open; `status` holds the counts of an open one
  };
  Kind kind = Kind::kUndecided;
  JobStatus status;
  [[nodiscard]] bool is_terminal() const { return kind == Kind::kStatus && status.is_terminal(); }
  [[nodiscard]] bool can_be_reported() const {
    return kind == Kind::kStatus || kind == Kind::kBeingCancelled;
  }
};

struct NodeMemory;

// Answers from this node's memory, or from reads of the state service.
class JobStatusService {
 public:
  struct Context {
    StateClient* state = nullptr;
    // The number of shards; 0: not known yet.
    std::function<int()> shard_count;
    // What the job's shard knows, where this node owns it and nobody else can; nothing otherwise.
    std::function<std::optional<JobFinding>(const std::string& ref)> ask_owned_shard;
  };
  explicit JobStatusService(Context context) : ctx_(std::move(context)) {}

  // Remembers a terminal state that is durable.
  void cache_terminal(const std::string& ref, const JobStatus& status);
  // The terminal state, if it is remembered. (The memory is bounded; the state service keeps all.)
  [[nodiscard]] const JobStatus* cached_terminal(const std::string& ref) const;

  // Adds the terminal states that are remembered.
  void add_to(NodeMemory& memory) const;

  // What this node knows without a read. Nothing: it neither remembers the job's end nor owns its shard.
  [[nodiscard]] std::optional<JobFinding> from_memory(const std::string& ref) const;

  // What the state service says, by a read that begins after this call. Those who ask about one job while a
  // read of it is under way share the next one: there are at most two reads of a job, however many ask.
  // `handler` is called exactly once, from within this call where no read can be begun (kUndecided).
  using Handler = std::function<void(const JobFinding&)>;
  void read(const std::string& ref, Handler handler);

 private:
  // The reads of one job.
  struct JobReads {
    std::vector<Handler> current_handlers;  // by the read that is under way
    std::vector<Handler> next_handlers;     // for the next one
  };
  void start_read(const std::string& ref);
  // `keys`: where the ending may be; those from `at` on have not been read yet.
  void read_ending(const std::string& ref, std::vector<std::string> keys, std::size_t next);
  void read_unaccounted(const std::string& ref);
  void on_unaccounted(const std::string& ref, const StateReply& reply);
  void read_job_record(const std::string& ref);
  void on_job_record(const std::string& ref, const StateReply& reply);
  void finish_read(const std::string& ref, const JobFinding& finding);

  Context ctx_;
  std::unordered_map<std::string, JobStatus> cached_terminals_;  // by job; bounded
  std::deque<std::string> cached_terminals_by_age_;              // the same, oldest first
  std::unordered_map<std::string, JobReads> reads_;              // by job; only while a read is under way
};

}  // namespace mothslip
