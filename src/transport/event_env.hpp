// An implementation of Env on libevent: one thread, epoll, and evhttp clients with a connection pool for each
// destination.
#pragma once

#include <event2/event.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/env.hpp"

struct evhttp_connection;
struct evhttp_request;

namespace mothslip {

class EventEnv final : public Env {
 public:
  // Throws std::runtime_error if the event loop cannot be created.
  EventEnv();
  ~EventEnv() override;
  EventEnv(const EventEnv&) = delete;
  EventEnv& operator=(const EventEnv&) = delete;

  // Returns the event loop, for listeners that share it (HttpServer).
  [[nodiscard]] event_base* base() const { return base_; }
  // Runs the loop until `stop` is called.
  void run();
  // Makes `run` return after the event that is being handled.
  void stop();

  [[nodiscard]] double now() const override;
  [[nodiscard]] double wall_time() const override;
  std::uint64_t random() override { return rng_(); }
  TimerId after(double delay_s, std::function<void()> action) override;
  void cancel(TimerId timer) override;
  void call(HttpCall request, ReplyHandler handler) override;

 private:
  struct Timer;
  struct Pool;        // the connections to one destination, and the calls that wait for a connection
  struct Exchange;    // one call, until its reply is delivered
  struct Connection;  // owns an evhttp connection
  static void on_timer(evutil_socket_t, short, void* arg);
  static void on_reply(evhttp_request* request, void* arg);
  void start(Pool& pool, const std::shared_ptr<Exchange>& exchange);
  void send_queued(Pool& pool);
  // Delivers the reply, unless one has already been delivered. `reusable`: the connection may serve another
  // call.
  void finish(const std::shared_ptr<Exchange>& exchange, HttpReply reply, bool reusable);

  event_base* base_ = nullptr;
  std::mt19937_64 rng_;
  TimerId next_timer_ = 1;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> timers_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;  // by destination
};

}  // namespace mothslip
