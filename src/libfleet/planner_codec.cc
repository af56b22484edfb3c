#include "libfleet/planner_codec.h"

#include <cstdint>
#include <string>

namespace baobab {

using Json = nlohmann::json;

namespace {

Json ArrivingToJson(const ArrivingWork& work) {
  return Json::array({work.newest.jobs, work.newest.core_seconds,
                      work.previous.jobs, work.previous.core_seconds});
}

ArrivingWork ArrivingFromJson(const Json& json) {
  return {{json.at(0).get<int>(), json.at(1).get<double>()},
          {json.at(2).get<int>(), json.at(3).get<double>()}};
}

}  // namespace

Json HostPlanToJson(const HostPlan& plan) {
  Json reserved = Json::array();
  for (const auto& it : plan.reserved) {
    reserved.push_back(it.value());
  }
  Json arriving = Json::array();
  for (const auto& it : plan.arriving) {
    arriving.push_back(
        Json::array({it.service.value(), it.cores, it.arrives_in.count()}));
  }
  Json cells = Json::array();
  for (const auto& it : plan.cells) {
    cells.push_back(Json::array(
        {it.service.value(), it.cell.value(), it.free_cores, it.workers}));
  }
  return Json::array({reserved, arriving, cells, plan.planner.value()});
}

HostPlan HostPlanFromJson(const Json& json) {
  HostPlan plan;
  for (const auto& it : json.at(0)) {
    plan.reserved.insert(HostId(it.get<std::string>()));
  }
  for (const auto& it : json.at(1)) {
    plan.arriving.push_back({ServiceId(it.at(0).get<std::string>()),
                             it.at(1).get<double>(),
                             Duration(it.at(2).get<std::int64_t>())});
  }
  for (const auto& it : json.at(2)) {
    plan.cells.push_back({ServiceId(it.at(0).get<std::string>()),
                          ShardId(it.at(1).get<int>()), it.at(2).get<double>(),
                          it.size() > 3 ? it.at(3).get<int>() : 0});
  }
  // Planners of earlier versions send no token.
  if (json.size() > 3) {
    plan.planner = FenceToken(json.at(3).get<std::int64_t>());
  }
  return plan;
}

Json PoolUsageToJson(const PoolUsage& usage) {
  Json services = Json::array();
  for (const auto& it : usage.services) {
    services.push_back(Json::array(
        {it.service.value(), it.cores, it.used, it.late, it.long_running,
         it.waiting, it.refused, it.missing_hosts, it.arriving.ExpectedCores(),
         it.waiting_late, ArrivingToJson(it.arriving), it.missing_hosts_late,
         it.workers}));
  }
  Json hosts = Json::array();
  for (const auto& it : usage.hosts) {
    hosts.push_back(
        Json::array({it.host.value(), it.worker.value(), it.service.value(),
                     it.empty, it.long_running, it.reserved, it.draining,
                     it.used, it.busy_for.count(), it.awaited}));
  }
  return Json::array({services, hosts});
}

PoolUsage PoolUsageFromJson(const Json& json) {
  PoolUsage usage;
  for (const auto& it : json.at(0)) {
    ServiceUsage service;
    service.service = ServiceId(it.at(0).get<std::string>());
    service.cores = it.at(1).get<double>();
    service.used = it.at(2).get<double>();
    service.late = it.at(3).get<double>();
    service.long_running = it.at(4).get<double>();
    service.waiting = it.at(5).get<double>();
    service.refused = it.at(6).get<double>();
    service.missing_hosts = it.at(7).get<int>();
    // Element 8 is for planners of earlier versions; owners of these versions
    // do not report the rest.
    if (it.size() > 10) {
      service.waiting_late = it.at(9).get<double>();
      service.arriving = ArrivingFromJson(it.at(10));
    }
    if (it.size() > 11) {
      service.missing_hosts_late = it.at(11).get<int>();
    }
    if (it.size() > 12) {
      service.workers = it.at(12).get<int>();
    }
    usage.services.push_back(std::move(service));
  }
  for (const auto& it : json.at(1)) {
    usage.hosts.push_back(
        {HostId(it.at(0).get<std::string>()),
         WorkerId(it.at(1).get<std::string>()),
         ServiceId(it.at(2).get<std::string>()), it.at(3).get<bool>(),
         it.at(4).get<bool>(), it.at(5).get<bool>(), it.at(6).get<bool>(),
         it.at(7).get<double>(), Duration(it.at(8).get<std::int64_t>()),
         // Owners of earlier versions do not report it.
         it.size() > 9 && it.at(9).get<bool>()});
  }
  return usage;
}

}  // namespace baobab
