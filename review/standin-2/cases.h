// The cases of the review that are played by a script. Each returns 0 if the
// rule held, 1 if it was broken and 2 if the case could not be played.
#ifndef REVIEW_STANDIN_2_CASES_H_
#define REVIEW_STANDIN_2_CASES_H_

#include "world.h"

namespace review2 {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotPlayed = 2;

int OddEntry(World& world, bool trouble);
int LateStart(World& world, bool trouble);
int GangDone(World& world, bool trouble);
int FormerStart(World& world, bool trouble);
int Soak(World& world, bool trouble);

}  // namespace review2

#endif  // REVIEW_STANDIN_2_CASES_H_
