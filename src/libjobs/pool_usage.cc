#include "libjobs/pool_usage.h"

namespace baobab {

ServiceUsage& ServiceUsage::operator+=(const ServiceUsage& other) {
  cores += other.cores;
  used += other.used;
  late += other.late;
  long_running += other.long_running;
  waiting += other.waiting;
  waiting_late += other.waiting_late;
  workers += other.workers;
  refused += other.refused;
  missing_hosts += other.missing_hosts;
  missing_hosts_late += other.missing_hosts_late;
  arriving += other.arriving;
  return *this;
}

}  // namespace baobab
