// The processes of the simulated cluster: whole nodes (the real class) that a test starts, kills, upgrades
// and freezes.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/node/node.hpp"
#include "protocol/settings.hpp"
#include "recovery/controller.hpp"
#include "transport/env.hpp"

namespace mothslip::sim {

class World;

// What a node sees of the world. It dies with its process: late timers and replies find nothing.
class NodeEnv final : public Env {
 public:
  NodeEnv(World& world, int index, double clock_rate, double skew_s);
  [[nodiscard]] double now() const override;
  [[nodiscard]] double wall_time() const override;
  std::uint64_t random() override;
  TimerId after(double delay_s, std::function<void()> action) override;
  void cancel(TimerId timer) override { cancelled_.insert(timer); }
  void call(HttpCall request, ReplyHandler handler) override;

 private:
  World& world_;
  int index_;
  double clock_rate_;  // how much faster its clock runs than the world's
  double skew_s_;      // seconds by which its time of day is wrong
  TimerId next_ = 1;
  std::set<TimerId> cancelled_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Nodes {
 public:
  struct Process {
    Settings settings;
    std::unique_ptr<NodeEnv> env;
    std::unique_ptr<recovery::Controller> node;  // null: it has ended
    bool is_frozen = false;
    bool earlier_version = false;
    std::vector<std::function<void()>> deferred;  // what happened while it was frozen, in order
  };

  explicit Nodes(World& world);
  void start(int index);
  // Killed, and started again so many seconds later.
  void crash(int index, double restart_after_s);
  // Killed, and started again with the present version.
  void upgrade(int index, double restart_after_s);
  // Stands still: nothing is received or sent, no timer fires; its clocks run on.
  void freeze(int index, double for_s);
  // All processes end, and nothing that they hold is done.
  void kill_all();
  // Runs it now, or when the node goes on; not at all if the process has ended since.
  void run_or_defer(int index, std::function<void()> action);

  // False for a node whose process has ended; true for every address that is no node's.
  [[nodiscard]] bool is_up(const std::string& address) const;
  // The node that owns the shard, by the state service; -1: nobody.
  [[nodiscard]] int owner_of(int shard) const;

  [[nodiscard]] const Process& operator[](std::size_t index) const { return processes_[index]; }
  [[nodiscard]] const Process& front() const { return processes_.front(); }
  [[nodiscard]] auto begin() const { return processes_.begin(); }
  [[nodiscard]] auto end() const { return processes_.end(); }

 private:
  Process& process(int index) { return processes_[static_cast<std::size_t>(index)]; }

  World& world_;
  std::vector<Process> processes_;
};

}  // namespace mothslip::sim
