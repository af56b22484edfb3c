#include "baobabfront/node_actor.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include <caf/actor_clock.hpp>
#include <caf/actor_system.hpp>
#include <caf/scheduler/abstract_coordinator.hpp>

namespace baobab {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);

// Names of the alternatives of EventBody, in their order.
constexpr std::array<std::string_view, std::variant_size_v<EventBody>>
    kEventNames = {"tick",
                   "request_arrived",
                   "request_abandoned",
                   "key_requested",
                   "attempt_finished",
                   "probe_finished",
                   "host_list_read",
                   "log_read",
                   "log_read_failed",
                   "append_finished",
                   "peer_message_received",
                   "peer_lost",
                   "edit_submitted",
                   "table_requested",
                   "history_requested",
                   "status_requested",
                   "stop_requested"};

// Kinds that come with each request are only on the time line; one log line
// per request would cost more than the request's routing.
bool IsRoutine(std::string_view kind) {
  return kind.starts_with("request-") || kind.starts_with("attempt-") ||
         kind.starts_with("key-");
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Time ToTime(caf::actor_clock::time_point at) {
  return Time(std::chrono::duration_cast<Duration>(at.time_since_epoch()));
}

}  // namespace

Time NowOf(caf::actor_system& system) {
  return ToTime(system.scheduler().clock().now());
}

NodeActor::NodeActor(caf::actor_config& config, NodeActorParts parts)
    : caf::event_based_actor(config), parts_(std::move(parts)) {}

caf::behavior NodeActor::make_behavior() {
  delayed_send(this, kTickInterval, NodeTick{});
  return {
      [this](NodeInput& input) { Run(std::move(input.body)); },
      [this](const NodeTick&) {
        Run(Tick{});
        delayed_send(this, kTickInterval, NodeTick{});
      },
  };
}

void NodeActor::Run(EventBody body) {
  parts_.metrics->Count("events_" + std::string(kEventNames[body.index()]));
  last_ = std::max(last_, ToTime(clock().now()));
  const Event event{last_, WallMs(), std::move(body)};
  const auto start = std::chrono::steady_clock::now();
  const Effects effects = parts_.reduce(event);
  parts_.metrics->Observe(
      "reduce_seconds",
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count());
  for (const Effect& it : effects) {
    if (const auto* explain = std::get_if<WriteTimelineEntry>(&it)) {
      WriteExplanation(explain->entry, event.wall_ms);
    } else {
      parts_.execute(it);
    }
  }
}

void NodeActor::WriteExplanation(const TimelineEntry& entry,
                                 std::int64_t wall_ms) {
  parts_.timeline->Write(entry, wall_ms);
  parts_.metrics->Count("explained_" + entry.kind);
  if (IsRoutine(entry.kind)) {
    return;
  }
  const bool is_violation = entry.kind == "invariant-violated";
  Log(is_violation ? LogLevel::kError : LogLevel::kInfo, "node",
      "{} {}: {}{}{}", entry.kind, entry.subject, entry.detail,
      entry.cause.empty() ? "" : "; cause ", entry.cause);
}

}  // namespace baobab
