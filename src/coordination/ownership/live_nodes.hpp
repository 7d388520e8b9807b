// The live nodes: those whose announcement is present in the state service (owner_records.hpp).
#pragma once

#include <map>
#include <string>

#include "coordination/ownership/owner_records.hpp"

namespace mothslip {

class LiveNodes {
 public:
  // Removes all nodes. The caller then adds those of a new listing.
  void clear() { nodes_.clear(); }
  // Records that a new process of the node wrote its announcement at `now` (steady clock, seconds).
  void on_announced(const std::string& node, const NodeAnnouncement& announcement, double now) {
    nodes_[node] = {now, announcement.supports_gangs};
  }
  // Removes a node whose announcement was deleted.
  void on_gone(const std::string& node) { nodes_.erase(node); }

  // Returns true if the node has been live for at least `min_uptime_s`.
  [[nodiscard]] bool is_alive_for(const std::string& node, double min_uptime_s, double now) const;
  // Returns true if a live node does not announce support for gangs because it runs an earlier version.
  [[nodiscard]] bool has_live_node_without_gangs() const;

 private:
  struct LiveNode {
    double announced_at = 0;
    bool supports_gangs = false;
  };
  std::map<std::string, LiveNode> nodes_;
};

}  // namespace mothslip
