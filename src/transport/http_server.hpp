// An HTTP listener on libevent (evhttp), with bounds on bodies, headers and connections.
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
  // Listens from now on at `address`, a numeric IPv4 address with a port; throws std::runtime_error when it
  // cannot. Bodies have at most `max_body` bytes. Requests on connections beyond `most_connections` are
  // turned away (0: no bound), health checks apart. `base` must outlive the server.
  HttpServer(event_base* base, const std::string& address, std::size_t max_body_bytes,
             std::size_t max_connections, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Open connections on which something was asked.
  [[nodiscard]] std::size_t connection_count() const { return open_connections_.size(); }

 private:
  static void on_close(evhttp_connection* connection, void* arg);
  static void on_request(evhttp_request* request, void* arg);
  void track_connection(evhttp_request* request);
  [[nodiscard]] bool is_over_connection_limit() const;

  evhttp* http_;
  std::size_t max_connections_;                              // 0: no bound
  std::unordered_set<evhttp_connection*> open_connections_;  // those on which something was asked
  HttpHandler handler_;
};

}  // namespace mothslip
