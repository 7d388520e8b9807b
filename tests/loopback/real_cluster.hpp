// Runs real mothslip processes on loopback addresses. Their state service, cloud, workers and users are those
// of the simulated cluster, served over HTTP in real time. The rules are checked as in simulated runs.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/world.hpp"
#include "transport/event_env.hpp"
#include "transport/http_server.hpp"

namespace mothslip::loopback {

class RealCluster {
 public:
  // `directory` receives the settings files and the logs of the processes.
  RealCluster(const sim::Options& options, std::string directory);
  ~RealCluster();
  RealCluster(const RealCluster&) = delete;
  RealCluster& operator=(const RealCluster&) = delete;

  [[nodiscard]] sim::World& world() { return world_; }
  // Runs the event loop until the condition holds. Returns false if it does not hold within the timeout.
  bool run_until(const std::function<bool()>& condition, double timeout_s);
  // Kills the process of the node and starts it again.
  void restart_node(int node);
  struct Output {
    int exit_code = -1;
    std::string text;
  };
  // Runs mothslipctl against all controllers.
  Output run_mothslipctl(const std::string& arguments);

 private:
  [[nodiscard]] std::string write_settings(int node) const;
  void start_process(int node);
  void stop_process(int node);
  void serve_state();
  void serve_cloud();
  void serve_new_workers();
  void step();

  EventEnv env_;
  // The servers are declared before the world, because pending work of the world holds requests of theirs and
  // must be destroyed first.
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, std::unique_ptr<HttpServer>> workers_;  // by address in the simulated cluster
  sim::World world_;
  std::string directory_;
  double started_at_;
  std::map<int, pid_t> processes_;
};

}  // namespace mothslip::loopback
