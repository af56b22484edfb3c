#ifndef SRC_LIBFLEET_OUTLOOK_CODEC_H_
#define SRC_LIBFLEET_OUTLOOK_CODEC_H_

#include <nlohmann/json.hpp>

#include "libjobs/pool_usage.h"

namespace baobab {

// Forms of what planner and owners tell each other. Reading throws
// nlohmann::json::exception on values of another shape.

nlohmann::json PlanToJson(const HostPlan& plan);
HostPlan PlanFromJson(const nlohmann::json& json);
nlohmann::json OutlookToJson(const PoolUsage& outlook);
PoolUsage OutlookFromJson(const nlohmann::json& json);

}  // namespace baobab

#endif  // SRC_LIBFLEET_OUTLOOK_CODEC_H_
