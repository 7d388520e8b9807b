// The node processes of the simulated cluster. They run the real node class, and a test starts, kills,
// upgrades and freezes them.
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

// The environment of a node. It is destroyed with its process, so that later timers and replies have no
// effect.
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
  // Speed of the node's clock relative to the simulation's.
  double clock_rate_;
  // Error of the node's wall-clock time.
  double skew_s_;
  TimerId next_ = 1;
  std::set<TimerId> cancelled_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Nodes {
 public:
  struct Process {
    Settings settings;
    std::unique_ptr<NodeEnv> env;
    // Null if the process has ended.
    std::unique_ptr<recovery::Controller> node;
    bool is_frozen = false;
    bool runs_earlier_version = false;
    // Events that arrived while the node was frozen, in order.
    std::vector<std::function<void()>> deferred;
  };

  explicit Nodes(World& world);
  void start(int index);
  // Kills the process, and starts it after `restart_after_s`.
  void crash(int index, double restart_after_s);
  // Kills the process, and starts it with the current version after `restart_after_s`.
  void upgrade(int index, double restart_after_s);
  // Suspends the process: it receives and sends nothing and no timer fires, but its clocks continue.
  void freeze(int index, double for_s);
  // Ends all processes and discards their deferred events.
  void kill_all();
  // Runs the action now, or when the node resumes if it is frozen. Discards it if the process ends before
  // that.
  void run_or_defer(int index, std::function<void()> action);

  // Returns false for a node whose process has ended, and true for every address that belongs to no node.
  [[nodiscard]] bool is_up(const std::string& address) const;
  // Returns the node that owns the shard according to the state service, or -1 if there is none.
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
