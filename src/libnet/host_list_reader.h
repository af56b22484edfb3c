#ifndef SRC_LIBNET_HOST_LIST_READER_H_
#define SRC_LIBNET_HOST_LIST_READER_H_

#include "libnet/post_event.h"
#include "libnet/sockets.h"
#include "libnet/stoppable_thread.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** Polls the platform's host list and posts HostListRead. After a failed read,
 * which is logged and counted, the node keeps its current list. */
class HostListReader {
 public:
  HostListReader(Endpoint endpoint,
                 Duration interval,
                 Metrics& metrics,
                 PostEvent post);

  void Start();
  void Stop() { thread_.Stop(); }

 private:
  void Run();
  /** Errors: the host list service is unreachable or its response invalid. */
  Result<void> ReadOnce();

  Endpoint endpoint_;
  Duration interval_;
  Metrics& metrics_;
  PostEvent post_;
  StoppableThread thread_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_HOST_LIST_READER_H_
