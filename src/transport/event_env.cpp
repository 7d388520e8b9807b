#include "transport/event_env.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <stdexcept>

namespace mothslip {

namespace {
constexpr std::size_t kMaxConnectionsPerPeer = 24;
constexpr std::size_t kMaxQueuedPerPeer = 256;
constexpr std::size_t kMaxIdlePerPeer = 4;

timeval to_timeval(double seconds) {
  if (seconds < 0) seconds = 0;
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(seconds);
  tv.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(tv.tv_sec)) * 1e6);
  return tv;
}
}  // namespace

struct EventEnv::Timer {
  EventEnv* env;
  TimerId id;
  std::function<void()> action;
  event* ev = nullptr;
  ~Timer() {
    if (ev != nullptr) event_free(ev);
  }
};

struct EventEnv::Wire {
  evhttp_connection* connection = nullptr;
  ~Wire() {
    if (connection != nullptr) evhttp_connection_free(connection);
  }
};

struct EventEnv::Exchange {
  EventEnv* env = nullptr;
  Pool* pool = nullptr;
  HttpCall call;
  ReplyHandler handler;
  std::unique_ptr<Wire> wire;
  TimerId deadline = 0;
  bool over = false;
  std::shared_ptr<Exchange> self;  // held while libevent may call back
};

struct EventEnv::Pool {
  std::string host;
  std::uint16_t port = 0;
  std::size_t busy = 0;
  std::vector<std::unique_ptr<Wire>> idle;
  std::deque<std::shared_ptr<Exchange>> waiting;
};

EventEnv::EventEnv() : rng_(std::random_device{}()) {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  // Every answer turns write interest on and off again: gathered, most of these calls to the kernel cancel
  // out.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  if (base_ == nullptr) throw std::runtime_error("cannot create the event loop");
}

EventEnv::~EventEnv() {
  pools_.clear();
  timers_.clear();
  event_base_free(base_);
}

void EventEnv::run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventEnv::stop() { event_base_loopbreak(base_); }

double EventEnv::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double EventEnv::wall() const {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

TimerId EventEnv::after(double delay_s, std::function<void()> action) {
  const TimerId id = next_timer_++;
  auto timer = std::make_unique<Timer>();
  timer->env = this;
  timer->id = id;
  timer->action = std::move(action);
  timer->ev = evtimer_new(base_, &EventEnv::on_timer, timer.get());
  if (delay_s <= 0) {
    event_active(timer->ev, EV_TIMEOUT, 1);  // runs in this turn of the loop
  } else {
    const timeval tv = to_timeval(delay_s);
    evtimer_add(timer->ev, &tv);
  }
  timers_.emplace(id, std::move(timer));
  return id;
}

void EventEnv::cancel(TimerId timer) { timers_.erase(timer); }

void EventEnv::on_timer(evutil_socket_t, short, void* arg) {
  auto* timer = static_cast<Timer*>(arg);
  EventEnv* env = timer->env;
  auto it = env->timers_.find(timer->id);
  if (it == env->timers_.end()) return;
  const auto held = std::move(it->second);
  env->timers_.erase(it);
  held->action();
}

void EventEnv::call(HttpCall request, ReplyHandler handler) {
  auto& slot = pools_[request.destination];
  if (!slot) {
    slot = std::make_unique<Pool>();
    const auto colon = request.destination.rfind(':');
    slot->host = request.destination.substr(0, colon);
    slot->port =
        colon == std::string::npos
            ? 0
            : static_cast<std::uint16_t>(std::strtoul(request.destination.c_str() + colon + 1, nullptr, 10));
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->env = this;
  exchange->pool = slot.get();
  exchange->call = std::move(request);
  exchange->handler = std::move(handler);
  if (slot->waiting.size() >= kMaxQueuedPerPeer) {
    exchange->pool = nullptr;
    after(0, [this, exchange] { finish(exchange, {}, false); });
    return;
  }
  // The deadline covers the time in the queue too: a caller's patience starts when it asks.
  exchange->deadline = after(exchange->call.timeout_s, [this, exchange] {
    exchange->deadline = 0;
    finish(exchange, {}, false);
  });
  slot->waiting.push_back(std::move(exchange));
  send_queued(*slot);
}

void EventEnv::send_queued(Pool& pool) {
  while (!pool.waiting.empty() && pool.busy < kMaxConnectionsPerPeer) {
    auto exchange = pool.waiting.front();
    pool.waiting.pop_front();
    if (!exchange->over) start(pool, exchange);
  }
}

void EventEnv::start(Pool& pool, const std::shared_ptr<Exchange>& exchange) {
  if (!pool.idle.empty()) {
    exchange->wire = std::move(pool.idle.back());
    pool.idle.pop_back();
  } else {
    exchange->wire = std::make_unique<Wire>();
    exchange->wire->connection = evhttp_connection_base_new(base_, nullptr, pool.host.c_str(), pool.port);
    if (exchange->wire->connection != nullptr) {
      evhttp_connection_set_family(exchange->wire->connection, AF_INET);
      evhttp_connection_set_max_headers_size(exchange->wire->connection, std::int64_t{16} * 1024);
      evhttp_connection_set_max_body_size(exchange->wire->connection, std::int64_t{4} * 1024 * 1024);
      evhttp_connection_set_timeout(exchange->wire->connection, 90);
    }
  }
  pool.busy++;
  evhttp_connection* connection = exchange->wire->connection;
  evhttp_request* request =
      connection == nullptr ? nullptr : evhttp_request_new(&EventEnv::on_reply, exchange.get());
  if (request == nullptr) {
    after(0, [this, exchange] { finish(exchange, {}, false); });
    return;
  }
  exchange->self = exchange;
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", exchange->call.destination.c_str());
  evhttp_cmd_type command = EVHTTP_REQ_GET;
  if (exchange->call.method == "POST") command = EVHTTP_REQ_POST;
  if (exchange->call.method == "DELETE") command = EVHTTP_REQ_DELETE;
  if (!exchange->call.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), exchange->call.body.data(),
                 exchange->call.body.size());
  }
  if (evhttp_make_request(connection, request, command, exchange->call.path.c_str()) != 0) {
    // The request is freed by evhttp; no callback is promised.
    after(0, [this, exchange] { finish(exchange, {}, false); });
  }
}

void EventEnv::on_reply(evhttp_request* request, void* arg) {
  auto* raw = static_cast<Exchange*>(arg);
  if (raw->over) return;
  auto exchange = raw->self;
  HttpReply reply;
  bool reusable = false;
  if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
    reply.status = evhttp_request_get_response_code(request);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(input);
    reply.body.resize(size);
    if (size > 0) evbuffer_copyout(input, reply.body.data(), size);
    const char* how = evhttp_find_header(evhttp_request_get_input_headers(request), "Connection");
    reusable = how == nullptr || evutil_ascii_strcasecmp(how, "close") != 0;
  }
  // The connection must not be freed or reused from inside its own callback.
  EventEnv* env = raw->env;
  env->after(0, [env, exchange, reply = std::move(reply), reusable]() mutable {
    env->finish(exchange, std::move(reply), reusable);
  });
}

void EventEnv::finish(const std::shared_ptr<Exchange>& exchange, HttpReply reply, bool reusable) {
  if (exchange->over) return;
  exchange->over = true;
  if (exchange->deadline != 0) cancel(exchange->deadline);
  exchange->self.reset();
  auto handler = std::move(exchange->handler);
  if (Pool* pool = exchange->pool; pool != nullptr) {
    if (exchange->wire) {
      pool->busy--;
      reusable = reusable && exchange->call.keep_alive && pool->idle.size() < kMaxIdlePerPeer;
      if (reusable) pool->idle.push_back(std::move(exchange->wire));
      exchange->wire.reset();
    }
    send_queued(*pool);
    // Machines come and go by the thousand: nothing is kept of one that was called once.
    if (pool->busy == 0 && pool->idle.empty() && pool->waiting.empty())
      pools_.erase(exchange->call.destination);
  }
  handler(std::move(reply));
}

}  // namespace mothslip
