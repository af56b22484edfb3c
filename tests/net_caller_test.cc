#include <gtest/gtest.h>

#include "net_support.h"

namespace baobab {
namespace {

using namespace std::chrono_literals;

/** Caller server with a function object in place of the reducer. */
class CallerServerTest : public testing::Test {
 protected:
  using Decide = std::function<void(const EventBody&)>;

  void Start(Decide decide) {
    options_.endpoint = {"127.0.0.1", 0};
    options_.node = NodeId("n1");
    options_.incarnation = Incarnation(5);
    server_ = std::make_unique<CallerServer>(
        options_, backend_, metrics_,
        [this, decide](EventBody body) {
          sink_.MakePostEvent()(body);
          if (decide) {
            decide(body);
          }
        },
        [this] { return ready_.load(); });
    const auto started = server_->Start();
    ASSERT_TRUE(started) << ToString(started.error());
  }

  /** Sends each request to the minion once and forwards its answer. */
  void StartForwarding(const std::string& address) {
    Start([this, address](const EventBody& body) {
      if (const auto* it = std::get_if<RequestArrived>(&body)) {
        server_->Execute(
            StartAttempt{{it->id, 1}, MinionId("m1"), address, 5s});
      } else if (const auto* end = std::get_if<AttemptFinished>(&body)) {
        if (end->result == AttemptResult::kAnswered) {
          server_->Execute(DeliverAnswer{end->attempt});
        } else {
          server_->Execute(Respond{end->attempt.request, Outcome::kUnknown,
                                   Reason::kAnswerLost, 0s});
        }
      }
    });
  }

  /** Responds to each request immediately, in place of the reducer. */
  void StartResponding(Outcome outcome, Reason reason, Duration retry) {
    Start([=, this](const EventBody& body) {
      if (const auto* it = std::get_if<RequestArrived>(&body)) {
        server_->Execute(Respond{it->id, outcome, reason, retry});
      }
    });
  }

  std::string Ask(const std::string& request) {
    RawSocket socket(server_->port());
    socket.Send(request);
    return socket.ReceiveAll();
  }

  CallerServerOptions options_;
  Metrics metrics_;
  BackendClient backend_{metrics_};
  EventSink sink_;
  std::atomic<bool> ready_ = true;
  std::unique_ptr<CallerServer> server_;
};

// Responds with the value of X-Say as body; stores the request head in `seen`.
RawServer::Script EchoMinion(std::string* seen = nullptr) {
  return [seen](RawSocket& socket, int) {
    std::string head;
    while (!(head = socket.ReceiveUntil("\r\n\r\n")).empty()) {
      const auto value = [&](const std::string& name) {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
          return std::string();
        }
        const std::size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
      };
      if (seen != nullptr) {
        *seen = head;
      }
      const std::string body = value("X-Say");
      socket.Send(
          "HTTP/1.1 200 OK\r\nBaobab-Request: " + value("Baobab-Request") +
          "\r\nX-Two: a\r\nX-Two: b\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  };
}

// Guards against requests or responses altered in transit: method, target,
// compression, ranges, multipart bodies, repeated headers.
TEST_F(CallerServerTest, RequestAndAnswerPassUnchanged) {
  std::string seen;
  const std::string form =
      "--b\r\nContent-Disposition: form-data; "
      "name=\"a\"\r\n\r\n1\r\n--b--\r\n";
  const std::string answer(2000, 'a');
  RawServer minion([&](RawSocket& socket, int) {
    seen = socket.ReceiveUntil("--b--\r\n");
    socket.Send(
        "HTTP/1.1 207 Multi-Status\r\nBaobab-Request: n1-5-1-1\r\n"
        "X-Two: a\r\nX-Two: b\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
        "Baobab-Leaving: 1\r\nContent-Type: text/plain\r\n"
        "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
        answer + "\r\n0\r\n\r\n");
  });
  StartForwarding(minion.address());
  const std::string got =
      Ask("PATCH /call/booking/p%20q?x=%2F HTTP/1.1\r\nHost: shop\r\n"
          "Connection: close, X-Drop\r\nX-Drop: 1\r\nRange: bytes=0-1\r\n"
          "Accept-Encoding: gzip\r\nContent-Encoding: gzip\r\n"
          "Baobab-Request: forged\r\nX-Raw: %0d%0aEvil: 1\r\n"
          "Content-Type: multipart/form-data; boundary=b\r\n"
          "Content-Length: " +
          std::to_string(form.size()) + "\r\n\r\n" + form);
  EXPECT_EQ(seen.find("PATCH /p%20q?x=%2F HTTP/1.1\r\n"), 0u) << seen;
  for (const char* it :
       {"Host: shop\r\n", "Range: bytes=0-1\r\n", "Accept-Encoding: gzip\r\n",
        "Content-Encoding: gzip\r\n", "Baobab-Request: n1-5-1-1\r\n",
        "X-Raw: %0d%0aEvil: 1\r\n",
        "Content-Type: multipart/form-data; boundary=b\r\n"}) {
    EXPECT_NE(seen.find(it), std::string::npos) << it;
  }
  EXPECT_EQ(seen.find("X-Drop"), std::string::npos);
  EXPECT_EQ(seen.find("forged"), std::string::npos);
  EXPECT_TRUE(seen.ends_with("\r\n\r\n" + form)) << seen;

  EXPECT_EQ(got.find("HTTP/1.1 207"), 0u) << got;
  EXPECT_NE(got.find("X-Two: a\r\nX-Two: b\r\n"), std::string::npos);
  EXPECT_NE(got.find("Baobab-Outcome: done\r\n"), std::string::npos);
  EXPECT_NE(got.find("Baobab-Request: n1-5-1\r\n"), std::string::npos);
  EXPECT_NE(got.find("Content-Length: 2000\r\n"), std::string::npos);
  EXPECT_TRUE(got.ends_with("\r\n\r\n" + answer));
  for (const char* it : {"X-Hop", "Baobab-Leaving", "Content-Range", "gzip",
                         "Transfer-Encoding"}) {
    EXPECT_EQ(got.find(it), std::string::npos) << it;
  }
  const auto ends = sink_.All<AttemptFinished>();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_TRUE(ends[0].leaving);
}

// Guards against connections that are dropped or delayed for seconds when many
// callers connect at once, as with cpp-httplib's listen backlog of 5, and
// against answers that reach another caller.
TEST_F(CallerServerTest, FiveHundredCallersGetTheirOwnAnswers) {
  constexpr int kCallers = 500;
  options_.threads = 2 * kCallers + 2;
  RawServer minion(EchoMinion());
  StartForwarding(minion.address());
  std::vector<std::unique_ptr<RawSocket>> callers;
  const SocketTime start = SocketClock::now();
  for (int n = 0; n < kCallers; ++n) {
    auto fd = StartConnect({"127.0.0.1", server_->port()});
    ASSERT_TRUE(fd);
    callers.push_back(std::make_unique<RawSocket>(std::move(*fd)));
  }
  for (int n = 0; n < kCallers; ++n) {
    ASSERT_TRUE(WaitSocket(callers[n]->fd(), POLLOUT, start + 10s));
    callers[n]->Send(
        "GET /call/booking HTTP/1.1\r\nConnection: close\r\nX-Say: " +
        std::to_string(n) + "\r\n\r\n");
  }
  for (int n = 0; n < kCallers; ++n) {
    const std::string got = callers[n]->ReceiveAll();
    EXPECT_TRUE(got.ends_with("\r\n\r\n" + std::to_string(n))) << got;
  }
  const auto took = SocketClock::now() - start;
  EXPECT_LT(took, 8s);
  RecordProperty("ms", static_cast<int>(took / 1ms));
}

struct BadCase {
  const char* name;
  std::string request;
  int status;
};

class BadRequestTest : public CallerServerTest,
                       public testing::WithParamInterface<BadCase> {};

// Guards against request smuggling through ambiguous framing, and against
// bodies that exhaust the memory.
TEST_P(BadRequestTest, RefusedBeforeAdmission) {
  options_.max_body = Bytes(1000);
  Start(nullptr);
  const std::string got = Ask(GetParam().request);
  EXPECT_EQ(got.find("HTTP/1.1 " + std::to_string(GetParam().status)), 0u)
      << got;
  EXPECT_NE(got.find("Baobab-Outcome: not-run\r\n"), std::string::npos) << got;
  EXPECT_NE(got.find("Connection: close\r\n"), std::string::npos) << got;
  EXPECT_EQ(got.find("HTTP/1.1", 1), std::string::npos) << got;
  EXPECT_TRUE(sink_.All<RequestArrived>().empty());
}

std::string Post(const std::string& rest) {
  return "POST /call/booking/a HTTP/1.1\r\n" + rest;
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    BadRequestTest,
    testing::Values(
        BadCase{"two_lengths",
                Post("Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"), 400},
        BadCase{"two_equal_lengths",
                Post("Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"), 400},
        BadCase{"length_and_chunks",
                Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "0\r\n\r\nGET /call/x HTTP/1.1\r\n\r\n"),
                400},
        BadCase{"length_not_a_number", Post("Content-Length: 2x\r\n\r\nab"),
                400},
        BadCase{"negative_length", Post("Content-Length: -2\r\n\r\nab"), 400},
        BadCase{"other_coding", Post("Transfer-Encoding: gzip\r\n\r\n"), 400},
        BadCase{"bad_chunk",
                Post("Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"
                     "0\r\n\r\n"),
                400},
        BadCase{"folded_header", Post("X-A: 1\r\n b\r\n\r\n"), 400},
        BadCase{"space_before_colon", Post("Content-Length : 2\r\n\r\nab"),
                400},
        BadCase{"head_with_body",
                "HEAD /call/a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", 400},
        BadCase{"not_a_path", "GET http://10.0.0.1/call/a HTTP/1.1\r\n\r\n",
                400},
        BadCase{"not_http", "hello\r\n\r\n", 400},
        BadCase{"too_long",
                Post("Content-Length: 1001\r\n\r\n") + std::string(1001, 'a'),
                413},
        BadCase{"too_many_chunks",
                Post("Transfer-Encoding: chunked\r\n\r\n") + "400\r\n" +
                    std::string(1024, 'a') + "\r\n0\r\n\r\n",
                413}),
    [](const auto& it) { return it.param.name; });

struct RespondCase {
  const char* name;
  Outcome outcome;
  Reason reason;
  int status;
};

class RespondTest : public CallerServerTest,
                    public testing::WithParamInterface<RespondCase> {};

// Guards against a status or header that contradicts the reducer's decision on
// whether the request ran.
TEST_P(RespondTest, StatusAndHeadersFollowTheDecision) {
  StartResponding(GetParam().outcome, GetParam().reason, 1500ms);
  const std::string got =
      Ask("GET /call/q HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(got.find("HTTP/1.1 " + std::to_string(GetParam().status)), 0u)
      << got;
  EXPECT_NE(got.find(GetParam().outcome == Outcome::kNotRun
                         ? "Baobab-Outcome: not-run\r\n"
                         : "Baobab-Outcome: unknown\r\n"),
            std::string::npos)
      << got;
  EXPECT_NE(got.find("Baobab-Request: n1-5-1\r\n"), std::string::npos);
  EXPECT_NE(got.find("Retry-After: 2\r\n"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Decisions,
    RespondTest,
    testing::Values(
        RespondCase{"limit", Outcome::kNotRun, Reason::kOverLimit, 429},
        RespondCase{"quota", Outcome::kNotRun, Reason::kOverQuota, 429},
        RespondCase{"queue", Outcome::kNotRun, Reason::kUnknownQueue, 404},
        RespondCase{"bad_key", Outcome::kNotRun, Reason::kBadKey, 400},
        RespondCase{"late", Outcome::kNotRun, Reason::kDeadlinePassed, 503},
        RespondCase{"stopping", Outcome::kNotRun, Reason::kStopping, 503},
        RespondCase{"lost", Outcome::kUnknown, Reason::kAnswerLost, 502},
        RespondCase{"busy_key", Outcome::kUnknown, Reason::kKeyInProgress, 409},
        RespondCase{"no_key", Outcome::kUnknown, Reason::kKeyUnresolved, 502}),
    [](const auto& it) { return it.param.name; });

// Guards against 502 instead of 504 after a timeout; callers treat them
// differently.
TEST_F(CallerServerTest, LostAnswerAfterTimeoutIs504) {
  RawServer minion(
      [](RawSocket& socket, int) { socket.ReceiveUntil("never"); });
  Start([&](const EventBody& body) {
    if (const auto* it = std::get_if<RequestArrived>(&body)) {
      server_->Execute(
          StartAttempt{{it->id, 1}, MinionId("m1"), minion.address(), 100ms});
    } else if (const auto* end = std::get_if<AttemptFinished>(&body)) {
      EXPECT_EQ(end->result, AttemptResult::kUnknown);
      server_->Execute(Respond{end->attempt.request, Outcome::kUnknown,
                               Reason::kAnswerLost, 0s});
    }
  });
  EXPECT_EQ(Ask("GET /call/q HTTP/1.1\r\nConnection: close\r\n\r\n")
                .find("HTTP/1.1 504"),
            0u);
}

// Guards against delivering the answer of another attempt.
TEST_F(CallerServerTest, AnswerOfAnotherAttemptIsNotDelivered) {
  RawServer minion(EchoMinion());
  Start([&](const EventBody& body) {
    if (const auto* it = std::get_if<RequestArrived>(&body)) {
      server_->Execute(
          StartAttempt{{it->id, 1}, MinionId("m1"), minion.address(), 5s});
    } else if (const auto* end = std::get_if<AttemptFinished>(&body)) {
      server_->Execute(DeliverAnswer{{end->attempt.request, 2}});
    }
  });
  const std::string got =
      Ask("GET /call/q HTTP/1.1\r\nX-Say: secret\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(got.find("HTTP/1.1 502"), 0u) << got;
  EXPECT_EQ(got.find("secret"), std::string::npos);
}

// Guards against urgent requests left unread while a flood of batch requests
// holds all threads, and against a flood that is queued instead of refused.
TEST_F(CallerServerTest, UrgentRequestIsReadDuringAFlood) {
  options_.threads = 32;
  StartForwarding("127.0.0.1:1");
  server_.reset();
  Start([&](const EventBody& body) {
    const auto* it = std::get_if<RequestArrived>(&body);
    if (it != nullptr && it->queue == QueueId("urgent")) {
      server_->Execute(
          Respond{it->id, Outcome::kNotRun, Reason::kNoMinion, 0s});
    }
  });
  std::vector<std::unique_ptr<RawSocket>> flood;
  for (int n = 0; n < 300; ++n) {
    flood.push_back(std::make_unique<RawSocket>(server_->port()));
    flood.back()->Send("GET /call/batch HTTP/1.1\r\n\r\n");
  }
  const SocketTime start = SocketClock::now();
  const std::string got =
      Ask("GET /call/urgent HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto took = SocketClock::now() - start;
  EXPECT_NE(got.find("Baobab-Reason: no-minion"), std::string::npos) << got;
  EXPECT_LT(took, 1s);
  std::cout << "urgent request answered after "
            << std::chrono::duration<double, std::milli>(took).count()
            << " ms\n";
  // Half of the threads hold requests; all other requests were refused.
  ASSERT_TRUE(WaitUntil([&] {
    return CounterValue(metrics_, "front_refused_thread_share") +
               CounterValue(metrics_, "front_refused_no_thread") ==
           300 - 16;
  }));
  EXPECT_EQ(sink_.All<RequestArrived>().size(), 17u);
  const std::string refused = flood.back()->ReceiveUntil("\r\n\r\n");
  EXPECT_NE(refused.find("Baobab-Outcome: not-run"), std::string::npos);
  flood.clear();
  ASSERT_TRUE(sink_.WaitFor<RequestAbandoned>(16));
  for (const RequestArrived& it : sink_.All<RequestArrived>()) {
    server_->Execute(Respond{it.id, Outcome::kNotRun, Reason::kAbandoned, 0s});
  }
}

// Guards against idle connections that hold threads of the server.
TEST_F(CallerServerTest, IdleConnectionsAreClosedSoon) {
  options_.idle_timeout = 50ms;
  StartResponding(Outcome::kNotRun, Reason::kNoMinion, 0s);
  RawSocket silent(server_->port());
  RawSocket kept(server_->port());
  kept.Send("GET /call/q HTTP/1.1\r\n\r\n");
  EXPECT_NE(kept.ReceiveUntil("}\n").find("503"), std::string::npos);
  kept.Send("GET /call/q HTTP/1.1\r\n\r\n");
  EXPECT_NE(kept.ReceiveAll().find("503"), std::string::npos);
  EXPECT_EQ(silent.ReceiveAll(), "");
}

// Guards against a caller that never sends the rest of its request.
TEST_F(CallerServerTest, UnfinishedRequestEndsAtTheReadTimeout) {
  options_.read_timeout = 100ms;
  Start(nullptr);
  const SocketTime start = SocketClock::now();
  const std::string got = Ask(Post("Content-Length: 5\r\n\r\nab"));
  EXPECT_EQ(got.find("HTTP/1.1 400"), 0u) << got;
  EXPECT_LT(SocketClock::now() - start, 5s);
  EXPECT_TRUE(sink_.All<RequestArrived>().empty());
}

// Guards against a slot held forever by an attempt whose request has ended.
TEST_F(CallerServerTest, StartWithoutCallerIsNotSent) {
  Start(nullptr);
  server_->Execute(
      StartAttempt{{RequestId(77), 1}, MinionId("m1"), "127.0.0.1:1", 5s});
  const auto ends = sink_.All<AttemptFinished>();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].result, AttemptResult::kNotSent);
}

// Guards against answers lost in a graceful stop: /healthz reports 503 to the
// load balancer first, and an answer in flight is delivered.
TEST_F(CallerServerTest, StopDeliversAnswersInFlight) {
  std::atomic<bool> answer = false;
  RawServer minion([&](RawSocket& socket, int) {
    socket.ReceiveUntil("\r\n\r\n");
    WaitUntil([&] { return answer.load(); });
    socket.Send(
        "HTTP/1.1 200 OK\r\nBaobab-Request: n1-5-1-1\r\n"
        "Content-Length: 4\r\n\r\nlast");
  });
  StartForwarding(minion.address());
  const std::string healthz =
      "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
  EXPECT_EQ(Ask(healthz).find("HTTP/1.1 200"), 0u);
  ready_ = false;
  EXPECT_EQ(Ask(healthz).find("HTTP/1.1 503"), 0u);
  ready_ = true;
  RawSocket caller(server_->port());
  caller.Send("GET /call/q HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(sink_.WaitFor<RequestArrived>(1));
  server_->AnnounceStop();
  EXPECT_EQ(Ask(healthz).find("HTTP/1.1 503"), 0u);
  std::thread stopper([&] { server_->Stop(); });
  answer = true;
  const std::string got = caller.ReceiveAll();
  stopper.join();
  EXPECT_TRUE(got.ends_with("\r\n\r\nlast")) << got;
}

// Guards against changes in the format of issued keys and stored answers.
TEST_F(CallerServerTest, KeysAndKeptAnswers) {
  Start([&](const EventBody& body) {
    if (const auto* it = std::get_if<KeyRequested>(&body)) {
      server_->Execute(IssueKey{it->id, "n1.5.9"});
    } else if (const auto* arrived = std::get_if<RequestArrived>(&body)) {
      server_->Execute(
          DeliverStoredAnswer{arrived->id, {201, "application/json", "{}"}});
    }
  });
  const std::string key = Ask(
      "POST /keys HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(key.find("HTTP/1.1 201"), 0u) << key;
  EXPECT_NE(key.find("Idempotency-Key: n1.5.9\r\n"), std::string::npos);
  const std::string kept =
      Ask(Post("Idempotency-Key: n1.5.9\r\nConnection: close\r\n\r\n"));
  EXPECT_EQ(kept.find("HTTP/1.1 201"), 0u) << kept;
  EXPECT_TRUE(kept.ends_with("\r\n\r\n{}"));
  const auto arrived = sink_.All<RequestArrived>();
  ASSERT_EQ(arrived.size(), 1u);
  EXPECT_EQ(arrived[0].key, "n1.5.9");
  EXPECT_FALSE(arrived[0].idempotent);
}

// Guards against two processes that share a port and split the callers.
TEST_F(CallerServerTest, PortInUseIsAnError) {
  Start(nullptr);
  CallerServerOptions options = options_;
  options.endpoint.port = server_->port();
  CallerServer second(options, backend_, metrics_, sink_.MakePostEvent(),
                      [] { return true; });
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().message, "Address already in use");
}

}  // namespace
}  // namespace baobab
