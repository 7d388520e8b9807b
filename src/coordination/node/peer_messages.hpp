// Messages between controllers that concern a whole node or that carry a request to the leader of one shard.
// The bodies of requests to leaders are defined by the modules that send them (coordination/shard and
// coordination/fleet).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"

namespace mothslip {

// Paths that controllers call at the peer address, all with POST.
namespace peer_paths {
inline constexpr const char* kPrefix = "/peer/";              // other paths carry a PeerRequest to a leader
inline constexpr const char* kHeartbeat = "/peer/beat";       // body: PeerHeartbeat
inline constexpr const char* kRelayedReport = "/peer/hello";  // body: the report of a worker, unchanged
// Body: PeerRequest with a ShardSummary, to the fleet.
inline constexpr const char* kSummary = "/peer/summary";
}  // namespace peer_paths

// Returns the path of a user's request that is forwarded to another controller. Its query contains the newest
// revision of the state service that the sender knows, so that what the other controller reads for the answer
// is compared with it. A revision of 0 is not known, and is not sent.
[[nodiscard]] std::string forwarded_path(const std::string& path, std::uint64_t newest_revision);
// Returns the revision in the query of a forwarded request; 0 if it has none.
[[nodiscard]] std::uint64_t forwarded_revision(const std::string& query);

// A shard that the sender of a heartbeat owns.
struct OwnedShard {
  int shard = -1;
  std::uint64_t fencing_token = 0;
};

// The message that each owner of shards sends to all other controllers at regular intervals.
struct PeerHeartbeat {
  std::string node;
  std::vector<OwnedShard> owned;
  // The newest revision of the state service that the sender knows. Sent only if the sender monitors for lost
  // state.
  std::optional<std::uint64_t> revision;

  [[nodiscard]] Json to_json() const;
  // Returns nothing if the body has no list of owned shards. Other fields that are missing keep their
  // defaults.
  static std::optional<PeerHeartbeat> from_json(const Json& body);
};

struct PeerHeartbeatReply {
  // The time since the answering controller last received an answer from the state service
  // (StateClient::silent_s).
  double silent_s = 0;

  [[nodiscard]] Json to_json() const;
  static std::optional<PeerHeartbeatReply> from_json(const Json& body);
};

// The envelope of a request to the leader of a shard or, for kSummary, to the fleet.
struct PeerRequest {
  int shard = -1;
  Json body;

  [[nodiscard]] Json to_json() const;
  // Returns nothing if the message has no body.
  static std::optional<PeerRequest> from_json(const Json& message);
};

}  // namespace mothslip
