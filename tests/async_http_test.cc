#include <gtest/gtest.h>
#include <sys/socket.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "libnet/async_http_client.h"
#include "libnet/async_http_server.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

class AsyncHttpTest : public testing::Test {
 protected:
  void Serve(AsyncHttpServer::Handler handler) {
    server = std::make_unique<AsyncHttpServer>(loop, std::move(handler));
    ASSERT_TRUE(server->Listen({"127.0.0.1", 0}).has_value());
    address = "127.0.0.1:" + std::to_string(server->Port());
  }

  tcp::socket ConnectRaw() {
    tcp::socket socket(loop);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                 static_cast<unsigned short>(server->Port())));
    return socket;
  }

  /** Makes a call and runs the loop until it has ended. */
  tl::expected<HttpResponse, CallFailure> Call(
      HttpRequest request,
      AsyncHttpClient::Channel channel = {}) {
    tl::expected<HttpResponse, CallFailure> got =
        tl::unexpected(CallFailure{false, false, "not ended"});
    bool ended = false;
    client.Call(address, std::move(request), milliseconds(1000), channel,
                [&](tl::expected<HttpResponse, CallFailure> answer) {
                  got = std::move(answer);
                  ended = true;
                });
    const auto limit = std::chrono::steady_clock::now() + milliseconds(3000);
    loop.restart();
    while (!ended && std::chrono::steady_clock::now() < limit) {
      loop.run_one_for(milliseconds(100));
    }
    return got;
  }

  asio::io_context loop;
  AsyncHttpClient client{loop};
  std::unique_ptr<AsyncHttpServer> server;
  std::string address;
};

void Echo(const HttpRequest& request,
          const AsyncHttpServer::Responder& respond) {
  respond({200, {}, request.method + " " + request.target + request.body});
}

TEST_F(AsyncHttpTest, AnswersOnAKeptConnection) {
  Serve(Echo);
  for (int i = 0; i < 3; ++i) {
    const auto answer = Call({"POST", "/x?y=1", {}, "body"});
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer->body, "POST /x?y=1body");
  }
  EXPECT_EQ(client.counters().connections, 1u);
}

// Guards against a second answer to an earlier request that is taken as the
// answer to the next one on the same connection.
TEST_F(AsyncHttpTest, LateSecondAnswerIsDropped) {
  AsyncHttpServer::Responder first;
  Serve([&](const HttpRequest& request,
            const AsyncHttpServer::Responder& respond) {
    if (!first) {
      first = respond;
    } else {
      first({200, {}, "second answer"});
    }
    respond({200, {}, request.body});
  });
  for (const char* it : {"one", "two"}) {
    const auto answer = Call({"POST", "/", {}, it});
    ASSERT_TRUE(answer.has_value()) << answer.error().message;
    EXPECT_EQ(answer->body, it);
  }
  EXPECT_EQ(client.counters().connections, 1u);
}

// Guards against callers that stall within a request head and delay others: 400
// of them held all threads of the former thread-per-connection server for 10 s.
TEST_F(AsyncHttpTest, IncompleteHeadsDelayNoOtherCall) {
  Serve(Echo);
  std::vector<tcp::socket> stalled;
  for (int i = 0; i < 400; ++i) {
    stalled.push_back(ConnectRaw());
    asio::write(stalled.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a")));
  }
  loop.run_for(milliseconds(50));
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_TRUE(Call({"GET", "/", {}, ""}).has_value());
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(500));
}

// Guards against a call that never ends because the connection went silent.
TEST_F(AsyncHttpTest, SilentServerTimesOut) {
  std::vector<AsyncHttpServer::Responder> held;
  Serve([&](const HttpRequest&, AsyncHttpServer::Responder respond) {
    held.push_back(std::move(respond));
  });
  const auto answer = Call({"GET", "/", {}, ""});
  ASSERT_FALSE(answer.has_value());
  EXPECT_FALSE(answer.error().not_sent);
  EXPECT_TRUE(answer.error().timed_out);
}

struct SlowAnswerCase {
  const char* name;
  /** Delay in ms before each part of the response. */
  std::vector<int> delays;
  bool complete;
};

class SlowAnswerTest : public AsyncHttpTest,
                       public testing::WithParamInterface<SlowAnswerCase> {};

// Guards against a call that times out while its response is still arriving: a
// busy node needed seconds to send a large configuration, so the call failed on
// every retry. A connection that goes silent must still end the call.
TEST_P(SlowAnswerTest, WaitsWhilePartsArrive) {
  tcp::acceptor acceptor(loop,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const auto& delays = GetParam().delays;
  std::thread sender([&] {
    asio::io_context own;
    tcp::socket socket = acceptor.accept(own);
    boost::system::error_code ec;
    std::string part(1000, 'x');
    asio::write(socket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(1000 * delays.size()) + "\r\n\r\n"),
                ec);
    for (const int it : delays) {
      std::this_thread::sleep_for(milliseconds(it));
      asio::write(socket, asio::buffer(part), ec);
    }
  });
  const auto answer = Call({"GET", "/", {}, ""});
  sender.join();
  EXPECT_EQ(answer.has_value(), GetParam().complete);
  if (!answer) {
    EXPECT_TRUE(answer.error().timed_out);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    SlowAnswerTest,
    testing::Values(
        SlowAnswerCase{"Steady", {300, 300, 300, 300, 300, 300}, true},
        SlowAnswerCase{"Silent", {300, 300, 2000}, false}),
    [](const auto& it) { return it.param.name; });

// Guards against an unreachable server reported as an unknown outcome.
TEST_F(AsyncHttpTest, RefusedConnectionIsNotSent) {
  Serve(Echo);
  server->Stop();
  loop.run_for(milliseconds(10));
  const auto answer = Call({"GET", "/", {}, ""});
  ASSERT_FALSE(answer.has_value());
  EXPECT_TRUE(answer.error().not_sent);
}

// Guards against acknowledgements sent to a restarted process at the same
// address: a reuse-only call must not open a connection.
TEST_F(AsyncHttpTest, ReuseOnlyOpensNoConnection) {
  Serve(Echo);
  EXPECT_TRUE(Call({"GET", "/", {}, ""}, {"orders", false}).has_value());
  auto answer = Call({"GET", "/", {}, ""}, {"looks", true});
  ASSERT_FALSE(answer.has_value());
  EXPECT_TRUE(answer.error().not_sent);
  EXPECT_TRUE(Call({"GET", "/", {}, ""}, {"looks", false}).has_value());
  EXPECT_TRUE(Call({"GET", "/", {}, ""}, {"looks", true}).has_value());
  EXPECT_EQ(client.counters().connections, 2u);
}

// Guards against requests on open connections that reach the handler of a
// server which is gone: a destroyed node read its list of owners.
TEST_F(AsyncHttpTest, DestroyedServerHandlesNothing) {
  int handled = 0;
  std::vector<AsyncHttpServer::Responder> held;
  Serve([&](const HttpRequest& request, AsyncHttpServer::Responder respond) {
    ++handled;
    if (request.target == "/hold") {
      held.push_back(std::move(respond));
    } else {
      respond({200, {}, ""});
    }
  });
  EXPECT_TRUE(Call({"GET", "/", {}, ""}).has_value());
  auto sending = ConnectRaw();
  loop.run_for(milliseconds(10));
  EXPECT_FALSE(Call({"GET", "/hold", {}, ""}).has_value());
  EXPECT_EQ(handled, 2);
  asio::write(sending, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  server.reset();
  EXPECT_FALSE(Call({"GET", "/", {}, ""}).has_value());
  held.at(0)({200, {}, ""});
  loop.restart();
  loop.run_for(milliseconds(50));
  EXPECT_EQ(handled, 2);
}

// Guards against answers that reach the callers of a client which is gone.
TEST_F(AsyncHttpTest, DestroyedClientCallsNothingBack) {
  std::vector<AsyncHttpServer::Responder> held;
  Serve([&](const HttpRequest&, AsyncHttpServer::Responder respond) {
    held.push_back(std::move(respond));
  });
  bool called = false;
  std::optional<AsyncHttpClient> other(loop);
  for (const auto& it : {address, std::string("no address")}) {
    other->Call(it, {"GET", "/", {}, ""}, milliseconds(1000),
                [&](const auto&) { called = true; });
  }
  while (held.empty()) {
    loop.run_one();
  }
  other->Call("no address", {"GET", "/", {}, ""}, milliseconds(1000),
              [&](const auto&) { called = true; });
  called = false;
  other.reset();
  held.at(0)({200, {}, ""});
  loop.run_for(milliseconds(50));
  EXPECT_FALSE(called);
}

struct LateRequestCase {
  const char* name;
  /** Bytes that arrive in time, and those that arrive as the time ends. */
  std::string early;
  std::string late;
};

class LateRequestTest : public AsyncHttpTest,
                        public testing::WithParamInterface<LateRequestCase> {};

// Guards against a connection that is closed while its request is handled, as
// the time to send it ended in the moment in which it became complete.
TEST_P(LateRequestTest, IsAnswered) {
  AsyncHttpServer::Responder held;
  Serve([&](const HttpRequest&, AsyncHttpServer::Responder respond) {
    held = std::move(respond);
  });
  AsyncServerLimits limits;
  limits.header_timeout = milliseconds(60);
  limits.body_timeout = milliseconds(60);
  limits.idle_timeout = milliseconds(60);
  server->SetLimits(limits);
  auto socket = ConnectRaw();
  asio::write(socket, asio::buffer(GetParam().early));
  loop.run_for(milliseconds(20));
  std::this_thread::sleep_for(milliseconds(80));
  asio::write(socket, asio::buffer(GetParam().late));
  std::this_thread::sleep_for(milliseconds(5));
  loop.run_for(milliseconds(20));
  ASSERT_TRUE(held);
  held({200, {}, ""});
  loop.run_for(milliseconds(20));
  socket.non_blocking(true);
  std::string got(200, '\0');
  boost::system::error_code ec;
  got.resize(socket.read_some(asio::buffer(got), ec));
  EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200");
}

INSTANTIATE_TEST_SUITE_P(
    Timeouts,
    LateRequestTest,
    testing::Values(
        LateRequestCase{"Idle", "", "GET / HTTP/1.1\r\n\r\n"},
        LateRequestCase{"Head", "GET / HTTP/1.1\r\n", "\r\n"},
        LateRequestCase{
            "Body", "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab", "cd"}),
    [](const auto& it) { return it.param.name; });

struct BadRequest {
  const char* name;
  std::string bytes;
  std::string status;
};

class BadRequestTest : public AsyncHttpTest,
                       public testing::WithParamInterface<BadRequest> {};

// Guards against malformed requests that reach the handler or stop the server.
TEST_P(BadRequestTest, IsRefused) {
  int handled = 0;
  Serve([&](const HttpRequest&, const AsyncHttpServer::Responder& respond) {
    ++handled;
    respond({200, {}, ""});
  });
  auto socket = ConnectRaw();
  asio::write(socket, asio::buffer(GetParam().bytes));
  loop.run_for(milliseconds(100));
  socket.non_blocking(true);
  std::string got(200, '\0');
  boost::system::error_code error;
  got.resize(socket.read_some(asio::buffer(got), error));
  EXPECT_EQ(got.substr(0, 12), GetParam().status);
  EXPECT_EQ(handled, 0);
  EXPECT_TRUE(Call({"GET", "/", {}, ""}).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Bytes,
    BadRequestTest,
    testing::Values(
        BadRequest{"Garbage", "\x01\x02\x03\r\n\r\n", "HTTP/1.1 400"},
        BadRequest{"BadLength", "POST / HTTP/1.1\r\nContent-Length: zz\r\n\r\n",
                   "HTTP/1.1 400"},
        BadRequest{"LongBody",
                   "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
                   "HTTP/1.1 413"},
        BadRequest{"LongHead",
                   "GET / HTTP/1.1\r\nA: " + std::string(40000, 'x'),
                   "HTTP/1.1 431"}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
