// Requests the evidence of all other controllers, chunk by chunk, and merges the replies. A request that
// fails is repeated until the caller's timeout has expired.
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
    std::vector<std::string> unresponsive;  // controllers that did not reply in time
    std::vector<double> uptimes_s;          // process uptimes of the controllers that replied
  };
  using Handler = std::function<void(Result)>;
  // `incarnation`: the number of the incarnation that the rebuild writes.
  EvidenceCollector(Env& env, const Settings& settings, int incarnation)
      : env_(env), settings_(settings), incarnation_(incarnation) {}

  // Calls the handler once all controllers have replied in full, or after `timeout_s` plus at most the
  // timeout of one call. Never calls the handler from within this function. Must not be called again before
  // the handler has been called.
  void collect(double timeout_s, Handler handler);

 private:
  void request_chunk(const Member& member, std::size_t chunk);
  void on_reply(const Member& member, std::size_t chunk, const HttpReply& reply);
  void finish_if_complete();

  Env& env_;
  const Settings& settings_;
  int incarnation_;
  double deadline_ = 0;
  std::size_t pending_count_ = 0;  // controllers whose evidence is incomplete
  Result result_;
  Handler handler_;
};

}  // namespace mothslip::recovery
