// Incoming HTTP requests as handlers receive them, and the object that answers each of them once.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace mothslip {

// An incoming request.
struct HttpRequest {
  std::string method;
  std::string path;  // without the query
  std::string body;
  std::string query = {};  // the part after the question mark, not decoded
};

// The answer to an incoming request.
struct HttpAnswer {
  int status = 200;
  std::string body = "{}";  // JSON
  int retry_after_s = 0;    // value of the Retry-After header; 0: no such header
};

// Answers one request once; a second answer is ignored. Copies share the request. If the last copy is
// destroyed before an answer was sent, it answers 503, so that a code path that sends no answer does not
// leave the caller waiting.
class Responder {
 public:
  // The function that sends the answer. It is called exactly once.
  using Sink = std::function<void(const HttpAnswer&)>;
  Responder() = default;  // belongs to no request: answers are ignored
  explicit Responder(Sink sink) : state_(std::make_shared<State>(std::move(sink))) {}

  void send(const HttpAnswer& answer) const {
    if (state_) state_->send(answer);
  }
  void send(int status, std::string body, int retry_after_s = 0) const {
    send(HttpAnswer{status, std::move(body), retry_after_s});
  }
  // Also returns true if there is no request.
  [[nodiscard]] bool answered() const { return !state_ || !state_->sink; }

 private:
  struct State {
    explicit State(Sink s) : sink(std::move(s)) {}
    State(const State&) = delete;
    State& operator=(const State&) = delete;
    ~State() { send(HttpAnswer{503, R"({"error":"dropped"})", 1}); }
    void send(const HttpAnswer& answer) {
      if (!sink) return;
      Sink current_sink;
      current_sink.swap(sink);
      current_sink(answer);
    }
    Sink sink;
  };
  std::shared_ptr<State> state_;
};

// Handles an incoming request, and answers it immediately or later.
using HttpHandler = std::function<void(HttpRequest, Responder)>;

}  // namespace mothslip
