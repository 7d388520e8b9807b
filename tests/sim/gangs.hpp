// Gang execution on the simulated machines. It applies the protocol's rules for tasks that start, stop and
// complete together to all machines every tenth of a second.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mothslip::sim {

class World;
class Worker;
struct Task;
struct UserJob;

class Gangs {
 public:
  explicit Gangs(World& world) : world_(world) {}
  // Starts the periodic step, which runs every tenth of a second from now on.
  void begin();
  // Handles a stop command for a task of a gang.
  void stop(Task& task, double grace_s);

  // Attempts whose tasks all started.
  int attempts_started = 0;
  // Attempts that lost a task after they had started.
  int attempts_failed = 0;
  // Graceful stops that saved the progress.
  int attempts_saved = 0;
  // Graceful stops that did not save the progress.
  int attempts_not_saved = 0;
  // Tasks that exited because their peers did not arrive in time.
  int tasks_without_peers = 0;
  // Attempts that started although one of their tasks had been lost before.
  int attempts_started_after_loss = 0;

 private:
  struct Member {
    Worker* worker = nullptr;
    Task* task = nullptr;
  };
  struct Attempt {
    bool has_started = false;
    double completes_at = 0;
    double started_at = 0;
    double progress_at_start_s = 0;
    // When the attempt lost a task, completed or failed to save. Negative until then.
    double ended_at = -1;
    double first_stop_at = -1;
    bool is_saved = false;
    bool lost_task_before_start = false;
    // The largest number of tasks that were present at the same time.
    std::size_t max_tasks_seen = 0;
  };
  using Key = std::pair<std::string, std::uint64_t>;

  void step();
  void advance_attempt(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void start(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void run(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void save(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void restore_checkpointed_progress(UserJob& job, Attempt& attempt) const;
  static void exit(Member& member, const char* cause);

  World& world_;
  std::map<Key, Attempt> attempts_;
};

}  // namespace mothslip::sim
