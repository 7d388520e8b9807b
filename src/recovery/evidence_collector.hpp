// Asks all other controllers for what they know, chunk by chunk.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "protocol/settings.hpp"
#include "recovery/evidence.hpp"
#include "transport/env.hpp"

namespace mothslip::recovery {

inline const std::string kEvidencePath = "/recovery/evidence";

// The question: one chunk of what the asked controller knows. Asked for a rebuilding that it has not heard
// of, it stops serving before it answers, so that what it says stays true.
struct EvidenceRequest {
  int begun = 0;  // the incarnation that is being rebuilt
  std::size_t chunk = 0;
  [[nodiscard]] Json to_json() const;
  static std::optional<EvidenceRequest> from_json(const Json& value);
};

struct EvidenceReply {
  std::size_t chunk_count = 0;
  double uptime_s = 0;  // of the process
  Evidence evidence;
  [[nodiscard]] Json to_json() const;
  static std::optional<EvidenceReply> from_json(const Json& value);
};

class EvidenceCollector {
 public:
  struct Result {
    Evidence evidence;
    std::vector<std::string> missing;  // controllers that have not answered in time
    std::vector<double> uptimes_s;     // of the processes that have
  };
  using Handler = std::function<void(Result)>;
  EvidenceCollector(Env& env, const Settings& settings, int begun)
      : env_(env), settings_(settings), begun_(begun) {}

  // Ends when all have answered, or after `patience_s`. Not to be called again before.
  void collect(double patience_s, Handler handler);

 private:
  void ask(const Member& member, std::size_t chunk);
  void on_reply(const Member& member, std::size_t chunk, const HttpReply& reply);
  void finish_if_complete();

  Env& env_;
  const Settings& settings_;
  int begun_;
  double give_up_at_ = 0;
  std::size_t awaited_ = 0;
  Result result_;
  Handler handler_;
};

}  // namespace mothslip::recovery
