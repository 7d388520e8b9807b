// The network of the simulated cluster: it carries every message, and delays, loses, copies or holds it back
// as the day's options and the test say.
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

  // Sends a message. Exactly one reply; {0} is silence.
  void send(const std::string& from, const HttpCall& call, Reply reply);
  [[nodiscard]] bool reachable(const std::string& a, const std::string& b) const;

  // The state service refuses the node (nobody else), and with `peers` no other node reaches it.
  void partition_node(int index, bool peers);
  // No machine reaches the node, nor it any of them; everybody else does.
  void partition_node_from_workers(int index);
  // All such cuts are over.
  void heal_partitions();
  // No node reaches the machine, nor it any of them.
  void partition_machine(const std::string& machine);

  std::set<std::pair<std::string, std::string>> partitions;  // by name, in either order
  std::set<std::string>
      nodes_refused_by_state;  // nodes that get 503 from the state service while others are served
  std::set<std::string>
      nodes_without_state_answers;  // nodes that no answer of the state service reaches; their calls arrive
  std::set<std::string> nodes_without_workers;   // nodes that no machine reaches
  std::map<std::string, double> isolated_since;  // nodes that reach their workers only, and since when
  double delayed_share = 0.5;                    // of what meets a cut: delivered late rather than lost
  int commit_answers_to_drop = 0;  // so many answers to commits get lost, though the commits are carried out
  double max_watch_delay_s = 0;    // answers to watches come up to so much later than other answers
  // Transactions with a change wait until this is over, whoever gives up meanwhile.
  bool delay_commits = false;
  // Which transactions are lost on their way: they are never carried out.
  std::function<bool(const std::string& from, const Json& body)> should_lose_commit;
  // How much later than usual the answer to a commit arrives, in seconds; negative: it is lost.
  std::function<double(const std::string& from, const Json& body)> commit_answer_delay_s;

  // Hears of each transaction that was carried out, before its answer leaves.
  std::function<void(const std::string& from, const Json& body)> on_commit;
  // Hears of each message between nodes that was answered.
  std::function<void(const HttpCall& call, const HttpAnswer& answer)> on_peer_message;
  // Hears what is sent to an address that nobody has.
  std::function<void(const HttpCall&)> on_unknown_destination;
  // Carries messages to nodes that are processes of their own.
  std::function<void(const HttpCall&, const Reply&)> send_to_external_node;

  std::map<std::string, std::size_t> largest_bytes;  // message seen: by kind, bytes
  std::map<std::string, int> message_counts;         // messages: by kind

 private:
  // To a node: at which of its two addresses, and whether it is a copy of an earlier message.
  struct NodeCall {
    std::string from;
    int node;
    bool is_client_address;
    bool is_copy;
    HttpCall call;
  };
  using JsonReply = std::function<void(int status, const Json& body)>;
  // In seconds; nothing: the message is lost at a cut.
  std::optional<double> draw_delay_s(const std::string& from, const HttpCall& call);
  // True: it is a transaction that is carried out later, without an answer.
  bool schedule_late_commit(const std::string& from, const HttpCall& call, double delay_s);
  // Some messages are followed by a copy. `delivered`: the message itself has been accepted by then.
  void maybe_copy(const std::string& from, const HttpCall& call, double delay_s,
                  const std::shared_ptr<bool>& delivered);
  // The name of whoever has this address; the address itself of one that has no name.
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
