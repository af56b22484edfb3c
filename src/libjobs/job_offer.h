#ifndef SRC_LIBJOBS_JOB_OFFER_H_
#define SRC_LIBJOBS_JOB_OFFER_H_

#include <vector>

#include "libjobs/stored_job.h"

namespace baobab {

/** A job that one cell hands over to another, with its records. */
struct JobOffer {
  JobId job;
  /** How often the job was handed over, with this time; tells a late offer from
   * a newer one. */
  int number = 0;
  std::vector<StoredRecord> records;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_JOB_OFFER_H_
