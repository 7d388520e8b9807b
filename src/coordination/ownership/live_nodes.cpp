#include "coordination/ownership/live_nodes.hpp"

#include <algorithm>

namespace mothslip {

bool LiveNodes::is_alive_for(const std::string& node, double min_uptime_s, double now) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && now - found->second.announced_at >= min_uptime_s;
}

bool LiveNodes::has_live_node_without_gangs() const {
  return std::any_of(nodes_.begin(), nodes_.end(),
                     [](const auto& item) { return !item.second.supports_gangs; });
}

}  // namespace mothslip
