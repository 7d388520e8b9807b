#include "harness/cluster.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

#include "protocol/names.hpp"

namespace review {

namespace {

constexpr double kStepSeconds = 0.005;
constexpr std::size_t kMaxBodyBytes = std::size_t{4} * 1024 * 1024;

// A free port of 127.0.0.1. Ports that were given out before are not given out again.
int free_port() {
  static std::set<int> used;
  while (true) {
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      throw std::runtime_error("no free port");
    close(handle);
    const int port = ntohs(address.sin_port);
    if (used.insert(port).second) return port;
  }
}

std::string request_target(const HttpRequest& request) {
  return request.query.empty() ? request.path : request.path + "?" + request.query;
}

}  // namespace

Cluster::Cluster(Deployment deployment, std::string directory, const std::string& record_file)
    : world_(deployment.options),
      deployment_(std::move(deployment)),
      directory_(std::move(directory)),
      started_at_(env_.now()) {
  record_ = std::fopen(record_file.c_str(), "w");
  if (record_ == nullptr) throw std::runtime_error("cannot write " + record_file);
  std::setvbuf(record_, nullptr, _IOLBF, 0);
  world_.network.send_to_external_node = [this](const HttpCall& sent,
                                                const std::function<void(HttpReply)>& reply) {
    HttpCall loopback_call = sent;
    loopback_call.destination = real_address(sent.destination);
    loopback_call.body = translate(sent.body);
    env_.call(std::move(loopback_call), reply);
  };
  if (deployment_.recovery) std::ofstream(directory_ + "/mothslip.ini") << "[recovery]\nenabled = yes\n";
  serve_state();
  serve_cloud();
  for (int node = 0; node < nodes(); node++) start_node(node);
  step();
}

Cluster::~Cluster() {
  for (int node = 0; node < nodes(); node++) {
    const auto found = processes_.find(node);
    if (found == processes_.end()) continue;
    kill(found->second, SIGKILL);
    waitpid(found->second, nullptr, 0);
  }
  if (record_ != nullptr) std::fclose(record_);
}

// Maps an address of the stand-ins' cluster to a free port of 127.0.0.1, always the same one.
std::string Cluster::real_address(const std::string& address) {
  auto [found, inserted] = addresses_.try_emplace(address);
  if (inserted) found->second = "127.0.0.1:" + std::to_string(free_port());
  return found->second;
}

// Replaces all addresses of the stand-ins' cluster in a message.
std::string Cluster::translate(std::string text) {
  const std::string from = "\"10.";
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + 1)) {
    const std::size_t end = text.find('"', at + 1);
    if (end == std::string::npos) break;
    text.replace(at + 1, end - at - 1, real_address(text.substr(at + 1, end - at - 1)));
  }
  return text;
}

// Each controller has an address of its own for the state service, so that a case can tell them apart.
std::string Cluster::state_address(int node) {
  return real_address(std::string(sim::kStateAddress) + " for " + sim::node_name(node));
}

void Cluster::serve_state() {
  for (int node = 0; node < nodes(); node++) {
    servers_.push_back(
        std::make_unique<HttpServer>(env_.base(), state_address(node), kMaxBodyBytes, 0,
                                     [this, node](const HttpRequest& request, const Responder& responder) {
                                       if (on_state_request && on_state_request(node, request, responder))
                                         return;
                                       handle_state_request(request, responder);
                                     }));
  }
}

void Cluster::handle_state_request(const HttpRequest& request, const Responder& responder) {
  world_.state.handle(
      request.method, request_target(request), request.body,
      [responder](int status, const Json& body) { responder.send(status, mothslip::dump_json(body)); });
}

void Cluster::serve_cloud() {
  servers_.push_back(std::make_unique<HttpServer>(
      env_.base(), real_address(sim::kCloudAddress), kMaxBodyBytes, 0,
      [this](const HttpRequest& request, const Responder& responder) {
        world_.cloud.handle(request_target(request), request.body,
                            [this, responder](int status, const Json& body) {
                              responder.send(status, translate(mothslip::dump_json(body)));
                            });
      }));
}

void Cluster::serve_new_workers() {
  for (const auto& [address, worker] : world_.workers_by_address) {
    if (workers_.count(address) > 0) continue;
    const std::string at = address;
    workers_[address] = std::make_unique<HttpServer>(
        env_.base(), real_address(address), kMaxBodyBytes, 0,
        [this, at](const HttpRequest& request, const Responder& responder) {
          const auto found = world_.workers_by_address.find(at);
          if (found == world_.workers_by_address.end() || found->second->dead) return;
          found->second->handle(request.path, request.body, [this, responder](int status, const Json& body) {
            responder.send(status, translate(mothslip::dump_json(body)));
          });
        });
  }
}

void Cluster::step() {
  world_.run_until(env_.now() - started_at_);
  serve_new_workers();
  record_starts();
  env_.after(kStepSeconds, [this] { step(); });
}

void Cluster::record_starts() {
  for (const auto& [ref, job] : world_.jobs) {
    auto& seen = seen_starts_[ref];
    for (const auto& [task, count] : job.starts) {
      if (seen[task] == count) continue;
      seen[task] = count;
      note("RUN   " + ref + "/" + std::to_string(task) + " starts on a machine (start " +
           std::to_string(count) + " of this task)");
    }
    auto& completed = seen_completed_[ref];
    if (completed != job.completed.size()) {
      completed = job.completed.size();
      note("RUN   " + ref + ": " + std::to_string(completed) + " of " + std::to_string(job.task_count) +
           " tasks have completed");
    }
  }
}

void Cluster::run_for(double seconds) {
  run_until([] { return false; }, seconds);
}

bool Cluster::run_until(const std::function<bool()>& condition, double timeout_s) {
  const double deadline = env_.now() + timeout_s;
  while (!condition()) {
    if (env_.now() > deadline) return false;
    env_.after(2 * kStepSeconds, [this] { env_.stop(); });
    env_.run();
  }
  return true;
}

std::string Cluster::write_settings(int node) {
  const sim::Options& options = world_.options;
  std::ostringstream text;
  text << "node = \"" << sim::node_name(node) << "\"\narea = \"a\"\nfront = \""
       << real_address(sim::client_address_of(node)) << "\"\nback = \""
       << real_address(sim::peer_address_of(node)) << "\"\n";
  for (int other = 0; other < nodes(); other++) {
    if (other == node) continue;
    text << "[[members]]\nnode = \"" << sim::node_name(other) << "\"\narea = \"a\"\naddress = \""
         << real_address(sim::peer_address_of(other)) << "\"\n";
  }
  text << "[outside]\ncloud = \"" << real_address(sim::kCloudAddress) << "\"\nstate = \""
       << state_address(node) << "\"\n"
       << "[settings]\ninitial_size = " << nodes() << "\nzones = [\"a\", \"b\"]\nskew_ms = 100.0\n";
  for (const char* team : {"red", "blue"}) {
    text << "[[settings.teams]]\nname = \"" << team << "\"\ncpus = " << options.team_cpus
         << "\ncpus_max = " << options.team_max_cpus << "\ngpus = 0.0\ngpus_max = 0.0\n";
  }
  text << "[settings.workers]\nreport_s = " << options.report_s << "\nlease_s = " << options.lease_s
       << "\ngang_wait_s = " << options.gang_wait_s << "\ngang_peer_s = " << options.gang_peer_s
       << "\ncancel_s = " << deployment_.cancel_s << "\n[settings.state]\nrps = " << options.state_rps
       << "\nwrite_rps = " << options.write_rps << "\nvalue_kb = " << options.value_kb
       << "\ntxn_ops = " << options.txn_ops << "\n[settings.cloud]\nrps = " << options.cloud_rps
       << "\nlist_lag_s = 3.0\n[settings.machine_limits]\ncpu_share = 0.064\nmem_mb = 40.0\nmax_sockets = "
          "600\n";
  std::string file = directory_ + "/" + sim::node_name(node) + ".toml";
  std::ofstream(file) << text.str();
  return file;
}

std::string Cluster::log_file(int node) const { return directory_ + "/" + sim::node_name(node) + ".log"; }

void Cluster::start_node(int node) {
  const std::string settings = write_settings(node);
  const std::string log = log_file(node);
  const pid_t process = fork();
  if (process < 0) throw std::runtime_error("a controller process cannot be started");
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, STDERR_FILENO);
    for (int other = STDERR_FILENO + 1; other < 4096; other++) close(other);
    setenv("LOG_LEVEL", "info", 1);
    execl(deployment_.program.c_str(), deployment_.program.c_str(), "--config", settings.c_str(), nullptr);
    _exit(127);
  }
  processes_[node] = process;
  note("NODE  " + sim::node_name(node) + ": target/mothslip --config " + sim::node_name(node) +
       ".toml started");
}

void Cluster::kill_node(int node) {
  const auto found = processes_.find(node);
  if (found == processes_.end()) return;
  kill(found->second, SIGKILL);
  waitpid(found->second, nullptr, 0);
  processes_.erase(found);
  note("NODE  " + sim::node_name(node) + " killed");
}

void Cluster::stop_node(int node) {
  kill(processes_.at(node), SIGSTOP);
  note("NODE  " + sim::node_name(node) + " stopped");
}

void Cluster::continue_node(int node) {
  kill(processes_.at(node), SIGCONT);
  note("NODE  " + sim::node_name(node) + " continued");
}

bool Cluster::ended_by_itself(int node) {
  const auto found = processes_.find(node);
  if (found == processes_.end()) return false;
  int status = 0;
  if (waitpid(found->second, &status, WNOHANG) != found->second) return false;
  processes_.erase(found);
  note("NODE  " + sim::node_name(node) + " has ended by itself: " +
       (WIFEXITED(status) ? "exit code " + std::to_string(WEXITSTATUS(status))
                          : "signal " + std::to_string(WTERMSIG(status))));
  return true;
}

Answer Cluster::call(HttpCall call) {
  Answer out;
  bool answered = false;
  env_.call(std::move(call), [&out, &answered](const HttpReply& reply) {
    answered = true;
    out.status = reply.status;
    out.body = reply.body;
    const Json body = mothslip::parse_json(reply.body);
    if (body.is_object() && body.contains("phase")) out.phase = body["phase"].get<std::string>();
  });
  run_until([&answered] { return answered; }, 30);
  return out;
}

Answer Cluster::ask(int node, const std::string& method, const std::string& path, const std::string& body,
                    double timeout_s) {
  note("SENT  user -> " + sim::node_name(node) + ": " + method + " " + path +
       (body.size() > 2 ? " " + body : ""));
  const Answer out = call({real_address(sim::client_address_of(node)), method, path, body, timeout_s, false});
  note("ANSW  " + sim::node_name(node) + " -> user: " +
       (out.status == 0 ? std::string("no answer") : std::to_string(out.status) + " " + out.body));
  return out;
}

Answer Cluster::ask_back(int node, const std::string& method, const std::string& path, double timeout_s) {
  const Answer out = call({real_address(sim::peer_address_of(node)), method, path, "", timeout_s, false});
  note("BACK  " + sim::node_name(node) + " " + method + " " + path + ": " + std::to_string(out.status) + " " +
       out.body);
  return out;
}

Answer Cluster::submit(int node, const std::string& ref) {
  return ask(node, "POST", "/v2/runs", mothslip::dump_json(world_.jobs.at(ref).body), 5.0);
}

bool Cluster::is_ready(int node) {
  return call({real_address(sim::client_address_of(node)), "GET", "/ready", "", 1.0, false}).status == 200;
}

bool Cluster::all_ready() {
  for (int node = 0; node < nodes(); node++) {
    if (!is_ready(node)) return false;
  }
  return true;
}

void Cluster::add_job(sim::UserJob job) {
  job.cores = job.body["cores"];
  job.team = job.body["owner"];
  job.gang = job.body["shape"] == "ensemble";
  const std::string ref = job.ref;
  world_.jobs.emplace(ref, std::move(job));
}

Json Cluster::stored(const std::string& key) const {
  const auto found = world_.state.values().find(key);
  return found == world_.state.values().end() ? Json() : found->second;
}

int Cluster::owner_of(int shard) const {
  const Json owner = stored("parts/" + std::to_string(shard));
  return owner.is_object() ? sim::node_index(owner["node"].get<std::string>()) : -1;
}

int Cluster::starts(const std::string& ref) const {
  int out = 0;
  for (const auto& [task, count] : world_.jobs.at(ref).starts) out += count;
  return out;
}

void Cluster::note(const std::string& text) {
  if (record_ != nullptr) std::fprintf(record_, "%8.3f %s\n", now(), text.c_str());
}

std::string Cluster::log_line(int node, const std::string& text) const {
  std::ifstream in(log_file(node));
  std::string line;
  std::string out;
  while (std::getline(in, line)) {
    if (line.find(text) != std::string::npos) out = line;
  }
  return out;
}

sim::UserJob array_job(const std::string& ref, int task_count, double run_s, int cores) {
  sim::UserJob job;
  job.ref = ref;
  job.task_count = task_count;
  job.run_s = run_s;
  job.body = {{"ref", ref},
              {"workload", "basket-sync"},
              {"owner", "red"},
              {"shape", "array"},
              {"urgency", "normal"},
              {"pieces", task_count},
              {"cores", cores},
              {"accelerators", 0},
              {"memory_gb", cores * 2},
              {"bundle", "img-0"},
              {"pull_gb", 1},
              {"flavours", nullptr},
              {"hall", nullptr},
              {"together", false},
              {"scatter", false},
              {"loaner", true},
              {"guess_s", run_s},
              {"snapshot_every_s", 0},
              {"snapshot_cost_s", 0},
              {"due_s", nullptr}};
  return job;
}

bool without_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

}  // namespace review
