#include "loopback/real_cluster.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace mothslip::loopback {

namespace {

constexpr double kStepSeconds = 0.005;
constexpr std::size_t kMaxBodyBytes = std::size_t{2} * 1024 * 1024;
const std::string kStateAddress = "127.2.0.1:2379";
const std::string kCloudAddress = "127.2.0.2:8443";

// Maps an address of the simulated cluster in 10.0.0.0/8 to the corresponding address in 127.0.0.0/8.
std::string to_loopback(const std::string& address) { return "127" + address.substr(2); }

std::string addresses_to_loopback(std::string text) {
  const std::string from = "\"10.";
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at))
    text.replace(at, from.size(), "\"127.");
  return text;
}

std::string request_target(const HttpRequest& request) {
  return request.query.empty() ? request.path : request.path + "?" + request.query;
}

std::function<void(int, Json)> answer_with(const Responder& responder) {
  return [responder](int status, const Json& body) {
    responder.send(status, addresses_to_loopback(dump_json(body)));
  };
}

}  // namespace

RealCluster::RealCluster(const sim::Options& options, std::string directory)
    : world_(options), directory_(std::move(directory)), started_at_(env_.now()) {
  world_.network.send_to_external_node = [this](const HttpCall& call,
                                                const std::function<void(HttpReply)>& reply) {
    HttpCall loopback_call = call;
    loopback_call.destination = to_loopback(call.destination);
    loopback_call.body = addresses_to_loopback(call.body);
    env_.call(std::move(loopback_call), reply);
  };
  // The file is written once, before any process reads it. When it was rewritten for each process, it was
  // empty for a moment, and a process started earlier read it then and ran without recovery.
  std::ofstream(directory_ + "/mothslip.ini") << "[recovery]\nenabled = yes\n";
  serve_state();
  serve_cloud();
  for (int node = 0; node < options.nodes; node++) start_process(node);
  step();
}

RealCluster::~RealCluster() {
  for (int node = 0; node < world_.options.nodes; node++) stop_process(node);
}

void RealCluster::serve_state() {
  servers_.push_back(std::make_unique<HttpServer>(
      env_.base(), kStateAddress, kMaxBodyBytes, 0,
      [this](const HttpRequest& request, const Responder& responder) {
        world_.state.handle(
            request.method, request_target(request), request.body,
            [responder](int status, const Json& body) { responder.send(status, dump_json(body)); });
      }));
}

void RealCluster::serve_cloud() {
  servers_.push_back(std::make_unique<HttpServer>(
      env_.base(), kCloudAddress, kMaxBodyBytes, 0,
      [this](const HttpRequest& request, const Responder& responder) {
        world_.cloud.handle(request_target(request), request.body, answer_with(responder));
      }));
}

void RealCluster::serve_new_workers() {
  for (const auto& [address, worker] : world_.workers_by_address) {
    if (workers_.count(address) > 0) continue;
    const std::string at = address;
    workers_[address] = std::make_unique<HttpServer>(
        env_.base(), to_loopback(address), kMaxBodyBytes, 0,
        [this, at](const HttpRequest& request, const Responder& responder) {
          const auto found = world_.workers_by_address.find(at);
          if (found == world_.workers_by_address.end() || found->second->dead) return;
          found->second->handle(request.path, request.body, answer_with(responder));
        });
  }
}

void RealCluster::step() {
  world_.run_until(env_.now() - started_at_);
  serve_new_workers();
  env_.after(kStepSeconds, [this] { step(); });
}

bool RealCluster::run_until(const std::function<bool()>& condition, double timeout_s) {
  const double deadline = env_.now() + timeout_s;
  while (!condition()) {
    if (env_.now() > deadline) return false;
    env_.after(10 * kStepSeconds, [this] { env_.stop(); });
    env_.run();
  }
  return true;
}

std::string RealCluster::write_settings(int node) const {
  const sim::Options& options = world_.options;
  std::ostringstream text;
  text << "node = \"" << sim::node_name(node) << "\"\narea = \"a\"\nfront = \""
       << to_loopback(sim::client_address_of(node)) << "\"\nback = \""
       << to_loopback(sim::peer_address_of(node)) << "\"\n";
  for (int other = 0; other < options.nodes; other++) {
    if (other == node) continue;
    text << "[[members]]\nnode = \"" << sim::node_name(other) << "\"\narea = \"a\"\naddress = \""
         << to_loopback(sim::peer_address_of(other)) << "\"\n";
  }
  text << "[outside]\ncloud = \"" << kCloudAddress << "\"\nstate = \"" << kStateAddress << "\"\n"
       << "[settings]\ninitial_size = 3\nzones = [\"a\", \"b\"]\nskew_ms = 100.0\n";
  for (const char* team : {"red", "blue"}) {
    text << "[[settings.teams]]\nname = \"" << team << "\"\ncpus = " << options.team_cpus
         << "\ncpus_max = " << options.team_max_cpus << "\ngpus = 0.0\ngpus_max = 0.0\n";
  }
  text << "[settings.workers]\nreport_s = " << options.report_s << "\nlease_s = " << options.lease_s
       << "\ncancel_s = 18.0\n[settings.state]\nrps = " << options.state_rps
       << "\nwrite_rps = " << options.write_rps << "\nvalue_kb = " << options.value_kb
       << "\ntxn_ops = " << options.txn_ops << "\n[settings.cloud]\nrps = " << options.cloud_rps
       << "\nlist_lag_s = 3.0\n";
  std::string file = directory_ + "/" + sim::node_name(node) + ".toml";
  std::ofstream(file) << text.str();
  return file;
}

void RealCluster::start_process(int node) {
  const std::string settings = write_settings(node);
  const std::string log = directory_ + "/" + sim::node_name(node) + ".log";
  const pid_t process = fork();
  if (process < 0) throw std::runtime_error("fork failed: the controller process cannot be started");
  if (process == 0) {
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, STDERR_FILENO);
    // The child closes the listening sockets of the test, which the controller must not inherit.
    for (int other = STDERR_FILENO + 1; other < 1024; other++) close(other);
    execl(MOTHSLIP_PROGRAM, MOTHSLIP_PROGRAM, "--config", settings.c_str(), nullptr);
    _exit(127);
  }
  processes_[node] = process;
}

void RealCluster::stop_process(int node) {
  const auto found = processes_.find(node);
  if (found == processes_.end()) return;
  kill(found->second, SIGKILL);
  waitpid(found->second, nullptr, 0);
  processes_.erase(found);
}

void RealCluster::restart_node(int node) {
  stop_process(node);
  start_process(node);
}

// The event loop keeps running while the program runs, because the controllers need the state service that
// this process serves.
RealCluster::Output RealCluster::run_mothslipctl(const std::string& arguments) {
  std::string command = MOTHSLIPCTL_PROGRAM;
  for (int node = 0; node < world_.options.nodes; node++)
    command += " --at " + to_loopback(sim::peer_address_of(node));
  command += " " + arguments + " 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) throw std::runtime_error("popen failed: mothslipctl cannot be started");
  fcntl(fileno(pipe), F_SETFL, O_NONBLOCK);
  Output out;
  run_until(
      [&out, pipe] {
        std::array<char, 4096> buffer{};
        const ssize_t count = read(fileno(pipe), buffer.data(), buffer.size());
        if (count > 0) out.text.append(buffer.data(), static_cast<std::size_t>(count));
        return count == 0;
      },
      1e9);
  const int status = pclose(pipe);
  out.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return out;
}

}  // namespace mothslip::loopback
