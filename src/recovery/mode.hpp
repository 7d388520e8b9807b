// What a controller is at one time: starting up, serving, or suspended while records are rebuilt. Each mode
// has its own state and goes with it; Controller changes from one to the next.
#pragma once

#include "transport/http.hpp"

namespace mothslip::recovery {

class Mode {
 public:
  Mode() = default;
  Mode(const Mode&) = delete;
  Mode& operator=(const Mode&) = delete;
  virtual ~Mode() = default;

  // A request at the address for users and workers.
  virtual void on_client_request(const HttpRequest& request, const Responder& responder) = 0;
  // A request at the address for other controllers and operators, other than those about the recovery itself
  // that Controller answers in every mode.
  virtual void on_peer_request(const HttpRequest& request, const Responder& responder) = 0;
};

}  // namespace mothslip::recovery
