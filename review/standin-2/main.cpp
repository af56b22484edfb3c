// Plays one case. Usage: world CASE ROOT TEMPORARY_FOLDER RECORD
// The variable TROUBLE=0 leaves the disruption out.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "cases.h"

namespace review2 {
namespace {

int Play(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: world CASE ROOT FOLDER RECORD\n");
    return kNotPlayed;
  }
  const std::map<std::string, int (*)(World&, bool)> cases = {
      {"odd-entry", OddEntry},
      {"late-start", LateStart},
      {"gang-done", GangDone},
      {"former-start", FormerStart},
      {"soak", Soak}};
  const auto found = cases.find(argv[1]);
  if (found == cases.end()) {
    std::fprintf(stderr, "no case %s\n", argv[1]);
    return kNotPlayed;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = !trouble || std::string(trouble) != "0";
  auto& world = *new World(argv[2], argv[3], argv[4]);
  world.record.Line("case %s, %s", argv[1],
                    with_trouble ? "with its disruption" : "TROUBLE=0");
  const int result = found->second(world, with_trouble);
  world.StopNodes();
  world.record.Line("result %d (%s)", result,
                    result == kHeld     ? "the rule held"
                    : result == kBroken ? "the rule was broken"
                                        : "the case could not be played");
  std::printf("%s: %d\n", argv[1], result);
  std::fflush(stdout);
  std::_Exit(result);
}

}  // namespace
}  // namespace review2

int main(int argc, char** argv) {
  return review2::Play(argc, argv);
}
