#include "sim/network.hpp"

#include <algorithm>

#include "sim/addresses.hpp"
#include "sim/world.hpp"

namespace mothslip::sim {

namespace {
// Limit for a request, a transaction and one line of an answer.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
// Marks a duplicate in transit, at the end of its path.
const char* const kDuplicateSuffix = "#copy";

bool is_commit(const HttpCall& call) { return call.path == "/commit"; }

bool has_changes(const HttpCall& call) {
  return is_commit(call) && call.body.find("\"then\":[]") == std::string::npos;
}

// Returns the share of messages of this kind that are duplicated.
double duplicate_share(const std::string& from, const HttpCall& call, const Options& options) {
  if (is_commit(call)) return options.commit_duplicate_share;
  const bool is_duplicated_kind =
      call.path == "/hello" || call.path == "/v2/runs" || call.path.ends_with("/cancel");
  return is_duplicated_kind && from.rfind(kNodeNamePrefix, 0) != 0 ? options.message_duplicate_share : 0;
}
}  // namespace

// ---------------------------------------------------------------- partitions

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

bool Network::is_reachable(const std::string& a, const std::string& b) const {
  if (nodes_without_workers.count(a) > 0 && world_.workers.count(b) > 0) return false;
  if (nodes_without_workers.count(b) > 0 && world_.workers.count(a) > 0) return false;
  return partitions.count({a, b}) == 0 && partitions.count({b, a}) == 0;
}

// ---------------------------------------------------------------- transit

void Network::send(const std::string& from, const HttpCall& call, Reply reply) {
  auto is_finished = std::make_shared<bool>(false);
  const auto finish = [is_finished, reply = std::move(reply)](HttpReply answer) {
    if (*is_finished) return;
    *is_finished = true;
    reply(std::move(answer));
  };
  world_.in(call.timeout_s, [finish] { finish({}); });
  const double loss_share = world_.options.message_loss_share;
  if (world_.uniform(0, 1) < loss_share) return;  // the request is lost
  const auto delay_s = draw_delay_s(from, call);
  if (!delay_s || schedule_late_commit(from, call, *delay_s)) return;
  const auto delivered = std::make_shared<bool>(false);
  maybe_duplicate(from, call, *delay_s, delivered);
  world_.in(*delay_s, [this, from, call, finish, delivered] {
    *delivered = world_.nodes.is_up(call.destination);
    deliver(from, call, [this, finish, delivered](const HttpReply& answer) {
      *delivered = answer.status != 421 && answer.status != 503;
      if (world_.uniform(0, 1) < world_.options.message_loss_share)
        return;  // the request was processed, but the answer is lost
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

std::optional<double> Network::draw_delay_s(const std::string& from, const HttpCall& call) {
  const std::string to = name_at(call.destination);
  double delay_s =
      world_.uniform(0.001, 0.006) + (world_.uniform(0, 1) < 0.01 ? world_.uniform(0.05, 0.4) : 0);
  if (to == kStateAddress) delay_s += world_.state.answer_delay_s;
  if (is_reachable(from, to)) return delay_s;
  // The message is either delivered long after it was sent, or lost.
  if (world_.uniform(0, 1) > delayed_share) return std::nullopt;
  return delay_s + world_.uniform(5, 60);
}

bool Network::schedule_late_commit(const std::string& from, const HttpCall& call, double delay_s) {
  if (!has_changes(call)) return false;
  const double late_commit_share = world_.options.late_commit_share;
  const bool is_late = delay_commits || (late_commit_share > 0 && world_.uniform(0, 1) < late_commit_share);
  if (!is_late) return false;
  world_.in(delay_s + world_.uniform(2, 12),
            [this, from, call] { deliver(from, call, [](const HttpReply&) {}); });
  return true;
}

void Network::maybe_duplicate(const std::string& from, const HttpCall& call, double delay_s,
                              const std::shared_ptr<bool>& delivered) {
  const double share = duplicate_share(from, call, world_.options);
  if (share <= 0 || world_.uniform(0, 1) >= share) return;
  world_.in(delay_s + world_.uniform(1, world_.options.max_duplicate_delay_s), [this, from, call, delivered] {
    HttpCall duplicate = call;
    // A duplicate is not marked if it overtakes the message itself, which a partition delays, or if the
    // receiver rejected the message. The owner of the shard cannot distinguish such a duplicate from a first
    // message.
    if (*delivered) duplicate.path += kDuplicateSuffix;
    deliver(from, duplicate, [](const HttpReply&) {});
  });
}

// ---------------------------------------------------------------- delivery

void Network::deliver(const std::string& from, const HttpCall& sent, const Reply& reply) {
  HttpCall call = sent;
  const bool is_duplicate = call.path.ends_with(kDuplicateSuffix);
  if (is_duplicate) call.path.resize(call.path.size() - std::string(kDuplicateSuffix).size());
  const auto answer = [reply](int status, const Json& body) { reply({status, body.dump()}); };
  if (call.destination == kStateAddress) return deliver_to_state(from, call, answer);
  if (call.destination == kCloudAddress) return world_.cloud.handle(call.path, call.body, answer);
  const auto node = node_at(call.destination, world_.options.nodes);
  if (node) {
    if (send_to_external_node) return send_to_external_node(call, reply);
    return deliver_to_node({from, node->index, node->is_client_address, is_duplicate, call}, reply);
  }
  const auto machine = world_.workers_by_address.find(call.destination);
  if (machine != world_.workers_by_address.end()) {
    record_size("command", call.body.size(), kMaxBodyBytes);
    if (!machine->second->dead) machine->second->handle(call.path, call.body, answer);
    return;
  }
  if (on_unknown_destination) on_unknown_destination(call);
}

void Network::deliver_to_state(const std::string& from, const HttpCall& call, const JsonReply& answer) {
  const auto ignore_answer = [](int, const Json&) {};
  record_size("state request", call.body.size(), kMaxBodyBytes);
  if (nodes_refused_by_state.count(from) > 0) return answer(503, {{"error", "trouble"}});
  if (is_commit(call) && commit_answers_to_drop > 0) {
    commit_answers_to_drop--;
    return world_.state.handle(call.method, call.path, call.body, ignore_answer);
  }
  if (is_commit(call) && should_lose_commit && should_lose_commit(from, parse_json(call.body))) return;
  if (nodes_without_state_answers.count(from) > 0) {
    return world_.state.handle(call.method, call.path, call.body, ignore_answer);
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
        const double extra_delay_s = commit_answer_delay_s ? commit_answer_delay_s(from, transaction) : 0;
        if (extra_delay_s < 0) return;
        world_.in(extra_delay_s, [answer, status, body] { answer(status, body); });
      });
}

void Network::deliver_watch(const std::string& from, const HttpCall& call, const JsonReply& answer) {
  world_.state.handle(call.method, call.path, call.body, [this, from, answer](int status, const Json& body) {
    if (nodes_without_state_answers.count(from) > 0) return;
    const double extra_delay_s = max_watch_delay_s > 0 ? world_.uniform(0, max_watch_delay_s) : 0;
    world_.in(extra_delay_s, [this, from, answer, status, body] {
      answer_unless_refused(from, [answer, status, body] { answer(status, body); });
    });
  });
}

// The watches of a node that the state service refuses stay open without an answer, as in an outage.
void Network::answer_unless_refused(const std::string& node, std::function<void()> answer) {
  constexpr double kRetryDelaySeconds = 0.2;
  if (nodes_refused_by_state.count(node) == 0) return answer();
  world_.in(kRetryDelaySeconds, [this, node, answer = std::move(answer)]() mutable {
    answer_unless_refused(node, std::move(answer));
  });
}

void Network::deliver_to_node(const NodeCall& node_call, const Reply& reply) {
  recovery::Controller* node = world_.nodes[static_cast<std::size_t>(node_call.node)].node.get();
  if (node == nullptr) return;  // a refused connection has the same effect as no answer
  const HttpCall& call = node_call.call;
  const bool is_client = node_call.is_client_address;
  // Checks the size limits that the node's listener enforces.
  const bool is_peer = call.path.rfind("/peer/", 0) == 0;
  record_size(is_client ? "request"
              : is_peer ? call.path
                        : "forwarded",
              call.body.size(), is_client ? Node::kMaxClientBodyBytes : Node::kMaxPeerBodyBytes);
  const std::size_t path_size = std::min(call.path.find('?'), call.path.size());
  const std::string query = path_size < call.path.size() ? call.path.substr(path_size + 1) : "";
  const HttpRequest request{call.method, call.path.substr(0, path_size), call.body, query};
  const Responder responder([this, reply, node_call](const HttpAnswer& out) {
    if (node_call.is_client_address) record_size("answer", out.body.size(), kMaxBodyBytes);
    world_.rules.check_node_answer(node_call.from, node_name(node_call.node), node_call.call, out,
                                   node_call.is_duplicate);
    if (!node_call.is_client_address && on_peer_message) on_peer_message(node_call.call, out);
    reply({out.status, out.body});
  });
  world_.nodes.run_or_defer(node_call.node, [node, is_client, request, responder] {
    if (is_client) {
      node->on_client_request(request, responder);
    } else {
      node->on_peer_request(request, responder);
    }
  });
}

void Network::record_size(const std::string& kind, std::size_t bytes, std::size_t limit) {
  message_counts[kind]++;
  std::size_t& largest_seen_bytes = largest_bytes[kind];
  largest_seen_bytes = std::max(largest_seen_bytes, bytes);
  if (bytes > limit)
    world_.report_violation("too large: " + kind + " of " + std::to_string(bytes) + " bytes");
}

}  // namespace mothslip::sim
