#ifndef SRC_LIBFLEET_JOB_INTERFACE_H_
#define SRC_LIBFLEET_JOB_INTERFACE_H_

#include <string>

#include "libfleet/fleet_node.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** HTTP interface to jobs for operators, on the control port:
 *
 *     POST   /jobs/QUEUE/ID   submits a job
 *     GET    /jobs/QUEUE/ID   {"state":"running"}
 *     DELETE /jobs/QUEUE/ID   cancels it
 *     GET    /jobs/QUEUE      {"pending":3}
 *     GET    /status          shards, jobs and workers of this node
 *     GET    /metrics         counters and latencies
 *
 * Statuses: 200 done; 400 invalid request; 404 no such queue or job; 503 not
 * done, retry after Retry-After; 504 outcome unknown. */
class JobInterface {
 public:
  JobInterface(FleetNode& node, const Metrics& metrics)
      : node_(node), metrics_(metrics) {}

  void Serve(const HttpRequest& request, AsyncHttpServer::Responder respond);

 private:
  void ServeQueue(const QueuePolicy& queue, AsyncHttpServer::Responder respond);
  void ServeJob(const HttpRequest& request,
                const QueuePolicy& queue,
                const JobId& job,
                AsyncHttpServer::Responder respond);

  FleetNode& node_;
  const Metrics& metrics_;
};

/** Parses a job in the JSON format of this interface. Errors name the invalid
 * field. */
Result<JobSpec> ParseJobSpec(std::string_view body);

/** Returns the name of a state for callers, such as "running". */
const char* StateName(JobState state);

}  // namespace baobab

#endif  // SRC_LIBFLEET_JOB_INTERFACE_H_
