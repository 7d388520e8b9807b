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
constexpr std::size_t kMaxConnectionsPerDestination = 24;
// Calls that wait for a connection. Further calls fail immediately.
constexpr std::size_t kMaxQueuedCallsPerDestination = 256;
// Connections that are kept open for later calls.
constexpr std::size_t kMaxIdleConnectionsPerDestination = 4;

constexpr std::int64_t kMaxHeaderBytes = std::int64_t{16} * 1024;
constexpr std::int64_t kMaxBodyBytes = std::int64_t{4} * 1024 * 1024;
// libevent closes a connection that is inactive for this time.
constexpr int kIdleTimeoutSeconds = 90;

timeval to_timeval(double seconds) {
  if (seconds < 0) seconds = 0;
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(seconds);
  tv.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(tv.tv_sec)) * 1e6);
  return tv;
}

// Returns the port of "HOST:PORT", or 0 if there is none.
std::uint16_t port_of(const std::string& destination) {
  const auto colon = destination.rfind(':');
  if (colon == std::string::npos) return 0;
  return static_cast<std::uint16_t>(std::strtoul(destination.c_str() + colon + 1, nullptr, 10));
}

// Returns null if the connection object cannot be created. The TCP connection is opened by the first request.
evhttp_connection* open_connection(event_base* base, const std::string& host, std::uint16_t port) {
  evhttp_connection* connection = evhttp_connection_base_new(base, nullptr, host.c_str(), port);
  if (connection == nullptr) return nullptr;
  evhttp_connection_set_family(connection, AF_INET);
  evhttp_connection_set_max_headers_size(connection, kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(connection, kMaxBodyBytes);
  evhttp_connection_set_timeout(connection, kIdleTimeoutSeconds);
  return connection;
}

evhttp_cmd_type command_of(const HttpCall& call) {
  if (call.method == "POST") return EVHTTP_REQ_POST;
  if (call.method == "DELETE") return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

// Adds the headers and the body of `call` to `request`.
void write_request(const HttpCall& call, evhttp_request* request) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", call.destination.c_str());
  if (call.body.empty()) return;
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
}

// `request` is null if the connection failed; the reply then has status 0, which means no response.
HttpReply read_reply(evhttp_request* request) {
  HttpReply reply;
  if (request == nullptr) return reply;
  reply.status = evhttp_request_get_response_code(request);
  if (reply.status == 0) return reply;
  evbuffer* input = evhttp_request_get_input_buffer(request);
  reply.body.resize(evbuffer_get_length(input));
  if (!reply.body.empty()) evbuffer_copyout(input, reply.body.data(), reply.body.size());
  return reply;
}

// Returns true if the server keeps the connection open after the reply.
bool keeps_connection(evhttp_request* request) {
  const char* connection_header = evhttp_find_header(evhttp_request_get_input_headers(request), "Connection");
  return connection_header == nullptr || evutil_ascii_strcasecmp(connection_header, "close") != 0;
}
}  // namespace

struct EventEnv::Timer {
  EventEnv* env;
  TimerId id;
  std::function<void()> action;
  event* handle = nullptr;
  ~Timer() {
    if (handle != nullptr) event_free(handle);
  }
};

struct EventEnv::Connection {
  evhttp_connection* handle = nullptr;  // null: it could not be created
  ~Connection() {
    if (handle != nullptr) evhttp_connection_free(handle);
  }
};

struct EventEnv::Exchange {
  EventEnv* env = nullptr;
  Pool* pool = nullptr;  // null: the queue was full, so the call was not queued
  HttpCall call;
  ReplyHandler handler;
  std::unique_ptr<Connection> connection;    // set while the call is in progress
  TimerId deadline_timer = 0;                // 0: it has run, or none was set
  bool is_finished = false;                  // a reply has been delivered or is being delivered
  std::shared_ptr<Exchange> self_reference;  // keeps the exchange alive while libevent may call on_reply
};

struct EventEnv::Pool {
  std::string host;
  std::uint16_t port = 0;
  std::size_t busy_connections = 0;  // those with a call in progress
  std::vector<std::unique_ptr<Connection>> idle_connections;
  std::deque<std::shared_ptr<Exchange>> queued;
};

EventEnv::EventEnv() : rng_(std::random_device{}()) {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  // Each answer enables and disables the write event of its socket. With a changelist libevent batches these
  // changes, and most of them cancel each other out before they cost a system call.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  if (base_ == nullptr)
    throw std::runtime_error("libevent could not create the event loop; the process cannot run");
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

double EventEnv::wall_time() const {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

TimerId EventEnv::after(double delay_s, std::function<void()> action) {
  const TimerId id = next_timer_++;
  auto timer = std::make_unique<Timer>();
  timer->env = this;
  timer->id = id;
  timer->action = std::move(action);
  timer->handle = evtimer_new(base_, &EventEnv::on_timer, timer.get());
  if (delay_s <= 0) {
    event_active(timer->handle, EV_TIMEOUT, 1);  // runs in the current iteration of the loop
  } else {
    const timeval tv = to_timeval(delay_s);
    evtimer_add(timer->handle, &tv);
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
  const auto expired_timer = std::move(it->second);
  env->timers_.erase(it);
  expired_timer->action();
}

void EventEnv::call(HttpCall request, ReplyHandler handler) {
  auto& pool = pools_[request.destination];
  if (!pool) {
    pool = std::make_unique<Pool>();
    pool->host = request.destination.substr(0, request.destination.rfind(':'));
    pool->port = port_of(request.destination);
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->env = this;
  exchange->pool = pool.get();
  exchange->call = std::move(request);
  exchange->handler = std::move(handler);
  if (pool->queued.size() >= kMaxQueuedCallsPerDestination) {
    exchange->pool = nullptr;
    after(0, [this, exchange] { finish(exchange, {}, false); });
    return;
  }
  // The timeout includes the time in the queue, because the caller waits from the moment of the call.
  exchange->deadline_timer = after(exchange->call.timeout_s, [this, exchange] {
    exchange->deadline_timer = 0;
    finish(exchange, {}, false);
  });
  pool->queued.push_back(std::move(exchange));
  send_queued(*pool);
}

void EventEnv::send_queued(Pool& pool) {
  while (!pool.queued.empty() && pool.busy_connections < kMaxConnectionsPerDestination) {
    auto exchange = pool.queued.front();
    pool.queued.pop_front();
    if (!exchange->is_finished) start(pool, exchange);
  }
}

void EventEnv::start(Pool& pool, const std::shared_ptr<Exchange>& exchange) {
  if (!pool.idle_connections.empty()) {
    exchange->connection = std::move(pool.idle_connections.back());
    pool.idle_connections.pop_back();
  } else {
    exchange->connection = std::make_unique<Connection>();
    exchange->connection->handle = open_connection(base_, pool.host, pool.port);
  }
  pool.busy_connections++;
  evhttp_connection* connection = exchange->connection->handle;
  evhttp_request* request =
      connection == nullptr ? nullptr : evhttp_request_new(&EventEnv::on_reply, exchange.get());
  if (request == nullptr) {
    after(0, [this, exchange] { finish(exchange, {}, false); });
    return;
  }
  exchange->self_reference = exchange;
  const HttpCall& call = exchange->call;
  write_request(call, request);
  if (evhttp_make_request(connection, request, command_of(call), call.path.c_str()) != 0) {
    // evhttp has freed the request, and does not guarantee that it calls on_reply.
    after(0, [this, exchange] { finish(exchange, {}, false); });
  }
}

void EventEnv::on_reply(evhttp_request* request, void* arg) {
  auto* raw_exchange = static_cast<Exchange*>(arg);
  if (raw_exchange->is_finished) return;
  auto exchange = raw_exchange->self_reference;
  HttpReply reply = read_reply(request);
  const bool reusable = !reply.unanswered() && keeps_connection(request);
  // The connection must not be freed or reused inside its own callback, so the call finishes in a timer.
  EventEnv* env = raw_exchange->env;
  env->after(0, [env, exchange, reply = std::move(reply), reusable]() mutable {
    env->finish(exchange, std::move(reply), reusable);
  });
}

void EventEnv::finish(const std::shared_ptr<Exchange>& exchange, HttpReply reply, bool reusable) {
  if (exchange->is_finished) return;
  exchange->is_finished = true;
  if (exchange->deadline_timer != 0) cancel(exchange->deadline_timer);
  exchange->self_reference.reset();
  auto handler = std::move(exchange->handler);
  if (Pool* pool = exchange->pool; pool != nullptr) {
    if (exchange->connection) {
      pool->busy_connections--;
      reusable = reusable && exchange->call.keep_alive &&
                 pool->idle_connections.size() < kMaxIdleConnectionsPerDestination;
      if (reusable) pool->idle_connections.push_back(std::move(exchange->connection));
      exchange->connection.reset();
    }
    send_queued(*pool);
    // Thousands of machines join and leave the cluster. A pool without connections and calls is deleted, so
    // that a machine that was called only once does not use memory permanently.
    if (pool->busy_connections == 0 && pool->idle_connections.empty() && pool->queued.empty())
      pools_.erase(exchange->call.destination);
  }
  handler(std::move(reply));
}

}  // namespace mothslip
