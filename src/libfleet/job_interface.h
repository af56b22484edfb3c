#ifndef SRC_LIBFLEET_JOB_INTERFACE_H_
#define SRC_LIBFLEET_JOB_INTERFACE_H_

#include <string>

#include "libfleet/fleet_node.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** The product's own HTTP interface to jobs, on the control port:
 *
 *     POST   /jobs/QUEUE/ID   submits a job
 *     GET    /jobs/QUEUE/ID   {"state":"running"}
 *     DELETE /jobs/QUEUE/ID   cancels it
 *     GET    /jobs/QUEUE      {"pending":3}
 *     GET    /status          shards, jobs and workers of this node
 *     GET    /metrics         counters and latencies
 *
 * Statuses: 200 done; 400 the request is at fault; 404 no such queue or job;
 * 503 not done, come back after Retry-After; 504 it may have been done. */
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

/** Reads a job in the product's own names. Errors name the field at fault. */
Result<JobSpec> ParseJobSpec(std::string_view body);

/** Name of a state for callers, such as "running". */
const char* StateName(JobState state);

}  // namespace baobab

#endif  // SRC_LIBFLEET_JOB_INTERFACE_H_
