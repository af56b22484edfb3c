#include <httplib.h>

#include "process_fixture.h"

namespace baobab {
namespace {

/** How a faulty node, or a minion, violates an invariant. */
enum class Fault {
  kNone,
  kRunTwice,
  kRunAndReportNotRun,
  kForeignAnswer,
  kNoOutcome,
  kDoneWithoutRun,
  kCut,
  kMinionForeign,
};

struct FaultCase {
  std::string name;
  Fault fault;
  /** Kind of violation that must be counted; empty if none may be. */
  std::string count;
};

/** A simulated node that forwards requests to one minion and violates an
 * invariant in every fourth response. */
class FaultyNode {
 public:
  FaultyNode(int minion, Fault fault) : minion_(minion), fault_(fault) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(32); };
    server_.Get("/healthz", [](const auto&, auto& out) {
      out.set_content("ok", "text/plain");
    });
    const auto forward = [this](const auto& in, auto& out) {
      ForwardRequest(in, out);
    };
    server_.Get("/call/.*", forward);
    server_.Post("/call/.*", forward);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~FaultyNode() {
    server_.stop();
    thread_.join();
  }

  int port() const { return port_; }

 private:
  void ForwardRequest(const httplib::Request& in, httplib::Response& out) {
    const Fault fault = ++requests_ % 4 == 0 ? fault_ : Fault::kNone;
    httplib::Request request;
    request.method = in.method;
    request.path = in.path;
    request.headers = {{"X-Test-Id", in.get_header_value("X-Test-Id")},
                       {"X-Run-Ms", "1"},
                       {"Baobab-Request", "lying-1-1-1"}};
    httplib::Client client("127.0.0.1", minion_);
    for (int n = 0; n < (fault == Fault::kRunTwice ? 2 : 1); ++n) {
      if (fault != Fault::kDoneWithoutRun) {
        const auto answer = client.send(request);
        out.body = answer ? answer->body : "";
      }
    }
    if (fault == Fault::kDoneWithoutRun) {
      out.body =
          nlohmann::json{{"test_id", in.get_header_value("X-Test-Id")}}.dump();
    }
    if (fault == Fault::kForeignAnswer) {
      out.body = R"({"test_id":"load-other-1.1"})";
    }
    if (fault == Fault::kCut) {
      out.body.clear();
      out.set_content_provider(100, "text/plain", [](auto, auto, auto& sink) {
        sink.write("half", 4);
        return false;
      });
    }
    if (fault == Fault::kRunAndReportNotRun) {
      out.status = 503;
      out.set_header("Baobab-Outcome", "not-run");
    } else if (fault != Fault::kNoOutcome) {
      out.set_header("Baobab-Outcome", "done");
    }
  }

  int minion_;
  Fault fault_;
  std::atomic<int> requests_ = 0;
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

class LoadOracleTest : public testing::TestWithParam<FaultCase> {};

// Guards against an oracle that does not detect the violation of an invariant.
TEST_P(LoadOracleTest, CountsBrokenInvariant) {
  Process minions("minions", {"standins", "minions", "--id", "m", "--service",
                              "s", "--count", "1"});
  const std::vector<int> ports = minions.ReadPorts();
  if (GetParam().fault == Fault::kMinionForeign) {
    SetFaults(ports[0], {{"foreign", 0.25}});
  }
  FaultyNode node(ports[0], GetParam().fault);
  LoadProcess load("load", {node.port()}, ports,
                   {"--duration-s", "1", "--attempts", "1", "--queue",
                    "q:rate=60,run-ms=1,non-idempotent=1,callers=4"});
  const auto summary = load.Finish();
  ASSERT_TRUE(summary.is_object()) << load.Output();
  EXPECT_GT(summary["queues"]["q"]["requests"], 20);
  EXPECT_EQ(load.exit_status(), GetParam().count.empty() ? 0 : 1);
  for (const auto& [name, count] : summary["forbidden"].items()) {
    if (name == GetParam().count) {
      EXPECT_GT(count, 5) << name;
    } else {
      EXPECT_EQ(count, 0) << name;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Lies,
    LoadOracleTest,
    testing::Values(
        FaultCase{"Honest", Fault::kNone, ""},
        FaultCase{"RunTwice", Fault::kRunTwice, "duplicates"},
        FaultCase{"RunAndSayNotRun", Fault::kRunAndReportNotRun,
                  "false_not_run"},
        FaultCase{"ForeignAnswer", Fault::kForeignAnswer, "foreign_answers"},
        FaultCase{"NoOutcome", Fault::kNoOutcome, "unlabelled_answers"},
        FaultCase{"DoneWithoutRun", Fault::kDoneWithoutRun,
                  "done_but_not_executed"},
        FaultCase{"Cut", Fault::kCut, "cut_answers"},
        FaultCase{"MinionForeign", Fault::kMinionForeign, "foreign_answers"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace baobab
