#ifndef SRC_LIBTELEMETRY_TELEMETRY_H_
#define SRC_LIBTELEMETRY_TELEMETRY_H_

// Public header of libtelemetry: log lines, metrics and the time line.

#include "libtelemetry/log.h"
#include "libtelemetry/metrics.h"
#include "libtelemetry/timeline.h"

#endif  // SRC_LIBTELEMETRY_TELEMETRY_H_
