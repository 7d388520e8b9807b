#include "recovery/serving_mode.hpp"

#include <algorithm>
#include <utility>

#include "recovery/doubt.hpp"
#include "recovery/operator_messages.hpp"

namespace mothslip::recovery {

// The node may call the detector at any point and must not be destroyed during that call. Therefore `on_loss`
// is called from a timer, which is dropped if this object has been destroyed.
ServingMode::ServingMode(Env& env, const Settings& settings, const Options& options, LossHandler on_loss)
    : detector_(std::max(options.newest_revision, options.incarnation.token_offset),
                [this, on_loss = std::move(on_loss)](const std::string& reason) {
                  env_.after(0, [on_loss, reason] { on_loss(reason); });
                }),
      env_(env),
      node_(env_, settings, options.capabilities, options.incarnation, &detector_),
      unaccounted_(env_, settings, options.incarnation, detector_, node_) {
  for (const auto& [ref, status] : options.terminals) node_.cache_terminal(ref, status);
  const double suspension_s = decision_suspension_s(settings, options.stale_risk_s);
  if (suspension_s > 0) node_.suspend_decisions(suspension_s);
}

void ServingMode::on_client_request(const HttpRequest& request, const Responder& responder) {
  node_.on_client_request(request, responder);
}

void ServingMode::on_peer_request(const HttpRequest& request, const Responder& responder) {
  if (request.path == kUnaccountedPath) return unaccounted_.list(responder);
  if (request.path == kResolvePath) return unaccounted_.resolve(request.body, responder);
  node_.on_peer_request(request, responder);
}

}  // namespace mothslip::recovery
