#include "sim/network.hpp"

#include <algorithm>

#include "sim/addresses.hpp"
#include "sim/world.hpp"

namespace mothslip::sim {

namespace {
constexpr std::size_t kBody = std::size_t{64} * 1024;  // of a request, a transaction, a line of an answer
const char* const kCopyMark = "#copy";                 // at the end of a copy's path, on its way

bool is_commit(const HttpCall& call) { return call.path == "/commit"; }

bool has_changes(const HttpCall& call) {
  return is_commit(call) && call.body.find("\"then\":[]") == std::string::npos;
}

// The share of such messages of which a copy comes.
double copied_share(const std::string& from, const HttpCall& call, const Options& options) {
  if (is_commit(call)) return options.commit_copy_share;
  const bool message = call.path == "/hello" || call.path == "/v2/runs" || call.path.ends_with("/cancel");
  return message && from.rfind(kNodeNamePrefix, 0) != 0 ? options.message_copy_share : 0;
}
}  // namespace

// ---------------------------------------------------------------- cuts

void Network::partition_node(int index, bool peers) {
  const std::string name = node_name(index);
  nodes_refused_by_state.insert(name);
  if (!peers) return;
  isolated_since[name] = world_.now;
  for (int i = 0; i < world_.options.nodes; i++) {
    if (i != index) partitions.insert({name, node_name(i)});
  }
}

void Network::partition_node_from_workers(int index) { nodes_without_workers.insert(node_name(index)); }

void Network::heal_partitions() {
  partitions.clear();
  nodes_without_workers.clear();
  nodes_refused_by_state.clear();
  isolated_since.clear();
}

void Network::partition_machine(const std::string& machine) {
  for (int i = 0; i < world_.options.nodes; i++) partitions.insert({machine, node_name(i)});
}

bool Network::reachable(const std::string& a, const std::string& b) const {
  if (nodes_without_workers.count(a) > 0 && world_.workers.count(b) > 0) return false;
  if (nodes_without_workers.count(b) > 0 && world_.workers.count(a) > 0) return false;
  return partitions.count({a, b}) == 0 && partitions.count({b, a}) == 0;
}

// ---------------------------------------------------------------- on the way

void Network::send(const std::string& from, const HttpCall& call, Reply reply) {
  auto over = std::make_shared<bool>(false);
  const auto finish = [over, reply = std::move(reply)](HttpReply answer) {
    if (*over) return;
    *over = true;
    reply(std::move(answer));
  };
  world_.in(call.timeout_s, [finish] { finish({}); });
  const double loss = world_.options.message_loss_share;
  if (world_.uniform(0, 1) < loss) return;  // the request is lost
  const auto delay = draw_delay(from, call);
  if (!delay || held_back(from, call, *delay)) return;
  const auto delivered = std::make_shared<bool>(false);
  maybe_copy(from, call, *delay, delivered);
  world_.in(*delay, [this, from, call, finish, delivered] {
    *delivered = world_.nodes.is_up(call.destination);
    deliver(from, call, [this, finish, delivered](const HttpReply& answer) {
      *delivered = answer.status != 421 && answer.status != 503;
      if (world_.uniform(0, 1) < world_.options.message_loss_share)
        return;  // executed, but the answer is lost
      world_.in(world_.uniform(0.001, 0.006), [finish, answer] { finish(answer); });
    });
  });
}

std::string Network::name_at(const std::string& address) const {
  const auto node = node_at(address, world_.options.nodes);
  if (node) return node_name(node->index);
  const auto machine = world_.workers_by_address.find(address);
  return machine == world_.workers_by_address.end() ? address : machine->second->name;
}

std::optional<double> Network::draw_delay(const std::string& from, const HttpCall& call) {
  const std::string to = name_at(call.destination);
  double delay = world_.uniform(0.001, 0.006) + (world_.uniform(0, 1) < 0.01 ? world_.uniform(0.05, 0.4) : 0);
  if (to == kStateAddress) delay += world_.state.answer_delay_s;
  if (reachable(from, to)) return delay;
  // Held back and delivered after the cut, or lost.
  if (world_.uniform(0, 1) > delayed_share) return std::nullopt;
  return delay + world_.uniform(5, 60);
}

bool Network::held_back(const std::string& from, const HttpCall& call, double delay) {
  if (!has_changes(call)) return false;
  const double late_commit_share = world_.options.late_commit_share;
  const bool late = delay_commits || (late_commit_share > 0 && world_.uniform(0, 1) < late_commit_share);
  if (!late) return false;
  world_.in(delay + world_.uniform(2, 12),
            [this, from, call] { deliver(from, call, [](const HttpReply&) {}); });
  return true;
}

void Network::maybe_copy(const std::string& from, const HttpCall& call, double delay,
                         const std::shared_ptr<bool>& delivered) {
  const double share = copied_share(from, call, world_.options);
  if (share <= 0 || world_.uniform(0, 1) >= share) return;
  world_.in(delay + world_.uniform(1, world_.options.max_copy_delay_s), [this, from, call, delivered] {
    HttpCall copy = call;
    // (Nobody can tell one for a copy that overtakes the message itself, held back at a cut, or whose
    // message was turned away where it came to: for the owner of the shard it is the first.)
    if (*delivered) copy.path += kCopyMark;
    deliver(from, copy, [](const HttpReply&) {});
  });
}

// ---------------------------------------------------------------- where it arrives

void Network::deliver(const std::string& from, const HttpCall& sent, const Reply& reply) {
  HttpCall call = sent;
  const bool copy = call.path.ends_with(kCopyMark);
  if (copy) call.path.resize(call.path.size() - std::string(kCopyMark).size());
  const auto answer = [reply](int status, const Json& body) { reply({status, body.dump()}); };
  if (call.destination == kStateAddress) return deliver_to_state(from, call, answer);
  if (call.destination == kCloudAddress) return world_.cloud.handle(call.path, call.body, answer);
  const auto node = node_at(call.destination, world_.options.nodes);
  if (node) {
    if (send_to_external_node) return send_to_external_node(call, reply);
    return deliver_to_node({from, node->index, node->client_address, copy, call}, reply);
  }
  const auto machine = world_.workers_by_address.find(call.destination);
  if (machine != world_.workers_by_address.end()) {
    note_size("command", call.body.size(), kBody);
    if (!machine->second->dead) machine->second->handle(call.path, call.body, answer);
    return;
  }
  if (on_unknown_destination) on_unknown_destination(call);
}

void Network::deliver_to_state(const std::string& from, const HttpCall& call, const JsonReply& answer) {
  const auto nobody = [](int, const Json&) {};
  note_size("state request", call.body.size(), kBody);
  if (nodes_refused_by_state.count(from) > 0) return answer(503, {{"error", "trouble"}});
  if (is_commit(call) && commit_answers_to_drop > 0) {
    commit_answers_to_drop--;
    return world_.state.handle(call.method, call.path, call.body, nobody);
  }
  if (is_commit(call) && should_lose_commit && should_lose_commit(from, parse_json(call.body))) return;
  if (nodes_without_state_answers.count(from) > 0) {
    return world_.state.handle(call.method, call.path, call.body, nobody);
  }
  if (is_commit(call) && (on_commit || commit_answer_delay_s)) return deliver_commit(from, call, answer);
  if (call.path.rfind("/changes", 0) == 0) return deliver_watch(from, call, answer);
  world_.state.handle(call.method, call.path, call.body, answer);
}

void Network::deliver_commit(const std::string& from, const HttpCall& call, const JsonReply& answer) {
  world_.state.handle(
      call.method, call.path, call.body, [this, from, call, answer](int status, const Json& body) {
        const Json transaction = parse_json(call.body);
        if (status == 200 && on_commit) on_commit(from, transaction);
        const double later = commit_answer_delay_s ? commit_answer_delay_s(from, transaction) : 0;
        if (later < 0) return;
        world_.in(later, [answer, status, body] { answer(status, body); });
      });
}

void Network::deliver_watch(const std::string& from, const HttpCall& call, const JsonReply& answer) {
  world_.state.handle(call.method, call.path, call.body, [this, from, answer](int status, const Json& body) {
    if (nodes_without_state_answers.count(from) > 0) return;
    const double later = max_watch_delay_s > 0 ? world_.uniform(0, max_watch_delay_s) : 0;
    world_.in(later, [this, from, answer, status, body] {
      answer_unrefused(from, [answer, status, body] { answer(status, body); });
    });
  });
}

// Open watches of a node that the state service refuses wait, as in an outage.
void Network::answer_unrefused(const std::string& node, std::function<void()> answer) {
  constexpr double kRetry = 0.2;  // seconds
  if (nodes_refused_by_state.count(node) == 0) return answer();
  world_.in(kRetry, [this, node, answer = std::move(answer)]() mutable {
    answer_unrefused(node, std::move(answer));
  });
}

void Network::deliver_to_node(const NodeCall& message, const Reply& reply) {
  recovery::Controller* node = world_.nodes[static_cast<std::size_t>(message.node)].node.get();
  if (node == nullptr) return;  // refused: the same as silence here
  const HttpCall& call = message.call;
  const bool client = message.client_address;
  // What the node's listener would refuse.
  const bool peer = call.path.rfind("/peer/", 0) == 0;
  note_size(client ? "request"
            : peer ? call.path
                   : "forwarded",
            call.body.size(), client ? Node::kMaxClientBody : Node::kMaxPeerBody);
  const HttpRequest request{call.method, call.path, call.body};
  const Responder responder([this, reply, message](const HttpAnswer& out) {
    if (message.client_address) note_size("answer", out.body.size(), kBody);
    world_.rules.check_node_answer(message.from, node_name(message.node), message.call, out, message.copy);
    if (!message.client_address && on_peer_message) on_peer_message(message.call, out);
    reply({out.status, out.body});
  });
  world_.nodes.run_or_defer(message.node, [node, client, request, responder] {
    if (client) {
      node->on_client_request(request, responder);
    } else {
      node->on_peer_request(request, responder);
    }
  });
}

void Network::note_size(const std::string& kind, std::size_t bytes, std::size_t limit) {
  message_counts[kind]++;
  std::size_t& most = largest_bytes[kind];
  most = std::max(most, bytes);
  if (bytes > limit)
    world_.report_violation("too large: " + kind + " of " + std::to_string(bytes) + " bytes");
}

}  // namespace mothslip::sim
