// An evhttp listener with capped bodies and headers.
#pragma once

#include <string>

#include "transport/http.hpp"

struct event_base;
struct evhttp;
struct evhttp_request;

namespace mothslip {

class HttpServer {
 public:
  // Binds at once; throws std::runtime_error when the address cannot be had.
  HttpServer(event_base* base, const std::string& address, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  static void on_request(evhttp_request* request, void* arg);
  evhttp* http_;
  HttpHandler handler_;
};

}  // namespace mothslip
