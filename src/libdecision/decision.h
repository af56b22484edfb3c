#ifndef SRC_LIBDECISION_DECISION_H_
#define SRC_LIBDECISION_DECISION_H_

// Public header of libdecision: Reduce() with its events, effects and state.

#include "libdecision/effect.h"
#include "libdecision/event.h"
#include "libdecision/peer_message.h"
#include "libdecision/platform.h"
#include "libdecision/record.h"
#include "libdecision/reducer.h"
#include "libdecision/report.h"

#endif  // SRC_LIBDECISION_DECISION_H_
