#include <httplib.h>

#include "process_fixture.h"

namespace baobab {
namespace {

enum class Lie {
  kNone,
  kRunTwice,
  kRunAndSayNotRun,
  kForeignAnswer,
  kNoOutcome,
  kDoneWithoutRun,
  kCut,
  kMinionForeign,
};

struct LieCase {
  std::string name;
  Lie lie;
  /** The count that must be above 0; empty if all must be 0. */
  std::string count;
};

/** A node with a fault: passes requests to one minion and breaks an invariant
 * in one of four answers. */
class LyingNode {
 public:
  LyingNode(int minion, Lie lie) : minion_(minion), lie_(lie) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(32); };
    server_.Get("/healthz", [](const auto&, auto& out) {
      out.set_content("ok", "text/plain");
    });
    const auto pass = [this](const auto& in, auto& out) { Pass(in, out); };
    server_.Get("/call/.*", pass);
    server_.Post("/call/.*", pass);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~LyingNode() {
    server_.stop();
    thread_.join();
  }

  int port() const { return port_; }

 private:
  void Pass(const httplib::Request& in, httplib::Response& out) {
    const Lie lie = ++requests_ % 4 == 0 ? lie_ : Lie::kNone;
    httplib::Request request;
    request.method = in.method;
    request.path = in.path;
    request.headers = {{"X-Test-Id", in.get_header_value("X-Test-Id")},
                       {"X-Run-Ms", "1"},
                       {"Baobab-Request", "lying-1-1-1"}};
    httplib::Client client("127.0.0.1", minion_);
    for (int n = 0; n < (lie == Lie::kRunTwice ? 2 : 1); ++n) {
      if (lie != Lie::kDoneWithoutRun) {
        const auto answer = client.send(request);
        out.body = answer ? answer->body : "";
      }
    }
    if (lie == Lie::kDoneWithoutRun) {
      out.body =
          nlohmann::json{{"test_id", in.get_header_value("X-Test-Id")}}.dump();
    }
    if (lie == Lie::kForeignAnswer) {
      out.body = R"({"test_id":"load-other-1.1"})";
    }
    if (lie == Lie::kCut) {
      out.body.clear();
      out.set_content_provider(100, "text/plain", [](auto, auto, auto& sink) {
        sink.write("half", 4);
        return false;
      });
    }
    if (lie == Lie::kRunAndSayNotRun) {
      out.status = 503;
      out.set_header("Baobab-Outcome", "not-run");
    } else if (lie != Lie::kNoOutcome) {
      out.set_header("Baobab-Outcome", "done");
    }
  }

  int minion_;
  Lie lie_;
  std::atomic<int> requests_ = 0;
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

class LoadOracleTest : public testing::TestWithParam<LieCase> {};

// Guards against an oracle that passes a system which breaks an invariant.
TEST_P(LoadOracleTest, CountsBrokenInvariant) {
  Process minions("minions", {"standins", "minions", "--id", "m", "--service",
                              "s", "--count", "1"});
  const std::vector<int> ports = minions.ReadPorts();
  if (GetParam().lie == Lie::kMinionForeign) {
    SetFaults(ports[0], {{"foreign", 0.25}});
  }
  LyingNode node(ports[0], GetParam().lie);
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
        LieCase{"Honest", Lie::kNone, ""},
        LieCase{"RunTwice", Lie::kRunTwice, "duplicates"},
        LieCase{"RunAndSayNotRun", Lie::kRunAndSayNotRun, "false_not_run"},
        LieCase{"ForeignAnswer", Lie::kForeignAnswer, "foreign_answers"},
        LieCase{"NoOutcome", Lie::kNoOutcome, "unlabelled_answers"},
        LieCase{"DoneWithoutRun", Lie::kDoneWithoutRun,
                "done_but_not_executed"},
        LieCase{"Cut", Lie::kCut, "cut_answers"},
        LieCase{"MinionForeign", Lie::kMinionForeign, "foreign_answers"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace baobab
