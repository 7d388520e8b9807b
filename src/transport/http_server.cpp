#include "transport/http_server.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <memory>
#include <stdexcept>
#include <utility>

namespace mothslip {

namespace {
constexpr std::size_t kMaxHeaderBytes = std::size_t{8} * 1024;
constexpr int kIdleTimeoutSeconds = 45;  // an inactive connection is closed after this time
constexpr const char* kHealthCheckPath = "/ready";
constexpr const char* kRetryWhenFullSeconds = "2";

const char* method_name(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    default:
      return "OTHER";
  }
}

std::string text_or_empty(const char* text) { return text == nullptr ? "" : text; }

HttpRequest read_request(evhttp_request* request) {
  HttpRequest out;
  out.method = method_name(evhttp_request_get_command(request));
  if (const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request); uri != nullptr) {
    out.path = text_or_empty(evhttp_uri_get_path(uri));
    out.query = text_or_empty(evhttp_uri_get_query(uri));
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  out.body.resize(evbuffer_get_length(body));
  if (!out.body.empty()) evbuffer_copyout(body, out.body.data(), out.body.size());
  return out;
}

void add_header(evhttp_request* request, const char* name, const char* value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name, value);
}

void send_answer(evhttp_request* request, const HttpAnswer& answer) {
  if (answer.retry_after_s > 0) {
    add_header(request, "Retry-After", std::to_string(answer.retry_after_s).c_str());
  }
  const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> out(evbuffer_new(), &evbuffer_free);
  evbuffer_add(out.get(), answer.body.data(), answer.body.size());
  evhttp_send_reply(request, answer.status, nullptr, out.get());
}
}  // namespace

HttpServer::HttpServer(event_base* base, const std::string& address, std::size_t max_body_bytes,
                       std::size_t max_connections, HttpHandler handler)
    : http_(evhttp_new(base)), max_connections_(max_connections), handler_(std::move(handler)) {
  const auto colon = address.rfind(':');
  if (http_ == nullptr || colon == std::string::npos)
    throw std::runtime_error(
        "cannot create an HTTP listener, which needs an address of the form IPV4:PORT, for " + address);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(max_body_bytes));
  evhttp_set_max_headers_size(http_, kMaxHeaderBytes);
  evhttp_set_timeout(http_, kIdleTimeoutSeconds);
  evhttp_set_default_content_type(http_, "application/json");
  evhttp_set_gencb(http_, &HttpServer::on_request, this);
  const std::string host = address.substr(0, colon);
  const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
  if (evhttp_bind_socket_with_handle(http_, host.c_str(), port) == nullptr) {
    evhttp_free(http_);
    throw std::runtime_error("cannot listen on " + address);
  }
}

HttpServer::~HttpServer() { evhttp_free(http_); }

void HttpServer::on_close(evhttp_connection* connection, void* arg) {
  static_cast<HttpServer*>(arg)->open_connections_.erase(connection);
}

void HttpServer::track_connection(evhttp_request* request) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (connection == nullptr) return;
  open_connections_.insert(connection);
  evhttp_connection_set_closecb(connection, &HttpServer::on_close, this);
}

bool HttpServer::is_over_connection_limit() const {
  return max_connections_ > 0 && open_connections_.size() > max_connections_;
}

void HttpServer::on_request(evhttp_request* request, void* arg) {
  auto* server = static_cast<HttpServer*>(arg);
  server->track_connection(request);
  HttpRequest in = read_request(request);
  // The remaining sockets are reserved for the state service, the other nodes and health checks.
  if (server->is_over_connection_limit()) {
    add_header(request, "Connection", "close");
    if (in.path != kHealthCheckPath) {
      add_header(request, "Retry-After", kRetryWhenFullSeconds);
      evhttp_send_reply(request, 503, nullptr, nullptr);
      return;
    }
  }
  // If the peer closes the connection first, libevent detaches the request and frees it on reply, so a late
  // answer is safe.
  Responder responder([request](const HttpAnswer& answer) { send_answer(request, answer); });
  server->handler_(std::move(in), std::move(responder));
}

}  // namespace mothslip
