// The network of the simulated cluster. It carries every message, and delays, loses or duplicates messages
// as the options and the test specify.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "protocol/messages.hpp"
#include "transport/env.hpp"
#include "transport/http.hpp"

namespace mothslip::sim {

class World;

class Network {
 public:
  using Reply = std::function<void(HttpReply)>;
  explicit Network(World& world) : world_(world) {}

  // Sends a message. `reply` is called exactly once; status 0 means that no answer arrived in time.
  void send(const std::string& from, const HttpCall& call, Reply reply);
  [[nodiscard]] bool is_reachable(const std::string& a, const std::string& b) const;

  // Makes the state service refuse this node only. With `peers`, the node is also partitioned from all
  // other nodes.
  void partition_node(int index, bool peers);
  // Partitions the node from all machines, in both directions. Everybody else still reaches it.
  void partition_node_from_workers(int index);
  // Ends all partitions that the functions above created.
  void heal_partitions();
  // Partitions the machine from all nodes, in both directions.
  void partition_machine(const std::string& machine);

  // Pairs of names that cannot reach each other, in either order.
  std::set<std::pair<std::string, std::string>> partitions;
  // Nodes that get 503 from the state service while others are served.
  std::set<std::string> nodes_refused_by_state;
  // Nodes that no answer of the state service reaches. Their requests arrive.
  std::set<std::string> nodes_without_state_answers;
  // Nodes that no machine reaches.
  std::set<std::string> nodes_without_workers;
  // Nodes that reach only their workers, with the time at which their isolation started.
  std::map<std::string, double> isolated_since;
  // Share of the messages into a partition that are delivered late. The others are lost.
  double delayed_share = 0.5;
  // Number of answers to commits that will be lost, although the commits are applied.
  int commit_answers_to_drop = 0;
  // Additional delay of the answers to watches, at most.
  double max_watch_delay_s = 0;
  // While true, transactions with changes are applied late and without an answer, even if their sender has
  // given up by then.
  bool delay_commits = false;
  // Decides which transactions are lost on the way to the state service. They are never applied.
  std::function<bool(const std::string& from, const Json& body)> should_lose_commit;
  // Returns the additional delay of the answer to a commit. A negative value means that the answer is lost.
  std::function<double(const std::string& from, const Json& body)> commit_answer_delay_s;

  // Called for each transaction that was applied, before its answer is sent.
  std::function<void(const std::string& from, const Json& body)> on_commit;
  // Called for each message between nodes that was answered.
  std::function<void(const HttpCall& call, const HttpAnswer& answer)> on_peer_message;
  // Called for messages to an address that belongs to no participant.
  std::function<void(const HttpCall&)> on_unknown_destination;
  // Delivers messages to nodes that run outside of this simulation.
  std::function<void(const HttpCall&, const Reply&)> send_to_external_node;

  // Size of the largest message seen, by kind.
  std::map<std::string, std::size_t> largest_bytes;
  // Number of messages, by kind.
  std::map<std::string, int> message_counts;

 private:
  // A message to a node, with the kind of address it was sent to, and whether it is a duplicate of an earlier
  // message.
  struct NodeCall {
    std::string from;
    int node;
    bool is_client_address;
    bool is_duplicate;
    HttpCall call;
  };
  using JsonReply = std::function<void(int status, const Json& body)>;
  // Returns nothing if the message is lost in a partition.
  std::optional<double> draw_delay_s(const std::string& from, const HttpCall& call);
  // Schedules a late delivery without an answer if the message is a transaction selected for it, and
  // returns whether it is.
  bool schedule_late_commit(const std::string& from, const HttpCall& call, double delay_s);
  // Sends a duplicate after some messages. `delivered` says whether the message itself has been accepted when
  // the duplicate arrives.
  void maybe_duplicate(const std::string& from, const HttpCall& call, double delay_s,
                       const std::shared_ptr<bool>& delivered);
  // Returns the name of the participant with this address, or the address itself if that participant has no
  // name.
  [[nodiscard]] std::string name_at(const std::string& address) const;
  void deliver(const std::string& from, const HttpCall& call, const Reply& reply);
  void deliver_to_state(const std::string& from, const HttpCall& call, const JsonReply& answer);
  void deliver_watch(const std::string& from, const HttpCall& call, const JsonReply& answer);
  void deliver_commit(const std::string& from, const HttpCall& call, const JsonReply& answer);
  void deliver_to_node(const NodeCall& node_call, const Reply& reply);
  void answer_unless_refused(const std::string& node, std::function<void()> answer);
  void record_size(const std::string& kind, std::size_t bytes, std::size_t limit);

  World& world_;
};

}  // namespace mothslip::sim
