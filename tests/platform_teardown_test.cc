#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libnet/async_http_server.h"
#include "platform/host_client.h"
#include "platform/store_client.h"

namespace baobab::platform {
namespace {

using std::chrono::milliseconds;

struct Clients {
  Clients(boost::asio::io_context& loop,
          AsyncHttpClient& client,
          const std::string& address)
      : store(loop, client, Settings(address)), hosts(client, address, "n1") {}

  static StoreSettings Settings(const std::string& address) {
    StoreSettings settings;
    settings.address = address;
    return settings;
  }

  StoreClient store;
  HostClient hosts;
};

struct ClientCall {
  const char* name;
  std::function<void(Clients&, std::function<void()> done)> begin;
};

class PlatformTeardownTest : public testing::TestWithParam<ClientCall> {};

// Guards against answers that a client of the platform handles after its end.
TEST_P(PlatformTeardownTest, DestroyedClientHandlesNoAnswer) {
  boost::asio::io_context loop;
  AsyncHttpClient client(loop);
  std::vector<AsyncHttpServer::Responder> held;
  AsyncHttpServer server(
      loop, [&](const HttpRequest&, AsyncHttpServer::Responder respond) {
        held.push_back(std::move(respond));
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).has_value());
  std::optional<Clients> clients(std::in_place, loop, client,
                                 "127.0.0.1:" + std::to_string(server.Port()));
  bool called = false;
  GetParam().begin(*clients, [&] { called = true; });
  while (held.empty()) {
    loop.run_one();
  }
  clients.reset();
  held.at(0)({200, {}, R"({"items":[],"has_more":false,"end_offset":3})"});
  loop.run_for(milliseconds(50));
  EXPECT_FALSE(called);
}

INSTANTIATE_TEST_SUITE_P(
    Calls,
    PlatformTeardownTest,
    testing::Values(
        ClientCall{"AwaitPublished",
                   [](Clients& it, std::function<void()> done) {
                     it.store.AwaitPublished(
                         [done = std::move(done)](const auto&) { done(); });
                   }},
        ClientCall{"ReadWorkers",
                   [](Clients& it, std::function<void()> done) {
                     it.store.ReadWorkers(
                         [done = std::move(done)](const auto&) { done(); });
                   }},
        ClientCall{"Load",
                   [](Clients& it, std::function<void()> done) {
                     it.store.Load(ShardId(1), [done = std::move(done)](
                                                   const auto&) { done(); });
                   }},
        ClientCall{"ListHosts",
                   [](Clients& it, std::function<void()> done) {
                     it.hosts.List(
                         [done = std::move(done)](const auto&) { done(); });
                   }}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab::platform
