#ifndef SRC_LIBNET_NET_H_
#define SRC_LIBNET_NET_H_

// Public header of libnet: a node's servers, clients and peer links.

#include "libnet/backend_client.h"
#include "libnet/caller_server.h"
#include "libnet/command_waiter.h"
#include "libnet/control_server.h"
#include "libnet/host_list_reader.h"
#include "libnet/log_appender.h"
#include "libnet/log_reader.h"
#include "libnet/peer_links.h"
#include "libnet/prober.h"

#endif  // SRC_LIBNET_NET_H_
