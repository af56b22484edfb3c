#ifndef SRC_LIBNET_POST_EVENT_H_
#define SRC_LIBNET_POST_EVENT_H_

#include <functional>

#include "libdecision/decision.h"

namespace baobab {

/** Queues an event for the node actor. Thread-safe, never blocks. */
using PostEvent = std::function<void(EventBody)>;

}  // namespace baobab

#endif  // SRC_LIBNET_POST_EVENT_H_
