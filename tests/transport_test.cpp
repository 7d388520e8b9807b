// Covers the real HTTP server and client over loopback: limits on bodies and connections, and keep-alive.
#include <event2/event.h>
#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "coordination/node/node.hpp"
#include "transport/event_env.hpp"
#include "transport/http_server.hpp"

using namespace mothslip;

namespace {

class HttpTransport : public ::testing::Test {
 protected:
  void SetUp() override { std::signal(SIGPIPE, SIG_IGN); }  // as in the main program
  void listen(std::size_t max_body_bytes, std::size_t max_connections, const HttpHandler& handler) {
    for (int port = 20000; port < 20500 && !server; port++) {
      address = "127.0.0.1:" + std::to_string(port);
      try {
        server = std::make_unique<HttpServer>(env.base(), address, max_body_bytes, max_connections, handler);
      } catch (const std::runtime_error&) {
      }
    }
    ASSERT_TRUE(server);
  }
  // Runs the event loop until `count` calls in total are answered.
  void wait_for(std::size_t count) {
    wanted_replies = count;
    if (replies.size() < wanted_replies) env.run();
  }
  void run_loop_for(double seconds) {
    env.after(seconds, [this] { event_base_loopbreak(env.base()); });
    env.run();
  }
  void call(const std::string& path, const std::string& body, bool keep_alive = true) {
    env.call({address, "POST", path, body, 20.0, keep_alive}, [this](const HttpReply& reply) {
      replies.push_back(reply);
      if (replies.size() >= wanted_replies) event_base_loopbreak(env.base());
    });
  }

  EventEnv env;
  std::string address;
  std::unique_ptr<HttpServer> server;
  std::vector<HttpReply> replies;
  std::size_t wanted_replies = 0;
};

}  // namespace

// The summary of a shard with about four hundred machines exceeds the body limit for users. If the server
// rejected it, fleet management would have no information on that shard.
TEST_F(HttpTransport, PeerMessagesMayBeLargerThanClientRequests) {
  std::size_t received_bytes = 0;
  listen(Node::kMaxPeerBodyBytes, 0,
         [&received_bytes](const HttpRequest& request, const Responder& responder) {
           received_bytes = request.body.size();
           responder.send(200, "{}");
         });
  call("/peer/summary", std::string(200000, 'x'));
  wait_for(1);
  EXPECT_EQ(replies[0].status, 200);
  EXPECT_EQ(received_bytes, 200000u);
}

TEST_F(HttpTransport, ABodyOverTheLimitIsRejected) {
  bool was_handled = false;
  listen(Node::kMaxClientBodyBytes, 0, [&was_handled](const HttpRequest&, const Responder& responder) {
    was_handled = true;
    responder.send(200, "{}");
  });
  call("/v2/runs", std::string(Node::kMaxClientBodyBytes + 1, 'x'));
  wait_for(1);
  EXPECT_NE(replies[0].status, 200);
  EXPECT_FALSE(was_handled);
}

// A request beyond the connection limit is rejected at once and its connection is closed. Health checks are
// still answered. New requests are accepted again after other connections have closed.
TEST_F(HttpTransport, ConnectionsOverTheLimitAreRejectedAtOnce) {
  std::vector<Responder> pending;
  listen(Node::kMaxClientBodyBytes, 2, [&pending](const HttpRequest& request, const Responder& responder) {
    if (request.path == "/ready") return responder.send(200, "{}");
    pending.push_back(responder);
  });
  call("/hello", "{}");
  call("/hello", "{}");
  while (pending.size() < 2) run_loop_for(0.01);
  call("/hello", "{}");
  wait_for(1);
  EXPECT_EQ(replies[0].status, 503);
  call("/ready", "{}");
  wait_for(2);
  EXPECT_EQ(replies[1].status, 200);
  EXPECT_EQ(pending.size(), 2u);
  while (server->connection_count() > 2) run_loop_for(0.01);
  for (const Responder& each : pending) each.send(200, "{}");
  wait_for(4);
  call("/hello", "{}");
  while (pending.size() < 3) run_loop_for(0.01);
  pending.back().send(200, "{}");
  wait_for(5);
  EXPECT_EQ(replies[4].status, 200);
}

// A connection to a machine that gets a single command is closed after the answer. Thousands of machines come
// and go, and their connections would accumulate.
TEST_F(HttpTransport, AConnectionWithoutKeepAliveIsClosed) {
  listen(Node::kMaxClientBodyBytes, 0,
         [](const HttpRequest&, const Responder& responder) { responder.send(200, "{}"); });
  call("/commands", "{}");
  wait_for(1);
  run_loop_for(0.05);
  EXPECT_EQ(server->connection_count(), 1u);
  call("/commands", "{}", false);
  wait_for(2);
  while (server->connection_count() > 0) run_loop_for(0.01);
  EXPECT_EQ(replies[1].status, 200);
}
