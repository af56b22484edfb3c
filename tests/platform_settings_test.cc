#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "platform/platform_settings.h"

namespace baobab::platform {
namespace {

struct CoresCase {
  const char* name;
  /** Line of the [node] section; may be empty. */
  const char* line;
  /** Expected value; -1 if the settings are rejected. */
  int milli_cores;
};

class CoresTest : public testing::TestWithParam<CoresCase> {
 protected:
  Result<PlatformSettings> Load(const std::string& line) {
    const std::string path =
        testing::TempDir() + "settings-" + GetParam().name + ".ini";
    std::ofstream(path) << "[node]\nid = n\n"
                        << line
                        << "\n[listen]\ncaller = 10.0.0.1:1\n"
                           "ready = 10.0.0.1:2\ncontrol = 10.0.0.1:3\n"
                           "peer = 10.0.0.1:4\n"
                           "[platform]\nstore = 10.0.0.2:1\n"
                           "hosts = 10.0.0.2:2\n";
    auto settings = LoadPlatformSettings(path);
    std::remove(path.c_str());
    return settings;
  }
};

// Guards against a CPU share that is misread or silently ignored: it decides
// which nodes own the pools.
TEST_P(CoresTest, IsReadOrRefused) {
  const auto settings = Load(GetParam().line);
  ASSERT_EQ(settings.has_value(), GetParam().milli_cores >= 0);
  if (settings) {
    EXPECT_EQ(settings->node.milli_cores, GetParam().milli_cores);
    EXPECT_EQ(settings->store.member.milli_cores, GetParam().milli_cores);
    EXPECT_EQ(settings->store.member.peer_address, "10.0.0.1:4");
  } else {
    EXPECT_NE(ToString(settings.error()).find("node.cores"), std::string::npos);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    CoresTest,
    testing::Values(CoresCase{"Missing", "", 0},
                    CoresCase{"Small", "cores = 0.12", 120},
                    CoresCase{"Empty", "cores =", 0},
                    CoresCase{"Text", "cores = many", -1},
                    CoresCase{"Negative", "cores = -1", -1}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab::platform
