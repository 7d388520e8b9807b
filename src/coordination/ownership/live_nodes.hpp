// The nodes that live: those whose announcement the state service holds (owner_records.hpp).
#pragma once

#include <map>
#include <string>

#include "coordination/ownership/owner_records.hpp"

namespace mothslip {

class LiveNodes {
 public:
  // Forgets all: they are about to be listed anew.
  void clear() { nodes_.clear(); }
  // An announcement was written at `now` (steady clock, seconds): there is a new process of the node.
  void on_announced(const std::string& node, const NodeAnnouncement& announcement, double now) {
    nodes_[node] = {now, announcement.supports_gangs};
  }
  void on_gone(const std::string& node) { nodes_.erase(node); }

  // The node has been there for at least so many seconds.
  [[nodiscard]] bool is_alive_for(const std::string& node, double min_uptime_s, double now) const;
  // A node that lives has said nothing of gangs: it is of an earlier version.
  [[nodiscard]] bool has_live_node_without_gangs() const;

 private:
  struct LiveNode {
    double announced_at = 0;
    bool supports_gangs = false;
  };
  std::map<std::string, LiveNode> nodes_;
};

}  // namespace mothslip
