// Env on libevent: one thread, epoll, evhttp clients with numeric IPv4 addresses.
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
  EventEnv();
  ~EventEnv() override;
  EventEnv(const EventEnv&) = delete;
  EventEnv& operator=(const EventEnv&) = delete;

  [[nodiscard]] event_base* base() const { return base_; }
  void run();
  // Ends run() once what is being handled has been.
  void stop();

  [[nodiscard]] double now() const override;
  [[nodiscard]] double wall() const override;
  std::uint64_t random() override { return rng_(); }
  TimerId after(double delay_s, std::function<void()> action) override;
  void cancel(TimerId timer) override;
  void call(HttpCall request, ReplyHandler handler) override;

 private:
  struct Timer;
  struct Pool;
  struct Exchange;
  struct Wire;
  static void on_timer(evutil_socket_t, short, void* arg);
  static void on_reply(evhttp_request* request, void* arg);
  void start(Pool& pool, const std::shared_ptr<Exchange>& exchange);
  void send_queued(Pool& pool);
  void finish(const std::shared_ptr<Exchange>& exchange, HttpReply reply, bool reusable);

  event_base* base_ = nullptr;
  std::mt19937_64 rng_;
  TimerId next_timer_ = 1;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> timers_;
  std::map<std::string, std::unique_ptr<Pool>> pools_;
};

}  // namespace mothslip
