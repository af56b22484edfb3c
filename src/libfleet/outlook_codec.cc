#include "libfleet/outlook_codec.h"

#include <cstdint>
#include <string>

namespace baobab {

using Json = nlohmann::json;

Json PlanToJson(const HostPlan& plan) {
  Json reserved = Json::array();
  for (const auto& it : plan.reserved) {
    reserved.push_back(it.value());
  }
  Json arriving = Json::array();
  for (const auto& it : plan.arriving) {
    arriving.push_back(
        Json::array({it.service.value(), it.cores, it.in.count()}));
  }
  return Json::array({reserved, arriving});
}

HostPlan PlanFromJson(const Json& json) {
  HostPlan plan;
  for (const auto& it : json.at(0)) {
    plan.reserved.insert(HostId(it.get<std::string>()));
  }
  for (const auto& it : json.at(1)) {
    plan.arriving.push_back({ServiceId(it.at(0).get<std::string>()),
                             it.at(1).get<double>(),
                             Duration(it.at(2).get<std::int64_t>())});
  }
  return plan;
}

Json OutlookToJson(const PoolOutlook& outlook) {
  Json services = Json::array();
  for (const auto& it : outlook.services) {
    services.push_back(Json::array(
        {it.service.value(), it.cores, it.used, it.late, it.long_running,
         it.waiting, it.refused, it.hosts_lacking, it.arriving}));
  }
  Json hosts = Json::array();
  for (const auto& it : outlook.hosts) {
    hosts.push_back(
        Json::array({it.host.value(), it.worker.value(), it.service.value(),
                     it.empty, it.long_running, it.reserved, it.draining,
                     it.used, it.busy_for.count()}));
  }
  return Json::array({services, hosts});
}

PoolOutlook OutlookFromJson(const Json& json) {
  PoolOutlook outlook;
  for (const auto& it : json.at(0)) {
    outlook.services.push_back({ServiceId(it.at(0).get<std::string>()),
                                it.at(1).get<double>(), it.at(2).get<double>(),
                                it.at(3).get<double>(), it.at(4).get<double>(),
                                it.at(5).get<double>(), it.at(6).get<double>(),
                                it.at(7).get<int>(), it.at(8).get<double>()});
  }
  for (const auto& it : json.at(1)) {
    outlook.hosts.push_back(
        {HostId(it.at(0).get<std::string>()),
         WorkerId(it.at(1).get<std::string>()),
         ServiceId(it.at(2).get<std::string>()), it.at(3).get<bool>(),
         it.at(4).get<bool>(), it.at(5).get<bool>(), it.at(6).get<bool>(),
         it.at(7).get<double>(), Duration(it.at(8).get<std::int64_t>())});
  }
  return outlook;
}

}  // namespace baobab
