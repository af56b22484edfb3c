#ifndef SRC_LIBBASE_BASE_H_
#define SRC_LIBBASE_BASE_H_

// Public header of libbase: typed ids, units, time, errors and callbacks.

#include "libbase/callback_guard.h"
#include "libbase/error.h"
#include "libbase/ids.h"
#include "libbase/units.h"

#endif  // SRC_LIBBASE_BASE_H_
