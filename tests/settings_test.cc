#include "libsettings/settings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

namespace baobab {
namespace {

/** Path of examples/node.ini, found from the source or the build directory. */
std::string ExamplePath() {
  for (auto it = std::filesystem::current_path();; it = it.parent_path()) {
    if (const auto path = it / "examples" / "node.ini";
        std::filesystem::exists(path) || it == it.parent_path()) {
      return path.string();
    }
  }
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/** Loads a copy of the example with `from` replaced by `to`. */
tl::expected<Settings, std::vector<SettingFault>> LoadModifiedExample(
    const std::string& from,
    const std::string& to) {
  std::string text = ReadAll(ExamplePath());
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  const std::string path = testing::TempDir() + "settings_test.ini";
  std::ofstream(path) << text;
  return LoadSettings(path);
}

// Guards against an example file, which operators copy, that does not load.
TEST(SettingsTest, ExampleLoads) {
  const auto settings = LoadSettings(ExamplePath());
  ASSERT_TRUE(settings.has_value()) << ToString(settings.error().front());
  EXPECT_EQ(settings->node.id, NodeId("lag1-n1"));
  EXPECT_EQ(settings->control, (Address{"127.0.0.1", 8081}));
  EXPECT_EQ(settings->node.log_retention, std::chrono::hours(24));
  EXPECT_EQ(settings->node.request_timeout, std::chrono::seconds(30));
  EXPECT_EQ(settings->max_body, Bytes(1 << 20));
  EXPECT_EQ(settings->timeline_path, "");
  ASSERT_EQ(settings->peers.size(), 3U);
  ASSERT_EQ(settings->node.peers.size(), 3U);
  EXPECT_EQ(settings->peers[1].data_centre, DataCentreId("lag2"));
  EXPECT_EQ(settings->peers[1].address, (Address{"127.0.0.3", 8082}));
}

struct FaultCase {
  std::string name;
  std::string from;
  std::string to;
  std::string key;
  std::string found;
  /** Whether the fault has a line number. */
  bool line = true;
};

class FaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against a faulty setting that is ignored or replaced by a default.
TEST_P(FaultTest, IsReportedAsTheOnlyFault) {
  const auto& it = GetParam();
  const auto settings = LoadModifiedExample(it.from, it.to);
  ASSERT_FALSE(settings.has_value());
  const SettingFault& fault = settings.error().front();
  EXPECT_EQ(settings.error().size(), 1U) << ToString(settings.error().back());
  EXPECT_EQ(fault.key, it.key);
  EXPECT_NE(fault.found.find(it.found), std::string::npos) << fault.found;
  EXPECT_FALSE(fault.allowed.empty());
  const std::string text = ReadAll(ExamplePath());
  const std::string above = text.substr(0, text.find(it.from));
  const auto line = std::count(above.begin(), above.end(), '\n') + 1;
  if (it.line) {
    EXPECT_GE(fault.line, line);
    EXPECT_LE(fault.line, line + 1);
  } else {
    EXPECT_EQ(fault.line, 0);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Settings,
    FaultTest,
    testing::Values(
        FaultCase{"UnknownSection", "[limits]", "[extra]\n[limits]", "extra",
                  "unknown section"},
        FaultCase{"UnknownKey", "backlog_mb = 16", "backlog_gb = 16",
                  "limits.backlog_gb", "unknown key"},
        FaultCase{"DuplicateKey", "log_level = info",
                  "log_level = info\nlog_level = debug", "observe.log_level",
                  "duplicate"},
        FaultCase{"MissingKey", "data_centre = lag1\n", "\n",
                  "node.data_centre", "missing", false},
        FaultCase{"WrongUnit", "request_timeout_ms = 30000",
                  "request_timeout_ms = 30s", "limits.request_timeout_ms",
                  "30s"},
        FaultCase{"BelowRange", "caller_threads = 256", "caller_threads = 0",
                  "limits.caller_threads", "0"},
        FaultCase{"AboveRange", "log_retention_hours = 24",
                  "log_retention_hours = 99999999999999999999",
                  "platform.log_retention_hours", "9999"},
        FaultCase{"NotANumber", "backlog_requests = 2000",
                  "backlog_requests =", "limits.backlog_requests", ""},
        FaultCase{"HostName", "host_list = 127.0.0.1:9001",
                  "host_list = hosts.internal:9001", "platform.host_list",
                  "hosts.internal:9001"},
        FaultCase{"NoPort", "control = 127.0.0.1:8081", "control = 127.0.0.1",
                  "listen.control", "127.0.0.1"},
        FaultCase{"PortOutOfRange", "control = 127.0.0.1:8081",
                  "control = 127.0.0.1:65536", "listen.control", "65536"},
        FaultCase{"PeerHostName", "lag1 127.0.0.2:8082", "lag1 n2:8082",
                  "peers.lag1-n2", "lag1 n2:8082"},
        FaultCase{"PeerWithoutDataCentre", "lag1 127.0.0.2:8082",
                  "127.0.0.2:8082", "peers.lag1-n2", "127.0.0.2:8082"},
        FaultCase{"OwnIdAmongPeers", "lag1-n2 = lag1", "lag1-n1 = lag1",
                  "peers.lag1-n1", "own id"},
        FaultCase{"DuplicatePeer", "lag3-n1 = lag3", "lag2-n1 = lag3",
                  "peers.lag2-n1", "duplicate"},
        FaultCase{"SharedAddress", "127.0.0.4:8082", "127.0.0.3:8082",
                  "peers.lag3-n1", "127.0.0.3:8082"},
        FaultCase{"DotInId", "id = lag1-n1", "id = lag1.n1", "node.id",
                  "lag1.n1"},
        FaultCase{"UnknownLevel", "log_level = info", "log_level = loud",
                  "observe.log_level", "loud"},
        FaultCase{"BodyAboveBacklog", "max_body_kb = 1024",
                  "max_body_kb = 65536", "limits.max_body_kb", "65536"},
        FaultCase{"NoKeyValueLine", "log_level = info", "log_level", "",
                  "log_level"},
        FaultCase{"LongLine", "log_level = info",
                  "log_level = info #" + std::string(400, 'x'), "",
                  "log_level"}),
    [](const auto& it) { return it.param.name; });

// Guards against reporting only the first fault, so that operators need one
// start for each fault.
TEST(SettingsTest, AllFaultsAreReportedInOneRun) {
  const std::string path = testing::TempDir() + "settings_test_many.ini";
  std::ofstream(path) << "[node]\nid = a b\nnonsense\n[listen]\nport = 80\n"
                         "[x]\ny = 1\nmore nonsense\n";
  const auto settings = LoadSettings(path);
  ASSERT_FALSE(settings.has_value());
  std::vector<std::pair<int, std::string>> found;
  for (const auto& it : settings.error()) {
    found.emplace_back(it.line, it.key);
  }
  EXPECT_EQ(found, (std::vector<std::pair<int, std::string>>{
                       {0, "node.data_centre"},
                       {0, "listen.caller"},
                       {0, "listen.control"},
                       {0, "listen.peer"},
                       {0, "platform.log_service"},
                       {0, "platform.host_list"},
                       {2, "node.id"},
                       {3, ""},
                       {5, "listen.port"},
                       {6, "x"},
                       {8, ""}}));
}

TEST(SettingsTest, UnreadableFileIsAFault) {
  EXPECT_FALSE(LoadSettings("/does/not/exist.ini"));
  EXPECT_FALSE(LoadSettings("/"));
}

// Guards against formatted addresses that cannot be parsed again.
TEST(AddressTest, TextRoundTrips) {
  for (const char* text : {"127.0.0.1:1", "[::1]:65535"}) {
    const auto address = ParseAddress(text);
    ASSERT_TRUE(address.has_value()) << text;
    EXPECT_EQ(ToString(*address), text);
  }
  for (const char* text : {"", ":1", "::1:80", "[::1]", "127.0.0.1:", "1:2:3",
                           "127.0.0.1:+1", "127.0.0.1:80 ", "[1.2.3.4]:1"}) {
    EXPECT_FALSE(ParseAddress(text)) << text;
  }
}

}  // namespace
}  // namespace baobab
