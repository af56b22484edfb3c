#ifndef SRC_LIBFLEET_PLANNER_CODEC_H_
#define SRC_LIBFLEET_PLANNER_CODEC_H_

#include <nlohmann/json.hpp>

#include "libjobs/pool_usage.h"

namespace baobab {

// JSON encoding of the messages between the host planner and the owners of
// shards. Decoding throws nlohmann::json::exception on malformed values.

nlohmann::json HostPlanToJson(const HostPlan& plan);
HostPlan HostPlanFromJson(const nlohmann::json& json);
nlohmann::json PoolUsageToJson(const PoolUsage& usage);
PoolUsage PoolUsageFromJson(const nlohmann::json& json);

}  // namespace baobab

#endif  // SRC_LIBFLEET_PLANNER_CODEC_H_
