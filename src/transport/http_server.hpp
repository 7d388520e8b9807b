// An HTTP listener on libevent (evhttp) that limits the sizes of bodies and headers and the number of
// connections.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_set>

#include "transport/http.hpp"

struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace mothslip {

class HttpServer {
 public:
  // Starts to listen at `address`, a numeric IPv4 address with a port; throws std::runtime_error if that
  // fails. Requests with a body of more than `max_body_bytes` are refused. While more than `max_connections`
  // (0: no limit) are open, requests other than health checks are answered 503, and a connection closes after
  // its next answer. `base` must outlive the server.
  HttpServer(event_base* base, const std::string& address, std::size_t max_body_bytes,
             std::size_t max_connections, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns the number of open connections that have carried at least one request.
  [[nodiscard]] std::size_t connection_count() const { return open_connections_.size(); }

 private:
  static void on_close(evhttp_connection* connection, void* arg);
  static void on_request(evhttp_request* request, void* arg);
  void track_connection(evhttp_request* request);
  [[nodiscard]] bool is_over_connection_limit() const;

  evhttp* http_;
  std::size_t max_connections_;                              // 0: no limit
  std::unordered_set<evhttp_connection*> open_connections_;  // those that have carried a request
  HttpHandler handler_;
};

}  // namespace mothslip
