#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <ostream>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "platform/store_client.h"

namespace baobab::platform {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/** Exceeds the timeout of each call: at most 1 s for a waiting read, and a
 * margin of 2 s. */
constexpr Duration kLimit = milliseconds(4000);

struct HangCase {
  const char* name;
  /** The connections are not established; otherwise they are, and no call is
   * answered. */
  bool connects_hang;
};

void PrintTo(const HangCase& it, std::ostream* os) {
  *os << it.name;
}

class HangingStoreClientTest : public testing::TestWithParam<HangCase> {
 protected:
  void SetUp() override {
    acceptor.open(tcp::v4());
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen(GetParam().connects_hang ? 0 : 64);
    if (GetParam().connects_hang) {
      // Connections that are never accepted fill the backlog.
      for (int i = 0; i < 4; ++i) {
        auto& socket = backlog.emplace_back(loop);
        socket.async_connect(acceptor.local_endpoint(), [](const auto&) {});
      }
      loop.run_for(milliseconds(50));
      loop.restart();
    }
    settings.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  boost::asio::io_context loop;
  tcp::acceptor acceptor{loop};
  std::list<tcp::socket> backlog;
  AsyncHttpClient client{loop};
  StoreSettings settings;
};

// Guards against a call to a store that hangs which never ends, so that its
// caller waits for ever, or which seems to have succeeded.
TEST_P(HangingStoreClientTest, EachCallFailsInTime) {
  StoreClient store(loop, client, settings);
  std::map<std::string, bool> succeeded;
  const auto result = [&](const std::string& call) {
    return [&, call](const auto& it) { succeeded[call] = it.has_value(); };
  };
  const auto flag = [&](const std::string& call) {
    return [&, call](bool it) { succeeded[call] = it; };
  };
  const auto outcome = [&](const std::string& call) {
    return [&, call](AppendAnswer it) {
      succeeded[call] = it.outcome != AppendOutcome::kUnknown &&
                        it.outcome != AppendOutcome::kRefused;
    };
  };
  const ShardStream stream{ShardId(1)};
  const std::vector<StoredRecord> records = {{"key", "value"}};
  store.Join(1, result("join"));
  store.Leave(flag("leave"));
  store.ReadOwners(result("read owners"));
  store.Fence(stream, FenceToken(1), outcome("fence"));
  store.Load(ShardId(1), result("load"));
  store.ReadDivision(result("read division"));
  store.ExtendDivision(records, 0, outcome("extend division"));
  store.Append(stream, FenceToken(1), 1, records, milliseconds(600),
               outcome("append"));
  store.AwaitPublished(result("await published"));
  store.ReportWave({1, true}, flag("report wave"));
  store.ReadWorkers(result("read workers"));

  loop.run_for(kLimit);
  EXPECT_EQ(succeeded.size(), 11u);
  for (const auto& [call, success] : succeeded) {
    EXPECT_FALSE(success) << call;
  }
}

INSTANTIATE_TEST_SUITE_P(Stores,
                         HangingStoreClientTest,
                         testing::Values(HangCase{"NeverAnswers", false},
                                         HangCase{"ConnectHangs", true}),
                         [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab::platform
