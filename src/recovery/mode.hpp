// Interface of the modes of a controller: starting up, serving, or suspended while records are rebuilt. A
// mode object holds the state of its mode and is destroyed with it; Controller switches between the modes.
#pragma once

#include "transport/http.hpp"

namespace mothslip::recovery {

class Mode {
 public:
  Mode() = default;
  Mode(const Mode&) = delete;
  Mode& operator=(const Mode&) = delete;
  virtual ~Mode() = default;

  // Handles a request that arrived at the address for users and workers.
  virtual void on_client_request(const HttpRequest& request, const Responder& responder) = 0;
  // Handles a request that arrived at the address for other controllers and operators. Requests for evidence
  // and for the status do not arrive here, because Controller answers them in every mode.
  virtual void on_peer_request(const HttpRequest& request, const Responder& responder) = 0;
};

}  // namespace mothslip::recovery
