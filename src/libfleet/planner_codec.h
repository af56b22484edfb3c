#ifndef SRC_LIBFLEET_PLANNER_CODEC_H_
#define SRC_LIBFLEET_PLANNER_CODEC_H_

#include <nlohmann/json.hpp>

#include "libjobs/outlook.h"

namespace baobab {

// Forms of what planner and owners tell each other. Reading throws
// nlohmann::json::exception on values of another shape.

nlohmann::json HostPlanToJson(const HostPlan& plan);
HostPlan HostPlanFromJson(const nlohmann::json& json);
nlohmann::json PoolUsageToJson(const PoolOutlook& usage);
PoolOutlook PoolUsageFromJson(const nlohmann::json& json);

}  // namespace baobab

#endif  // SRC_LIBFLEET_PLANNER_CODEC_H_
