#ifndef SRC_LIBNET_HOST_LIST_READER_H_
#define SRC_LIBNET_HOST_LIST_READER_H_

#include "libnet/post_event.h"
#include "libnet/sockets.h"
#include "libnet/stoppable_thread.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** Polls the platform's host list and posts HostListRead. A failed read is
 * logged and counted, and the node keeps the list it has. */
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
  Result<void> ReadOnce();

  Endpoint endpoint_;
  Duration interval_;
  Metrics& metrics_;
  PostEvent post_;
  StoppableThread thread_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_HOST_LIST_READER_H_
