// The real listener and client over loopback: bounds on bodies and connections, and what is kept open.
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

class Loopback : public ::testing::Test {
 protected:
  void SetUp() override { std::signal(SIGPIPE, SIG_IGN); }  // as the program does
  void listen(std::size_t max_body, std::size_t most_connections, const HttpHandler& handler) {
    for (int port = 20000; port < 20500 && !server; port++) {
      address = "127.0.0.1:" + std::to_string(port);
      try {
        server = std::make_unique<HttpServer>(env.base(), address, max_body, most_connections, handler);
      } catch (const std::runtime_error&) {
      }
    }
    ASSERT_TRUE(server);
  }
  // Runs the loop until `count` of the calls made so far are answered.
  void wait_for(std::size_t count) {
    wanted = count;
    if (replies.size() < wanted) env.run();
  }
  void turn(double seconds) {
    env.after(seconds, [this] { event_base_loopbreak(env.base()); });
    env.run();
  }
  void call(const std::string& path, const std::string& body, bool keep_alive = true) {
    env.call({address, "POST", path, body, 20.0, keep_alive}, [this](const HttpReply& reply) {
      replies.push_back(reply);
      if (replies.size() >= wanted) event_base_loopbreak(env.base());
    });
  }

  EventEnv env;
  std::string address;
  std::unique_ptr<HttpServer> server;
  std::vector<HttpReply> replies;
  std::size_t wanted = 0;
};

}  // namespace

// The summary of a shard with some four hundred machines is larger than what users may send. Turned down at
// the door, it would leave the fleet without any word of that shard.
TEST_F(Loopback, WhatNodesTellEachOtherMayBeLargerThanWhatUsersSend) {
  std::size_t seen = 0;
  listen(Node::kMaxPeerBodyBytes, 0, [&seen](const HttpRequest& request, const Responder& responder) {
    seen = request.body.size();
    responder.send(200, "{}");
  });
  call("/peer/summary", std::string(200000, 'x'));
  wait_for(1);
  EXPECT_EQ(replies[0].status, 200);
  EXPECT_EQ(seen, 200000u);
}

TEST_F(Loopback, ABodyOverTheLimitIsTurnedDown) {
  bool seen = false;
  listen(Node::kMaxClientBodyBytes, 0, [&seen](const HttpRequest&, const Responder& responder) {
    seen = true;
    responder.send(200, "{}");
  });
  call("/v2/runs", std::string(Node::kMaxClientBodyBytes + 1, 'x'));
  wait_for(1);
  EXPECT_NE(replies[0].status, 200);
  EXPECT_FALSE(seen);
}

// Beyond the bound a request is turned away at once and its connection closed; health checks pass; when
// others have gone there is room again.
TEST_F(Loopback, ConnectionsOverTheBoundAreTurnedAwayAtOnce) {
  std::vector<Responder> held;
  listen(Node::kMaxClientBodyBytes, 2, [&held](const HttpRequest& request, const Responder& responder) {
    if (request.path == "/ready") return responder.send(200, "{}");
    held.push_back(responder);
  });
  call("/hello", "{}");
  call("/hello", "{}");
  while (held.size() < 2) turn(0.01);
  call("/hello", "{}");
  wait_for(1);
  EXPECT_EQ(replies[0].status, 503);
  call("/ready", "{}");
  wait_for(2);
  EXPECT_EQ(replies[1].status, 200);
  EXPECT_EQ(held.size(), 2u);
  while (server->connection_count() > 2) turn(0.01);
  for (const Responder& each : held) each.send(200, "{}");
  wait_for(4);
  call("/hello", "{}");
  while (held.size() < 3) turn(0.01);
  held.back().send(200, "{}");
  wait_for(5);
  EXPECT_EQ(replies[4].status, 200);
}

// Nothing is kept of a machine that was sent one command: thousands come and go.
TEST_F(Loopback, AConnectionThatIsNotWorthKeepingIsClosed) {
  listen(Node::kMaxClientBodyBytes, 0,
         [](const HttpRequest&, const Responder& responder) { responder.send(200, "{}"); });
  call("/commands", "{}");
  wait_for(1);
  turn(0.05);
  EXPECT_EQ(server->connection_count(), 1u);
  call("/commands", "{}", false);
  wait_for(2);
  while (server->connection_count() > 0) turn(0.01);
  EXPECT_EQ(replies[1].status, 200);
}
