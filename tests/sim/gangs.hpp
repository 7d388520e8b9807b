// How gangs run on the simulated machines: the protocol's rules for tasks that start, stop and complete
// together, played over all machines every tenth of a second.
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
  void begin();  // from now on, every tenth of a second
  // A task of a gang is told to stop.
  void stop(Task& task, double grace_s);

  int attempts_started = 0;             // that started
  int attempts_failed = 0;              // attempts that lost a task after they had started
  int attempts_saved = 0;               // orderly stops that kept the progress
  int attempts_not_saved = 0;           // and those that did not
  int tasks_without_peers = 0;          // tasks that gave up waiting
  int attempts_started_after_loss = 0;  // attempts that started although a task of theirs had been lost

 private:
  struct Member {
    Worker* worker = nullptr;
    Task* task = nullptr;
  };
  struct Attempt {
    bool has_started = false;
    double completes_at = 0;
    double started_at = 0;           // of the clock,
    double progress_at_start_s = 0;  // and the progress then
    double ended_at = -1;            // a task was gone at this time
    double first_stop_at = -1;
    bool is_saved = false;
    bool lost_task_before_start = false;  // before it started
    std::size_t max_tasks_seen = 0;       // tasks seen at once
  };
  using Key = std::pair<std::string, std::uint64_t>;

  void step();
  void play(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void start(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void run(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void save(UserJob& job, Attempt& attempt, std::vector<Member>& members);
  void fall_back(UserJob& job, Attempt& attempt) const;
  static void exit(Member& member, const char* cause);

  World& world_;
  std::map<Key, Attempt> attempts_;
};

}  // namespace mothslip::sim
