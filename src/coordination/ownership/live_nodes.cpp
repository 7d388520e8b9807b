#include "coordination/ownership/live_nodes.hpp"

#include <algorithm>

namespace mothslip {

bool LiveNodes::alive_for(const std::string& node, double seconds, double now) const {
  const auto found = nodes_.find(node);
  return found != nodes_.end() && now - found->second.since >= seconds;
}

bool LiveNodes::earlier_version_alive() const {
  return std::any_of(nodes_.begin(), nodes_.end(), [](const auto& item) { return !item.second.gangs; });
}

}  // namespace mothslip
