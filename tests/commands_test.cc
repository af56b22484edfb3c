#include "baobabfront/commands.h"

#include <cstdio>
#include <fstream>

#include <gtest/gtest.h>

#include "baobabfront/exit_code.h"

namespace baobab {
namespace {

/** Exit code and output of a command. */
struct CommandRun {
  int code = 0;
  std::string out;
  std::string err;
};

/** Parses `line` and runs the command in this process. */
CommandRun RunCommand(const std::string& line) {
  CLI::App app("test");
  app.require_subcommand(1);
  CommandAction action;
  AddSettingsCommand(app, action);
  AddTableCommand(app, action);
  AddStatusCommand(app, action);
  AddTimelineCommand(app, action);
  CommandRun run;
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  try {
    app.parse(line);
    run.code = action();
  } catch (const CLI::ParseError& error) {
    run.code = app.exit(error) == 0 ? kExitDone : kExitUsage;
  }
  std::fflush(stdout);
  run.out = testing::internal::GetCapturedStdout();
  run.err = testing::internal::GetCapturedStderr();
  return run;
}

std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path = testing::TempDir() + "commands_test_" + name;
  std::ofstream(path) << text;
  return path;
}

std::string TableText(const std::string& quota) {
  return "[pools]\npool,weight,limit,min_hosts,availability_budget\n\n"
         "[teams]\nteam,quota\ncounter," +
         quota +
         "\n\n[queues]\nqueue,service,team,pool,urgency,weight,limit,"
         "deadline_ms\n\n[hosts]\nhost,rack,data_centre,pool,maintenance\n";
}

struct UsageCase {
  std::string name;
  std::string line;
};

class UsageTest : public testing::TestWithParam<UsageCase> {};

// Guards against commands that accept incomplete or unknown arguments.
TEST_P(UsageTest, IsRefusedWithTheUsageCode) {
  const CommandRun run = RunCommand(GetParam().line);
  EXPECT_EQ(run.code, kExitUsage);
  EXPECT_FALSE(run.err.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Commands,
    UsageTest,
    testing::Values(
        UsageCase{"NoCommand", ""},
        UsageCase{"UnknownCommand", "tables"},
        UsageCase{"NoNode", "table get"},
        UsageCase{"HostName", "status --node entry1:8081"},
        UsageCase{"NoBase", "table apply f --author a --node 127.0.0.1:1"},
        UsageCase{"NoAuthor", "table apply f --base 1 --node 127.0.0.1:1"},
        UsageCase{"DiffOfOneFile",
                  "table diff " + WriteFile("one.csv", TableText("5"))},
        UsageCase{"NoTimelineFile", "timeline"}),
    [](const auto& it) { return it.param.name; });

// Guards against an invalid table that reaches the fleet because `table check`
// returned 0.
TEST(TableCommandTest, CheckNamesTheCellAndTheRule) {
  const auto good = WriteFile("good.csv", TableText("5"));
  const auto bad = WriteFile("bad.csv", TableText("many"));
  EXPECT_EQ(RunCommand("table check " + good).code, kExitDone);
  const CommandRun run = RunCommand("table check " + bad);
  EXPECT_EQ(run.code, kExitRefused);
  EXPECT_NE(run.err.find("teams/counter/quota: found \"many\""),
            std::string::npos)
      << run.err;
  EXPECT_EQ(RunCommand("table check /does/not/exist").code, kExitRefused);
}

TEST(TableCommandTest, DiffPrintsTheChangedCells) {
  const auto from = WriteFile("from.csv", TableText("5"));
  const auto to = WriteFile("to.csv", TableText("6"));
  const CommandRun run = RunCommand("table diff " + from + " " + to);
  EXPECT_EQ(run.code, kExitDone);
  EXPECT_EQ(run.out, "teams/counter/quota: 5 -> 6\n");
}

// Guards against an exit code that lets a script mistake an unreachable fleet
// for an applied edit.
TEST(TableCommandTest, UnreachableNodesAreUnclear) {
  const auto file = WriteFile("apply.csv", TableText("5"));
  // No process listens on port 1.
  const std::vector<std::string> lines = {
      "table get --node 127.0.0.1:1 --node 127.0.0.2:1",
      "table history --node 127.0.0.1:1", "status --node 127.0.0.1:1",
      "table apply " + file + " --base 1 --author a --node 127.0.0.1:1"};
  for (const auto& line : lines) {
    const CommandRun run = RunCommand(line);
    EXPECT_EQ(run.code, kExitUnclear) << line;
    EXPECT_NE(run.err.find("127.0.0.1:1): not reachable"), std::string::npos)
        << run.err;
  }
}

TEST(SettingsCommandTest, CheckPrintsAllFaults) {
  const auto path = WriteFile("bad.ini", "[node]\nid = a b\n[limits]\nx = 1\n");
  const CommandRun run = RunCommand("settings check " + path);
  EXPECT_EQ(run.code, kExitRefused);
  for (const char* part : {":2: node.id: found a b", ":4: limits.x",
                           "listen.peer: found missing key"}) {
    EXPECT_NE(run.err.find(part), std::string::npos) << run.err;
  }
}

// Guards against an unreadable file or line that hides all other entries.
TEST(TimelineCommandTest, PrintsWhatItCanReadAndReportsTheRest) {
  const auto path =
      WriteFile("one.timeline",
                "{\"node\":\"n1\",\"incarnation\":5,\"sequence\":1,\"clock\":3,"
                "\"wall_ms\":1796377918136,\"kind\":\"minion-out\",\"subject\":"
                "\"minion/m1\",\"cause\":\"\",\"detail\":\"3 failures\"}\ncut");
  const CommandRun run = RunCommand("timeline " + path + " /does/not/exist");
  EXPECT_EQ(run.code, kExitRefused);
  EXPECT_NE(run.out.find("2026-12-04 09:51:58.136Z"), std::string::npos)
      << run.out;
  EXPECT_NE(run.out.find("minion/m1: 3 failures"), std::string::npos);
  EXPECT_NE(run.err.find("1 lines are no entries"), std::string::npos);
  EXPECT_NE(run.err.find("/does/not/exist): cannot read"), std::string::npos);
}

}  // namespace
}  // namespace baobab
