// Messages between controllers that concern a whole node or carry a request to one shard's leader. The bodies
// of requests to leaders are defined by those who send them (coordination/shard, coordination/fleet).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

// Paths of the peer address. All of them are POST.
namespace peer_paths {
inline constexpr const char* kPrefix = "/peer/";  // of everything else: a PeerRequest to a shard's leader
inline constexpr const char* kHeartbeat = "/peer/beat";       // PeerHeartbeat
inline constexpr const char* kRelayedReport = "/peer/hello";  // a worker's report, as the worker sent it
inline constexpr const char* kSummary = "/peer/summary";      // PeerRequest with a ShardSummary, to the fleet
}  // namespace peer_paths

// A shard that the sender of a heartbeat owns.
struct OwnedShard {
  int shard = -1;
  std::uint64_t fencing_token = 0;
};

// What an owner of shards tells every other controller at regular intervals.
struct PeerHeartbeat {
  std::string node;
  std::vector<OwnedShard> owned;
  // The newest revision of the state service that the sender knows of; only where lost state is watched for.
  std::optional<std::uint64_t> revision;

  [[nodiscard]] Json to_json() const;
  // Nothing where the body has no list of owned shards. Other fields that are missing keep their defaults.
  static std::optional<PeerHeartbeat> from_json(const Json& body);
};

struct PeerHeartbeatReply {
  // Seconds since the answering controller last heard anything from the state service
  // (StateClient::silent_s).
  double silent_s = 0;

  [[nodiscard]] Json to_json() const;
  static std::optional<PeerHeartbeatReply> from_json(const Json& body);
};

// The envelope of a request to the leader of a shard (or, for kSummary, to the fleet).
struct PeerRequest {
  int shard = -1;
  Json body;

  [[nodiscard]] Json to_json() const;
  // Nothing where there is no body.
  static std::optional<PeerRequest> from_json(const Json& message);
};

}  // namespace mothslip
