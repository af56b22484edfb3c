#ifndef SRC_BAOBABFRONT_NODE_ACTOR_H_
#define SRC_BAOBABFRONT_NODE_ACTOR_H_

#include <functional>

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/fwd.hpp>

#include "libdecision/decision.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** Message that passes an event to the node actor. */
struct NodeInput {
  EventBody body;
};

/** Timer message that the node actor sends to itself every 50 ms. */
struct NodeTick {};

/** Functions and objects that the node actor uses; all must outlive it. */
struct NodeActorDependencies {
  /** Applies an event to the node's state and returns the effects. */
  std::function<Effects(const Event&)> reduce;
  /** Executes one effect. Called in order of the effects; must not block. */
  std::function<void(const Effect&)> execute;
  Metrics* metrics = nullptr;
  Timeline* timeline = nullptr;
};

/**
 * Actor that passes events to the reducer one at a time. Events are stamped
 * with the actor system's clock, which tests can pause and advance.
 */
class NodeActor : public caf::event_based_actor {
 public:
  NodeActor(caf::actor_config& config, NodeActorDependencies dependencies);

  const char* name() const override { return "node"; }

 protected:
  caf::behavior make_behavior() override;

 private:
  void HandleEvent(EventBody body);
  void WriteToTimelineAndLog(const TimelineEntry& entry, std::int64_t wall_ms);

  NodeActorDependencies dependencies_;
  Time last_event_time_;
};

/** Returns the current time of the actor system's clock. */
Time ActorClockNow(caf::actor_system& system);

}  // namespace baobab

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(baobab::NodeInput)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(baobab::NodeTick)

#endif  // SRC_BAOBABFRONT_NODE_ACTOR_H_
