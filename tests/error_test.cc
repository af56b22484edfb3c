#include "libbase/base.h"

#include <gtest/gtest.h>

namespace baobab {
namespace {

struct ErrorCase {
  Error error;
  std::string text;
};

class ErrorTest : public testing::TestWithParam<ErrorCase> {};

// Guards against error texts that omit the step or the peer.
TEST_P(ErrorTest, TextNamesStepAndPeer) {
  EXPECT_EQ(ToString(GetParam().error), GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    Errors,
    ErrorTest,
    testing::Values(
        ErrorCase{{"append record", "10.0.0.1:80", "connection refused"},
                  "append record (10.0.0.1:80): connection refused"},
        ErrorCase{{"read table", "", "empty file"}, "read table: empty file"}));

}  // namespace
}  // namespace baobab
