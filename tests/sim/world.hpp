// A small simulated cluster: whole nodes (the real Node class) in virtual time, with stand-ins for the state
// service, the cloud, workers and users that follow PROTOCOL, and the protocol's rules as invariants.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/node/node.hpp"
#include "protocol/settings.hpp"
#include "recovery/controller.hpp"
#include "sim/answer_history.hpp"
#include "sim/gangs.hpp"
#include "sim/users.hpp"
#include "transport/env.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip::sim {

class World;

std::string node_name(int index);
// The address at which a node serves users and workers.
std::string client_address_of(int node);
// And other nodes and operators.
std::string peer_address_of(int node);
// Simulated days are silent unless SIM_LOG is set.
void set_up_log();

// What a node sees of the world. It dies with its process: late timers and replies find nothing.
class NodeEnv final : public Env {
 public:
  NodeEnv(World& world, int index, double drift, double skew);
  [[nodiscard]] double now() const override;
  [[nodiscard]] double wall() const override;
  std::uint64_t random() override;
  TimerId after(double delay_s, std::function<void()> action) override;
  void cancel(TimerId timer) override { cancelled_.insert(timer); }
  void call(HttpCall request, ReplyHandler handler) override;

 private:
  World& world_;
  int index_;
  double drift_;
  double skew_;
  TimerId next_ = 1;
  std::set<TimerId> cancelled_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class StateService {
 public:
  explicit StateService(World& world);
  using Reply = std::function<void(int status, Json body)>;
  void handle(const std::string& method, const std::string& target, const std::string& body,
              const Reply& reply);
  void set_outage(bool out);
  double slow_s = 0;              // every answer takes so much longer
  int too_many = 0;               // calls answered 429
  int too_large = 0;              // transactions answered 400 for their size or that of a value
  bool may_be_too_large = false;  // without this such a transaction breaks a rule of the simulated cluster
  // From now on; what is stored stays.
  void lower_limits(double value_kb, int txn_ops, double write_rps);
  int changes_made = 0;
  void spoil(const std::string& key) { values_[key] = "spoiled"; }  // as if written by something else
  // What the service holds now, to be set back to later. It may forget the leases.
  struct Copy {
    std::map<std::string, Json> values;
    std::map<std::string, std::uint64_t> revisions;
    std::map<std::string, std::uint64_t> holds;
    std::map<std::uint64_t, double> leases;  // by id: seconds to live
    std::uint64_t revision = 1;
    std::uint64_t next_lease = 1;
  };
  [[nodiscard]] Copy copy() const;
  void restore(const Copy& copy);
  void empty() { restore({}); }
  void write_again(const std::string& key);  // the same value under a new revision, by something else
  bool hold_watches = false;                 // open watches tell nothing
  void release_watches();
  [[nodiscard]] const std::map<std::string, Json>& values() const { return values_; }
  [[nodiscard]] std::uint64_t revision(const std::string& key) const;

 private:
  struct Watch {
    std::string prefix;
    std::uint64_t from;
    Reply reply;
    bool over = false;
  };
  struct Lease {
    double ttl;
    double ends;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    Json event;
  };
  void expire();
  void changed(const std::string& key, Json event);
  void serve_watches();
  bool answer_watch(Watch& watch);
  void erase(const std::string& key);

  World& world_;
  std::map<std::string, Json> values_;
  std::map<std::string, std::uint64_t> revisions_;
  std::map<std::string, std::uint64_t> lease_ids_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  bool outage_ = false;
  [[nodiscard]] bool over_size(const Json& changes, std::size_t conditions) const;
  TokenBucket calls_;
  TokenBucket writes_;
  double value_kb_;
  std::size_t txn_ops_;
};

struct UserJob;

struct Task {
  UserJob* job = nullptr;  // null: nobody submitted it
  std::string ref;
  int index = 0;
  std::uint64_t attempt = 0;
  std::string phase = "pulling";
  std::string cause;
  double until = 0;
  bool stored = false;  // of a gang: its progress was saved as it was stopped
};

class Worker {
 public:
  Worker(World& world, std::string name, std::string address, std::string machine_type, std::string zone,
         bool spot, double drift);
  void boot();
  void handle(const std::string& target, const std::string& body,
              const std::function<void(int, Json)>& reply);
  [[nodiscard]] bool on_machine(const Task& task) const {
    return task.phase == "running" || task.phase == "saving" || task.phase == "waiting";
  }
  void note_change() { changed_ = true; }

  std::string name, address, machine_type, zone;
  bool spot;
  bool dead = false;
  bool hung = false;
  bool faulty = false;
  double eviction_notice_s = -1;      // the cloud takes it away in so long; negative: it does not
  bool inbound_unreachable = false;   // its reports arrive; answers and commands do not reach it
  bool muffled = false;               // only the answers to its reports are lost; commands arrive
  bool stubborn = false;              // it takes no notice of stops
  bool outbound_unreachable = false;  // its reports reach nobody; commands arrive
  std::vector<Task> tasks;
  void unhang();
  [[nodiscard]] bool up() const { return !dead && booted_; }
  [[nodiscard]] double capacity() const { return machine_type == "c4" ? 4.0 : 16.0; }
  [[nodiscard]] double free_cores() const;
  // The machine is back at once after losing power: all on it is gone. It may have forgotten which
  // incarnation it was in.
  void reboot(bool forgets);

 private:
  [[nodiscard]] Json report();
  void step();
  void send_report();
  void execute(const Json& orders);
  void launch(const std::string& name_of_task, std::uint64_t attempt);
  void check_lease();
  [[nodiscard]] double now() const;

  World& world_;
  double drift_;
  std::uint64_t worker_incarnation_ = 1;
  std::uint64_t heartbeat_sequence_ = 0;
  std::uint64_t fencing_token_ = 0;
  double last_answered_sent_ = 0;
  double next_report_ = 0;
  double last_report_ = -10;
  bool in_flight_ = false;
  std::uint64_t flight_ = 0;
  bool changed_ = false;
  bool booted_ = false;
  std::string node_;
  std::set<std::string> images_;
  std::vector<std::function<void()>> held_;  // what arrives while hung
};

class Cloud {
 public:
  explicit Cloud(World& world);
  void handle(const std::string& target, const std::string& body,
              const std::function<void(int, Json)>& reply);
  bool outage = false;
  double fail_share = 0;  // machines that never come up
  int rented = 0;

 private:
  World& world_;
  std::map<std::string, Json> rentals_;
  int next_ = 1;
  struct Row {
    Json item;
    double created;
    double gone = 1e18;
  };
  std::map<std::string, Row> rows_;
  TokenBucket calls_;
};

// One user's job, and what was promised about it.
struct UserJob {
  Json body;
  std::string ref;
  std::string team;
  double cores = 0;
  int task_count = 1;
  double run_s = 5;
  bool gang = false;
  double progress = 0;             // of a gang, saved
  double gang_began = -1;          // its last attempt started
  std::uint64_t last_attempt = 0;  // of a gang: the largest number that reached a machine
  bool mistaken = false;           // submitted with a mistake: its tasks fail on every machine
  double spread_ends = 0;  // each task takes so much longer than the one before, and no chance comes in
  double submit_at = 0;
  double cancel_at = -1;
  bool accepted = false;
  bool told_done = false;
  bool told_aborted = false;
  double aborted_at = 0;
  bool cancel_asked = false;
  double first_start = -1;
  double waits_beside_room = -1;  // since when a task waits while a machine has room for it
  std::map<int, int> starts;      // by task
  double asked_since = -1;        // questions that nobody has answered yet go back to here
  AnswerHistory told;
  std::set<int> completed;
};

struct Options {
  std::uint64_t seed = 1;
  int nodes = 3;
  double loss = 0.002;
  double copies = 0;        // share of reports, submissions and cancellations of which a copy comes late
  double state_copies = 0;  // the same for transactions
  double late_writes = 0;   // share of transactions that get no answer and are carried out 2 to 12 s later
  double copy_late = 45;    // seconds, at the most
  int jobs = 24;
  int shard_count = 0;  // as recorded before the first start; 0: the nodes decide
  // The deployment.
  int market = 2;  // machines of each type, zone and kind
  std::vector<std::string> zones = {"a", "b"};
  double report_s = 1.5;
  double lease_s = 12;
  double gang_wait_s = 35;
  double gang_peer_s = 5;
  double team_cpus = 24;
  double team_max = 48;
  double state_rps = 100;
  double write_rps = 30;
  int txn_ops = 24;
  double value_kb = 8;
  // Announced limits (`state.next`); 0: none are.
  double next_value_kb = 0;
  int next_txn_ops = 0;
  double next_write_rps = 0;
  bool earlier_version = false;  // all nodes begin as the version before: World::upgrade_node
  double cloud_rps = 2;
  std::size_t page = 7;         // items a page of the state service: small, so that paging is always used
  bool rate_limits = false;     // the state service and the cloud answer 429
  bool external_nodes = false;  // the nodes are not of this world: World::call_node
  bool recovery = false;        // lost state is noticed and rebuilt
  bool close_looks = false;  // users ask at all nodes around each acceptance, cancellation and end of a job
};

class World {
 public:
  explicit World(const Options& options_in);
  ~World();

  void at(double time, std::function<void()> action);
  void in(double delay, std::function<void()> action) { at(now + delay, std::move(action)); }
  void run_until(double time);

  void start_node(int index);
  void crash_node(int index, double back_after);
  // The process is killed and comes back with the present version.
  void upgrade_node(int index, double back_after);
  // The state service refuses the node (nobody else), and with `peers` no other node reaches it.
  void cut_node(int index, bool peers);
  // No machine reaches the node, nor it any of them; everybody else does.
  void cut_from_workers(int index) { no_workers.insert(node_name(index)); }
  // All such cuts are over.
  void mend_nodes();
  // The node that owns the shard, by the state service; -1: nobody.
  [[nodiscard]] int owner_of(int shard) const;
  // Stands still: nothing is received or sent, no timer fires; its clocks run on.
  void freeze_node(int index, double for_s);
  void hang(Worker& worker, double for_s);
  // No node reaches the machine, nor it any of them.
  void cut_off(const std::string& machine);
  // Sends a message over the simulated network. Exactly one reply; {0} is silence.
  void send(const std::string& from, const HttpCall& call, std::function<void(HttpReply)> reply);
  void submit(UserJob job);
  void cancel_job(const std::string& ref) { users.cancel(ref); }
  void submit_again(const std::string& ref) { users.submit(ref, now + 1); }

  [[nodiscard]] bool reachable(const std::string& a, const std::string& b) const;
  void broken(const std::string& rule);
  double uniform(double low, double high) {
    return low + (high - low) * std::generate_canonical<double, 53>(rng);
  }

  void on_start(Worker& worker, const Task& task);
  [[nodiscard]] double base_gang_peer_s() const { return options.gang_peer_s; }
  void on_done(const Task& task);
  [[nodiscard]] std::string summary() const;

  double now = 0;
  std::mt19937_64 rng;
  Options options;
  Settings base;
  StateService state;
  Cloud cloud;
  Users users;
  Gangs gangs;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::unordered_map<std::string, Worker*> by_address;
  std::map<std::string, UserJob> jobs;
  std::vector<std::string> violations;
  std::set<std::pair<std::string, std::string>> cuts;
  std::set<std::string> state_refuses;  // nodes that get 503 from the state service while others are served
  // Carries messages to nodes that are processes of their own.
  std::function<void(const HttpCall&, const std::function<void(HttpReply)>&)> call_node;
  std::function<void(const HttpCall&)> outside;  // hears what is sent to an address that nobody has
  std::set<std::string> no_workers;              // nodes that no machine reaches
  std::map<std::string, double> isolated;        // nodes that reach their workers only, and since when
  double troubles_end = 1e18;  // from here on every question must find an answer within 75 s
  bool all_runs = true;        // and no job may wait for 90 s beside a machine with room
  int orders_to_copies = 0;    // launches in answers to copies of reports: they go nowhere
  std::map<std::string, int> launches_to_unreachable;  // by attempt
  int drop_state_answers = 0;  // so many answers to commits get lost, though the commits are carried out
  double hold_share = 0.5;     // of what meets a cut: delivered late rather than lost
  std::map<std::string, double> cut_until;
  int starts = 0;
  int lost_to_leases = 0;  // tasks that were on a machine when its lease ended
  int late_starts = 0;     // after the user was told that the job is cancelled
  // Hears of each transaction that was carried out, before its answer leaves.
  std::function<void(const std::string& from, const Json& body)> on_commit;
  // How much later than usual the answer to a commit arrives, in seconds; negative: it is lost.
  std::function<double(const std::string& from, const Json& body)> commit_answer;
  // Which transactions are lost on their way: they are never carried out.
  std::function<bool(const std::string& from, const Json& body)> lose_commit;
  // Nodes that no answer of the state service reaches; their calls arrive.
  std::set<std::string> state_unheard;
  double watch_delay_s = 0;  // answers to watches come up to so much later than other answers
  std::function<void(const std::string& ref)> on_last_done;  // the last task of a job has just completed
  // Hears of each message between nodes that was answered.
  std::function<void(const HttpCall& call, const HttpAnswer& answer)> on_peer_message;
  bool hold_commits =
      false;  // transactions with a change wait until this is over, whoever gives up meanwhile

  struct Process {
    Settings settings;
    std::unique_ptr<NodeEnv> env;
    std::unique_ptr<recovery::Controller> node;
    bool frozen = false;
    bool earlier_version = false;
    std::vector<std::function<void()>> held;  // what happened meanwhile, in order
  };
  std::vector<Process> nodes;
  std::map<std::string, std::size_t> largest;  // message seen: by kind, bytes
  std::map<std::string, int> counts;           // messages: by kind

 private:
  friend class NodeEnv;
  struct Event {
    double time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  void note_size(const std::string& kind, std::size_t bytes, std::size_t limit);
  // Runs it now, or when the node goes on; not at all if the process has ended since.
  void on_node(int index, std::function<void()> action);
  void deliver(const std::string& from, const HttpCall& call, const std::function<void(HttpReply)>& reply);
  [[nodiscard]] bool is_up(const std::string& address) const;
  void answer_unrefused(const std::string& node, std::function<void()> answer);
  void watch_answer(const std::string& from, const std::string& node, const HttpCall& call,
                    const HttpAnswer& out, bool copy);
  void check_rules();
  void check_waiting();
  [[nodiscard]] bool could_run(const UserJob& job) const;
  [[nodiscard]] std::optional<double> cores_of_team_without(const UserJob& job) const;
  [[nodiscard]] bool gang_could_run(const UserJob& job) const;

  bool over_ = false;
  std::vector<Event> events_;  // a heap
  std::uint64_t order_ = 0;
};

}  // namespace mothslip::sim
