// Faults of the stand-ins, on which the failure tests rely.

#include "process_fixture.h"

namespace baobab {
namespace {

using nlohmann::json;

/** Sends a request and returns status and body of the response; the status is 0
 * without a response. */
std::pair<int, json> Ask(int port,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body = "") {
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(std::chrono::seconds(1));
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  const auto answer = client.send(request);
  return {answer ? answer->status : 0,
          json::parse(answer ? answer->body : "", nullptr, false)};
}

// Guards against a log service that retains records above its limit, or that
// hides the gap from a reader.
TEST(ProcessStandinsTest, LogDropsOldRecords) {
  Process log("log", {"standins", "log", "--retain-count", "3"});
  const int port = log.ReadPorts()[0];
  for (int n = 0; n < 5; ++n) {
    const auto [status, answer] =
        Ask(port, "POST", "/append", "r" + std::to_string(n));
    EXPECT_EQ(answer, (json{{"offset", n}}));
  }
  const auto [gone, first] = Ask(port, "GET", "/read?from=1");
  EXPECT_EQ(gone, 410);
  EXPECT_EQ(first, (json{{"first", 2}}));
  const auto [status, read] = Ask(port, "GET", "/read?from=3&max=1");
  EXPECT_EQ(read, json::parse(R"({"first":2,"next":4,
                            "records":[{"offset":3,"body":"r3"}]})"));
}

// Guards against a lost response whose append is lost too. Tests that check
// that a retried append is applied once would then have no effect.
TEST(ProcessStandinsTest, LostAppendTakesEffect) {
  Process log("log", {"standins", "log"});
  const int port = log.ReadPorts()[0];
  SetFaults(port, {{"lose_answers", 1.0}});
  EXPECT_EQ(Ask(port, "POST", "/append", "lost").first, 0);
  const auto [status, read] = Ask(port, "GET", "/read?from=0");
  EXPECT_EQ(read.at("records").size(), 1);
}

// Guards against outages and rate limits that have no effect.
TEST(ProcessStandinsTest, LogRefuses) {
  Process log("log", {"standins", "log", "--appends-per-second", "5"});
  const int port = log.ReadPorts()[0];
  int refused = 0;
  for (int n = 0; n < 40; ++n) {
    refused += Ask(port, "POST", "/append", "x").first == 429 ? 1 : 0;
  }
  EXPECT_GE(refused, 10);
  SetFaults(port, {{"outage", "503"}});
  EXPECT_EQ(Ask(port, "GET", "/read?from=0").first, 503);
  SetFaults(port, {{"outage", "close"}});
  EXPECT_EQ(Ask(port, "GET", "/read?from=0").first, 0);
  SetFaults(port, {{"outage", "none"}});
  EXPECT_EQ(Ask(port, "GET", "/read?from=0").first, 200);
}

// Guards against a relay that closes the connections that it should silence, or
// that silences new connections too.
TEST(ProcessStandinsTest, RelaySilencesOpenConnectionsOnly) {
  Process minion("minion",
                 {"standins", "minion", "--id", "m", "--service", "s"});
  Process relay("relay", {"standins", "relay", "--target-port",
                          std::to_string(minion.ReadPorts()[0])});
  const std::vector<int> ports = relay.ReadPorts();
  httplib::Client client("127.0.0.1", ports[0]);
  client.set_keep_alive(true);
  client.set_read_timeout(std::chrono::milliseconds(500));
  ASSERT_TRUE(client.Get("/healthz"));
  SetFaults(ports[1], {{"silent", true}});
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_FALSE(client.Get("/healthz"));
  EXPECT_GE(std::chrono::steady_clock::now() - begin,
            std::chrono::milliseconds(450));
  EXPECT_EQ(Ask(ports[0], "GET", "/healthz").first, 200);
}

}  // namespace
}  // namespace baobab
