#include "sim/worker.hpp"

#include <algorithm>
#include <utility>

#include "sim/addresses.hpp"
#include "sim/world.hpp"

namespace mothslip::sim {

namespace {
// Time between checks of its tasks.
constexpr double kStepSeconds = 0.1;
// The shortest time between reports, regardless of how much changes.
constexpr double kMinReportGapSeconds = 0.5;
// Time-out for the answer to a report.
constexpr double kReportTimeoutSeconds = 4.0;
// Time between the start of a failing task and its failure.
constexpr double kFailDelaySeconds = 0.5;
}  // namespace

Worker::Worker(World& world, std::string name_in, std::string address_in, std::string machine_type_in,
               std::string zone_in, bool spot_in, double clock_rate)
    : name(std::move(name_in)),
      address(std::move(address_in)),
      machine_type(std::move(machine_type_in)),
      zone(std::move(zone_in)),
      spot(spot_in),
      world_(world),
      clock_rate_(clock_rate) {}

double Worker::now() const { return world_.now * clock_rate_; }

void Worker::boot() {
  if (dead) return;
  is_booted_ = true;
  node_ = node_name(static_cast<int>(world_.rng() % static_cast<std::uint64_t>(world_.options.nodes)));
  last_answered_sent_at_ = now();
  step();
}

bool Worker::is_healthy() const {
  return !hung && !inbound_unreachable && !loses_report_answers && !outbound_unreachable && !faulty;
}

double Worker::free_cores() const {
  double used = 0;
  for (const Task& task : tasks) {
    if (task.phase != "exited") used += task.job->cores;
  }
  return total_cores() - used;
}

void Worker::reboot(bool forgets_incarnation) {
  tasks.clear();
  images_.clear();
  deferred_.clear();
  has_report_in_flight_ = false;
  report_number_++;
  fencing_token_ = 0;
  worker_incarnation_ = forgets_incarnation ? 1 : worker_incarnation_ + 1;
  if (forgets_incarnation) heartbeat_sequence_ = 0;
  last_answered_sent_at_ = now();
  has_unreported_change_ = true;
}

void Worker::hang(double for_s) {
  hung = true;
  world_.in(for_s, [this] { resume(); });
}

void Worker::resume() {
  hung = false;
  check_lease();
  const auto deferred = std::move(deferred_);
  deferred_.clear();
  for (const auto& action : deferred) action();
}

void Worker::run_or_defer(std::function<void()> action) {
  if (hung) {
    deferred_.push_back(std::move(action));
  } else {
    action();
  }
}

void Worker::check_lease() {
  if (now() - last_answered_sent_at_ <= world_.options.lease_s) return;
  for (const Task& task : tasks) world_.tasks_lost_with_lease += occupies_machine(task) ? 1 : 0;
  tasks.clear();
  worker_incarnation_++;
  last_answered_sent_at_ = now();
  has_unreported_change_ = true;
}

// ---------------------------------------------------------------- what its tasks do

void Worker::step() {
  if (dead) {
    tasks.clear();
    return;
  }
  check_lease();  // a machine that resumes after its lease has lost its tasks, even while hung
  if (!hung) {
    for (Task& task : tasks) step_task(task);
    const bool is_due = now() >= next_report_at_ ||
                        (has_unreported_change_ && now() - last_report_at_ >= kMinReportGapSeconds);
    if (!has_report_in_flight_ && is_due) send_report();
  } else {
    for (Task& task : tasks) {
      if (task.phase != "exited") task.phase_ends_at += kStepSeconds;
    }
  }
  world_.in(kStepSeconds, [this] { step(); });
}

void Worker::step_task(Task& task) {
  if (task.phase == "exited" || world_.now < task.phase_ends_at) return;
  const UserJob& job = *task.job;
  if (job.gang && task.phase != "pulling") return;  // Gangs simulates gang tasks after the pull
  has_unreported_change_ = true;
  const bool fails = faulty || job.always_fails;
  if (task.phase != "pulling") {
    task.phase = "exited";
    task.cause = fails ? "error" : "done";
    if (!fails) world_.on_task_completed(task);
    return;
  }
  images_.insert(job.body["bundle"]);
  if (job.gang) {
    task.phase = "waiting";
    task.phase_ends_at = world_.now + world_.options.gang_wait_s;
  } else {
    task.phase = "running";
    const double duration_s = job.run_increment_s > 0 ? job.run_s + job.run_increment_s * task.index
                                                      : job.run_s * world_.uniform(0.7, 1.3);
    task.phase_ends_at = world_.now + (fails ? kFailDelaySeconds : duration_s);
  }
  world_.on_task_started(*this, task);
}

// ---------------------------------------------------------------- reports

Json Worker::report() {
  Json reported = Json::array();
  for (const Task& task : tasks) {
    Json item = {{"piece", task.ref + "/" + std::to_string(task.index)},
                 {"try_no", task.attempt},
                 {"phase", task.phase}};
    if (task.phase == "exited") item["exit_cause"] = task.cause;
    if (task.is_progress_saved) item["stored"] = true;
    reported.push_back(item);
  }
  return {{"host", name},
          {"address", address},
          {"flavour", machine_type},
          {"hall", zone},
          {"loaner", spot},
          {"tenure", worker_incarnation_},
          {"tick", ++heartbeat_sequence_},
          {"baton", fencing_token_},
          {"warning_s", eviction_notice_s < 0 ? Json(nullptr) : Json(eviction_notice_s)},
          {"pieces", reported}};
}

void Worker::send_report() {
  has_unreported_change_ = false;
  has_report_in_flight_ = true;
  const SentReport sent_report{++report_number_, now(), worker_incarnation_, node_index(node_)};
  last_report_at_ = sent_report.sent_at;
  next_report_at_ = sent_report.sent_at + world_.options.report_s * world_.uniform(0.75, 1.25);
  const HttpCall call{client_address_of(sent_report.node), "POST", "/hello", dump_json(report()),
                      kReportTimeoutSeconds};
  world_.in(kReportTimeoutSeconds + 0.05, [this, number = sent_report.number] { time_out_report(number); });
  if (outbound_unreachable) return;
  world_.network.send(name, call, [this, sent_report](const HttpReply& reply) {
    run_or_defer([this, sent_report, reply] { on_report_answered(sent_report, reply); });
  });
}

// Times out a report that gets no answer because of a fault of this machine. In all other cases the network
// calls the reply handler.
void Worker::time_out_report(std::uint64_t number) {
  if (dead || hung || number != report_number_ || !has_report_in_flight_) return;
  if (!inbound_unreachable && !loses_report_answers && !outbound_unreachable) return;
  has_report_in_flight_ = false;
  node_ = node_name((node_index(node_) + 1) % world_.options.nodes);
  next_report_at_ = now() + 1;
}

void Worker::on_report_answered(const SentReport& sent_report, const HttpReply& reply) {
  if (dead || sent_report.number != report_number_ || !has_report_in_flight_) return;
  if ((inbound_unreachable || loses_report_answers) && reply.status != 0)
    return;  // the report times out instead
  has_report_in_flight_ = false;
  if (reply.status == 200) {
    on_report_accepted(sent_report, parse_json(reply.body));
  } else {
    on_report_refused(sent_report, reply);
  }
}

void Worker::on_report_accepted(const SentReport& sent_report, const Json& body) {
  if (!body.is_object() || !body.contains("baton")) return;
  const auto fencing_token = body["baton"].get<std::uint64_t>();
  if (fencing_token < fencing_token_) return;
  if (now() - sent_report.sent_at > kReportTimeoutSeconds ||
      sent_report.worker_incarnation != worker_incarnation_)
    return;
  if (fencing_token > fencing_token_) {
    fencing_token_ = fencing_token;
    has_unreported_change_ = true;
  }
  last_answered_sent_at_ = std::max(last_answered_sent_at_, sent_report.sent_at);
  execute(body["orders"]);
}

// The next report goes to the node that the answer redirects to, or else to the next node.
void Worker::on_report_refused(const SentReport& sent_report, const HttpReply& reply) {
  std::string parent;
  if (reply.status == 421) parent = parse_json(reply.body).value("parent", "");
  if (!parent.empty() && parent != node_) {
    node_ = parent;
    next_report_at_ = now() + world_.uniform(0, 0.5);
  } else {
    node_ = node_name((sent_report.node + 1) % world_.options.nodes);
    next_report_at_ = now() + 1;
  }
}

// ---------------------------------------------------------------- commands

void Worker::handle(const std::string& target, const std::string& body, const Reply& reply) {
  if (inbound_unreachable) return;
  run_or_defer([this, target, body, reply] { on_command(target, body, reply); });
}

void Worker::on_command(const std::string& target, const std::string& body, const Reply& reply) {
  if (dead) return;
  check_lease();
  if (target == "/status") return reply(200, report());
  const Json json = parse_json(body);
  if (!json.contains("baton") || !json.contains("tenure")) return reply(400, Json::object());
  const auto fencing_token = json["baton"].get<std::uint64_t>();
  if (fencing_token < fencing_token_ || json["tenure"].get<std::uint64_t>() != worker_incarnation_)
    return reply(409, report());
  if (fencing_token > fencing_token_) {
    fencing_token_ = fencing_token;
    has_unreported_change_ = true;
  }
  execute(json["orders"]);
  reply(200, report());
}

void Worker::execute(const Json& orders) {
  for (const Json& order : orders) {
    const std::string verb = order["verb"];
    const std::string task_name = order["piece"];
    const std::uint64_t attempt = order["try_no"];
    const auto it = std::find_if(tasks.begin(), tasks.end(), [&](const Task& task) {
      return task.ref + "/" + std::to_string(task.index) == task_name && task.attempt == attempt;
    });
    if (verb == "launch") {
      if (it == tasks.end()) launch(task_name, attempt);
    } else if (it != tasks.end() && verb == "stop") {
      stop(*it, order);
    } else if (it != tasks.end() && verb == "reap" && it->phase == "exited") {
      tasks.erase(it);
    }
  }
}

void Worker::stop(Task& task, const Json& order) {
  if (task.phase == "exited" || ignores_stops) return;
  has_unreported_change_ = true;
  if (task.job->gang) return world_.gangs.stop(task, order["wind_down_s"].get<double>());
  task.phase = "exited";
  task.cause = "halted";
}

void Worker::launch(const std::string& task_name, std::uint64_t attempt) {
  const auto slash = task_name.rfind('/');
  Task task;
  task.ref = task_name.substr(0, slash);
  task.index = std::stoi(task_name.substr(slash + 1));
  task.attempt = attempt;
  has_unreported_change_ = true;
  const auto refuse = [&](const char* cause) {
    task.phase = "exited";
    task.cause = cause;
    tasks.push_back(task);
  };
  const auto job = world_.jobs.find(task.ref);
  if (job == world_.jobs.end() || task.index >= job->second.task_count) return refuse("no_such");
  for (const Task& other : tasks) {
    if (other.phase == "exited") continue;
    if (other.ref == task.ref && other.index == task.index) return refuse("in_use");
  }
  task.job = &job->second;
  if (job->second.cores > free_cores()) return refuse("no_room");
  task.phase_ends_at =
      world_.now + (images_.count(job->second.body["bundle"]) > 0 ? 0.05 : world_.uniform(0.5, 2));
  tasks.push_back(task);
}

}  // namespace mothslip::sim
