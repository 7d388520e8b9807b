// An evhttp listener with capped bodies and headers.
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
  // Binds at once; throws std::runtime_error when the address cannot be had.
  // Requests on connections beyond `most_connections` are turned away (0: no bound), health checks apart.
  HttpServer(event_base* base, const std::string& address, std::size_t max_body, std::size_t most_connections,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] std::size_t connections() const { return open_.size(); }

 private:
  static void on_close(evhttp_connection* connection, void* arg);
  static void on_request(evhttp_request* request, void* arg);
  evhttp* http_;
  std::size_t most_connections_;
  std::unordered_set<evhttp_connection*> open_;  // those on which something was asked
  HttpHandler handler_;
};

}  // namespace mothslip
