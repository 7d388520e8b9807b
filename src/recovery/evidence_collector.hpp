// Asks all other controllers for what they know, chunk by chunk, and merges the answers. A controller that
// does not answer is asked again until the patience of the caller is over.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "protocol/settings.hpp"
#include "recovery/messages.hpp"
#include "transport/env.hpp"

namespace mothslip::recovery {

class EvidenceCollector {
 public:
  struct Result {
    Evidence evidence;
    std::vector<std::string> unresponsive;  // controllers that have not answered in time
    std::vector<double> uptimes_s;          // of the processes that have
  };
  using Handler = std::function<void(Result)>;
  // `begun`: the incarnation that is being rebuilt.
  EvidenceCollector(Env& env, const Settings& settings, int incarnation)
      : env_(env), settings_(settings), incarnation_(incarnation) {}

  // Ends when all have answered in full, or after `patience_s` (and at most one call's timeout): then the
  // handler is called, never from within this call. Not to be called again before.
  void collect(double timeout_s, Handler handler);

 private:
  void request_chunk(const Member& member, std::size_t chunk);
  void on_reply(const Member& member, std::size_t chunk, const HttpReply& reply);
  void finish_if_complete();

  Env& env_;
  const Settings& settings_;
  int incarnation_;
  double deadline_ = 0;
  std::size_t pending_count_ = 0;  // controllers that are still to be heard
  Result result_;
  Handler handler_;
};

}  // namespace mothslip::recovery
