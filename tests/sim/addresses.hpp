// Names and addresses in the simulated cluster.
#pragma once

#include <optional>
#include <string>

namespace mothslip::sim {

inline constexpr const char* kStateAddress = "10.2.0.1:2379";
inline constexpr const char* kCloudAddress = "10.2.0.2:8443";
// Prefix of every controller's name. No other participant's name starts with it.
inline constexpr const char* kNodeNamePrefix = "roost";

inline std::string node_name(int index) { return "roost-" + std::to_string(index); }

// The index of the node with this name. It is a single digit because there are at most ten nodes.
inline int node_index(const std::string& name) { return name.back() - '0'; }

// The address at which a node serves users and workers.
inline std::string client_address_of(int node) { return "10.0.0." + std::to_string(node + 1) + ":8080"; }

// The address at which a node serves other nodes and operators.
inline std::string peer_address_of(int node) { return "10.0.0." + std::to_string(node + 1) + ":8081"; }

// The node that an address belongs to, and which of its two addresses it is.
struct NodeAddress {
  int index;
  // False for the address that serves other nodes and operators.
  bool is_client_address;
};

// Finds the node with this address among the first `nodes` nodes. Returns nothing if no node has it.
inline std::optional<NodeAddress> node_at(const std::string& address, int nodes) {
  for (int i = 0; i < nodes; i++) {
    if (address == client_address_of(i)) return NodeAddress{i, true};
    if (address == peer_address_of(i)) return NodeAddress{i, false};
  }
  return std::nullopt;
}

}  // namespace mothslip::sim
