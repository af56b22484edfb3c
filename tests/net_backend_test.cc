#include <gtest/gtest.h>

#include "net_support.h"

namespace baobab {
namespace {

using namespace std::chrono_literals;

constexpr const char* kAttemptId = "n1-5-7-1";

struct AnswerCase {
  const char* name;
  /** Bytes the minion sends before it closes the connection. */
  std::string bytes;
  AttemptResult result;
  std::string body;
};

std::string Echo(const std::string& rest) {
  return std::string("HTTP/1.1 200 OK\r\nBaobab-Request: ") + kAttemptId +
         "\r\n" + rest;
}

class BackendAnswerTest : public testing::TestWithParam<AnswerCase> {};

// Guards against truncated or ambiguous responses, or those of another request,
// being accepted as complete.
TEST_P(BackendAnswerTest, OnlyWholeAnswersCount) {
  RawServer server([](RawSocket& socket, int) {
    socket.ReceiveUntil("\r\n\r\n");
    socket.Send(GetParam().bytes);
  });
  Metrics metrics;
  BackendClient client(metrics);
  const BackendResult result = client.Call(server.address(), kAttemptId,
                                           {"GET", "/a", {}, ""}, true, 5s);
  EXPECT_EQ(result.result, GetParam().result) << result.error;
  EXPECT_EQ(result.answer.body, GetParam().body);
  EXPECT_EQ(client.idle_connections(),
            result.result == AttemptResult::kUnknown ? 0u : 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    BackendAnswerTest,
    testing::Values(
        AnswerCase{"whole", Echo("Content-Length: 3\r\n\r\nabc"),
                   AttemptResult::kAnswered, "abc"},
        AnswerCase{"empty", Echo("Content-Length: 0\r\n\r\n"),
                   AttemptResult::kAnswered, ""},
        AnswerCase{
            "binary",
            Echo("Content-Length: 4\r\n\r\n") + std::string("\0\r\n\xff", 4),
            AttemptResult::kAnswered, std::string("\0\r\n\xff", 4)},
        AnswerCase{"chunked",
                   Echo("Transfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
                   AttemptResult::kAnswered, "abcde"},
        AnswerCase{
            "not_modified",
            std::string("HTTP/1.1 304 Not Modified\r\nBaobab-Request: ") +
                kAttemptId + "\r\n\r\n",
            AttemptResult::kAnswered, ""},
        AnswerCase{"interim",
                   "HTTP/1.1 100 Continue\r\n\r\n" +
                       Echo("Content-Length: 1\r\n\r\nx"),
                   AttemptResult::kAnswered, "x"},
        AnswerCase{"refused",
                   std::string("HTTP/1.1 503 Busy\r\nBaobab-Request: ") +
                       kAttemptId +
                       "\r\nBaobab-Refused: 1\r\nContent-Length: 0\r\n\r\n",
                   AttemptResult::kRefused, ""},
        AnswerCase{"refused_without_echo",
                   "HTTP/1.1 503 Busy\r\nBaobab-Refused: 1\r\n"
                   "Content-Length: 0\r\n\r\n",
                   AttemptResult::kUnknown, ""},
        AnswerCase{"short_body", Echo("Content-Length: 4\r\n\r\nabc"),
                   AttemptResult::kUnknown, ""},
        AnswerCase{"chunks_without_end",
                   Echo("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
                   AttemptResult::kUnknown, ""},
        AnswerCase{"chunk_cut_within_its_line_end",
                   Echo("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r"),
                   AttemptResult::kUnknown, ""},
        AnswerCase{"chunk_longer_than_its_size",
                   Echo("Transfer-Encoding: chunked\r\n\r\n"
                        "2\r\nabc\r\n0\r\n\r\n"),
                   AttemptResult::kUnknown, ""},
        AnswerCase{"no_length", Echo("\r\nabc"), AttemptResult::kUnknown, ""},
        AnswerCase{"two_lengths",
                   Echo("Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc"),
                   AttemptResult::kUnknown, ""},
        AnswerCase{"length_and_chunks",
                   Echo("Content-Length: 3\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                   AttemptResult::kUnknown, ""},
        AnswerCase{"length_not_a_number", Echo("Content-Length: 3x\r\n\r\nabc"),
                   AttemptResult::kUnknown, ""},
        AnswerCase{"answer_of_another",
                   "HTTP/1.1 200 OK\r\nBaobab-Request: n1-5-6-1\r\n"
                   "Content-Length: 3\r\n\r\nabc",
                   AttemptResult::kUnknown, ""},
        AnswerCase{"without_echo",
                   "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                   AttemptResult::kUnknown, ""},
        AnswerCase{"not_http", "hello\r\n\r\n", AttemptResult::kUnknown, ""},
        AnswerCase{"closed", "", AttemptResult::kUnknown, ""}),
    [](const auto& it) { return it.param.name; });

// Guards against a request reported as unknown, and therefore never retried,
// although nothing was sent.
TEST(BackendClientTest, RefusedConnectionIsNotSent) {
  const auto listener = ListenTcp({"127.0.0.1", 0});
  const int port = BoundPort(listener->get());
  UniqueFd closed = std::move(const_cast<UniqueFd&>(*listener));
  closed.Reset();
  Metrics metrics;
  BackendClient client(metrics);
  const BackendResult result =
      client.Call(ToString(Endpoint{"127.0.0.1", port}), kAttemptId,
                  {"POST", "/", {}, "x"}, false, 5s);
  EXPECT_EQ(result.result, AttemptResult::kNotSent) << result.error;
}

// Guards against a minion that trickles its response and thereby holds a slot
// and a thread forever.
TEST(BackendClientTest, TricklingAnswerEndsAtTheTimeout) {
  RawServer server([](RawSocket& socket, int) {
    socket.ReceiveUntil("\r\n\r\n");
    socket.Send(Echo("Content-Length: 100000\r\n\r\n"));
    for (int n = 0; n < 200 && !IsClosedByPeer(socket.fd()); ++n) {
      socket.Send("x");
      std::this_thread::sleep_for(20ms);
    }
  });
  Metrics metrics;
  BackendClient client(metrics);
  const SocketTime start = SocketClock::now();
  const BackendResult result = client.Call(server.address(), kAttemptId,
                                           {"GET", "/", {}, ""}, true, 300ms);
  EXPECT_EQ(result.result, AttemptResult::kUnknown);
  EXPECT_TRUE(result.timed_out);
  EXPECT_LT(SocketClock::now() - start, 2s);
}

// Guards against headers or bodies altered on the way to the minion or back.
TEST(BackendClientTest, RequestAndAnswerPassUnchanged) {
  std::string seen;
  RawServer server([&](RawSocket& socket, int) {
    seen = socket.ReceiveUntil("a=1%20\xff");
    socket.Send(
        Echo("Set-Cookie: a\r\nSet-Cookie: b\r\n"
             "Location: /x%20y%0d%0aEvil: 1\r\n"
             "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\n"
             "\x1f\x8b"));
  });
  Metrics metrics;
  BackendClient client(metrics);
  const BackendResult result =
      client.Call(server.address(), kAttemptId,
                  {"POST",
                   "/p%20q?x=%2F",
                   {{"X-Many", "1"}, {"X-Many", "2"}, {"Host", "shop"}},
                   "a=1%20\xff"},
                  false, 5s);
  ASSERT_EQ(result.result, AttemptResult::kAnswered) << result.error;
  EXPECT_EQ(seen.find("POST /p%20q?x=%2F HTTP/1.1\r\n"), 0u) << seen;
  EXPECT_NE(seen.find("X-Many: 1\r\nX-Many: 2\r\n"), std::string::npos);
  EXPECT_NE(seen.find(std::string("Baobab-Request: ") + kAttemptId),
            std::string::npos);
  EXPECT_NE(seen.find("Host: shop\r\n"), std::string::npos);
  EXPECT_EQ(seen.find("Content-Type"), std::string::npos);
  EXPECT_EQ(result.answer.body, "\x1f\x8b");
  const HttpHeaders& headers = result.answer.headers;
  EXPECT_EQ(FindHeader(headers, "Location"), "/x%20y%0d%0aEvil: 1");
  EXPECT_EQ(
      std::count(headers.begin(), headers.end(), HttpHeader{"Set-Cookie", "b"}),
      1);
}

// Answers requests on one connection and sends `after` behind each response.
RawServer::Script Serve(const std::string& after) {
  return [after](RawSocket& socket, int) {
    while (!socket.ReceiveUntil("\r\n\r\n").empty()) {
      socket.Send(Echo("Content-Length: 1\r\n\r\nx") + after);
    }
  };
}

// Guards against an unnecessary connection per request, and against a deposit
// whose outcome is unknown because the minion closed an idle connection.
TEST(BackendClientTest, OnlyIdempotentRequestsReuseConnections) {
  RawServer server(Serve(""));
  Metrics metrics;
  BackendClient client(metrics);
  const auto call = [&](bool idempotent) {
    return client
        .Call(server.address(), kAttemptId, {"GET", "/", {}, ""}, idempotent,
              5s)
        .result;
  };
  EXPECT_EQ(call(true), AttemptResult::kAnswered);
  EXPECT_EQ(call(true), AttemptResult::kAnswered);
  EXPECT_EQ(server.accepted(), 1);
  EXPECT_EQ(call(false), AttemptResult::kAnswered);
  EXPECT_EQ(server.accepted(), 2);
}

// Guards against late bytes of one response being read as the next response.
TEST(BackendClientTest, ConnectionWithUnreadBytesIsNotReused) {
  RawServer server(Serve(Echo("Content-Length: 4\r\n\r\nlate")));
  Metrics metrics;
  BackendClient client(metrics);
  for (int n = 1; n <= 2; ++n) {
    const BackendResult result = client.Call(server.address(), kAttemptId,
                                             {"GET", "/", {}, ""}, true, 5s);
    EXPECT_EQ(result.answer.body, "x");
    EXPECT_EQ(server.accepted(), n);
  }
}

// Guards against reuse of an idle connection that the minion has closed.
TEST(BackendClientTest, ClosedConnectionIsNotReused) {
  std::atomic<int> closed = 0;
  RawServer server([&](RawSocket& socket, int) {
    socket.ReceiveUntil("\r\n\r\n");
    socket.Send(Echo("Content-Length: 1\r\n\r\nx"));
    socket.Close();
    ++closed;
  });
  Metrics metrics;
  BackendClient client(metrics);
  for (int n = 1; n <= 2; ++n) {
    EXPECT_EQ(
        client
            .Call(server.address(), kAttemptId, {"GET", "/", {}, ""}, true, 5s)
            .result,
        AttemptResult::kAnswered);
    ASSERT_TRUE(WaitUntil([&] { return closed == n; }));
  }
  EXPECT_EQ(server.accepted(), 2);
}

// Guards against following a minion's redirect to another server.
TEST(BackendClientTest, RedirectIsPassedOn) {
  RawServer server([](RawSocket& socket, int) {
    socket.ReceiveUntil("\r\n\r\n");
    socket.Send(std::string("HTTP/1.1 302 Found\r\nBaobab-Request: ") +
                kAttemptId +
                "\r\nBaobab-Leaving: 1\r\nLocation: http://127.0.0.1:1/\r\n"
                "Content-Length: 0\r\n\r\n");
  });
  Metrics metrics;
  BackendClient client(metrics);
  const BackendResult result =
      client.Call(server.address(), kAttemptId, {"GET", "/", {}, ""}, true, 5s);
  EXPECT_EQ(result.answer.status, 302);
  EXPECT_TRUE(result.leaving);
  EXPECT_EQ(server.accepted(), 1);
}

struct AppendCase {
  const char* name;
  std::string answer;
  AppendResult result;
};

class LogAppenderTest : public testing::TestWithParam<AppendCase> {};

// Guards against an append reported as rejected, and its edit as not accepted,
// although the log may hold the record.
TEST_P(LogAppenderTest, OnlyDefiniteRefusalIsRejected) {
  RawServer server([](RawSocket& socket, int) {
    socket.ReceiveUntil("}");
    socket.Send(GetParam().answer);
  });
  Metrics metrics;
  EventSink sink;
  LogAppender appender({"127.0.0.1", server.port()}, metrics,
                       sink.MakePostEvent());
  appender.Start();
  Record record;
  record.sequence = RecordSequence(9);
  record.body = PlannerClaim{Term(1)};
  appender.Execute({record});
  ASSERT_TRUE(sink.WaitFor<AppendFinished>(1));
  const AppendFinished finished = sink.All<AppendFinished>()[0];
  EXPECT_EQ(finished.sequence, RecordSequence(9));
  EXPECT_EQ(finished.result, GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    LogAppenderTest,
    testing::Values(
        AppendCase{"appended",
                   "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
                   "{\"offset\":7}",
                   AppendResult::kAppended},
        AppendCase{"rejected",
                   "HTTP/1.1 413 Too long\r\nContent-Length: 0\r\n\r\n",
                   AppendResult::kRejected},
        AppendCase{"failed", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
                   AppendResult::kUnknown},
        AppendCase{"lost", "", AppendResult::kUnknown}),
    [](const auto& it) { return it.param.name; });

// Guards against a log reader that stops when its offset is no longer retained,
// and against records that are read twice or skipped.
TEST(LogReaderTest, FollowsTheLogFromItsOldestRecord) {
  std::mutex mutex;
  std::vector<std::string> targets;
  RawServer server([&](RawSocket& socket, int n) {
    const std::string request = socket.ReceiveUntil("\r\n\r\n");
    {
      const std::lock_guard lock(mutex);
      targets.push_back(request.substr(0, request.find('&')));
    }
    const std::string body =
        n == 0   ? R"({"first":5})"
        : n == 1 ? R"({"first":5,"next":7,"records":[{"offset":5,"body":"a"},)"
                   R"({"offset":6,"body":"b"}]})"
                 : R"({"first":5,"next":7,"records":[]})";
    if (n > 2) {
      return;  // A closed connection is a failed read.
    }
    socket.Send("HTTP/1.1 " + std::string(n == 0 ? "410 Gone" : "200 OK") +
                "\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
  });
  Metrics metrics;
  EventSink sink;
  LogReader reader({"127.0.0.1", server.port()}, metrics, sink.MakePostEvent());
  reader.Start();
  ASSERT_TRUE(sink.WaitFor<LogReadFailed>(1));
  reader.Stop();
  const auto reads = sink.All<LogRead>();
  ASSERT_EQ(reads.size(), 2u);
  EXPECT_EQ(reads[0].entries.size(), 2u);
  EXPECT_TRUE(reads[1].entries.empty());
  const std::lock_guard lock(mutex);
  EXPECT_EQ(targets[0], "GET /read?from=0");
  EXPECT_EQ(targets[1], "GET /read?from=5");
  EXPECT_EQ(targets[2], "GET /read?from=7");
}

// Guards against a seek or a stop that waits for the end of a long poll.
TEST(LogReaderTest, SeekAndStopEndALongPoll) {
  std::mutex mutex;
  std::vector<std::string> targets;
  RawServer server([&](RawSocket& socket, int n) {
    const std::string request = socket.ReceiveUntil("\r\n\r\n");
    {
      const std::lock_guard lock(mutex);
      targets.push_back(request.substr(0, request.find(" HTTP")));
    }
    if (n == 0) {
      const std::string body = R"({"first":0,"next":0,"records":[]})";
      socket.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
    } else {
      socket.ReceiveUntil("never");
    }
  });
  const auto count = [&] {
    const std::lock_guard lock(mutex);
    return targets.size();
  };
  Metrics metrics;
  EventSink sink;
  LogReader reader({"127.0.0.1", server.port()}, metrics, sink.MakePostEvent());
  const SocketTime start = SocketClock::now();
  reader.Start();
  ASSERT_TRUE(WaitUntil([&] { return count() == 2; }));
  reader.SeekTo(Offset(40));
  ASSERT_TRUE(WaitUntil([&] { return count() == 3; }));
  reader.Stop();
  EXPECT_LT(SocketClock::now() - start, 1500ms);
  const std::lock_guard lock(mutex);
  EXPECT_EQ(targets[0], "GET /read?from=0&max=256&wait_ms=0");
  EXPECT_EQ(targets[1], "GET /read?from=0&max=256&wait_ms=2000");
  EXPECT_EQ(targets[2], "GET /read?from=40&max=256&wait_ms=0");
  EXPECT_TRUE(sink.All<LogReadFailed>().empty());
}

}  // namespace
}  // namespace baobab
