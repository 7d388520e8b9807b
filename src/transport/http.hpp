// A request as the service's handlers see it, and the one-shot way to answer it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace mothslip {

struct HttpRequest {
  std::string method;
  std::string path;  // without the query
  std::string body;
  std::string query = {};  // what follows the question mark
};

struct HttpAnswer {
  int status = 200;
  std::string body = "{}";
  int retry_after_s = 0;  // 0: no such header
};

// Answers once; a second answer is ignored. A responder that is dropped unanswered says 503, so that no
// caller is ever left waiting by a forgotten code path.
class Responder {
 public:
  using Sink = std::function<void(const HttpAnswer&)>;
  Responder() = default;
  explicit Responder(Sink sink) : state_(std::make_shared<State>(std::move(sink))) {}

  void send(const HttpAnswer& answer) const {
    if (state_) state_->send(answer);
  }
  void send(int status, std::string body, int retry_after_s = 0) const {
    send(HttpAnswer{status, std::move(body), retry_after_s});
  }
  [[nodiscard]] bool answered() const { return !state_ || !state_->sink; }

 private:
  struct State {
    explicit State(Sink s) : sink(std::move(s)) {}
    State(const State&) = delete;
    State& operator=(const State&) = delete;
    ~State() { send(HttpAnswer{503, R"({"error":"dropped"})", 1}); }
    void send(const HttpAnswer& answer) {
      if (!sink) return;
      Sink once;
      once.swap(sink);
      once(answer);
    }
    Sink sink;
  };
  std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(HttpRequest, Responder)>;

}  // namespace mothslip
