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

/** Message to the node actor. */
struct NodeInput {
  EventBody body;
};

/** Message of the node actor to itself, each 50 ms. */
struct NodeTick {};

/** What the node actor works with. All must outlive it. */
struct NodeActorParts {
  /** The reducer, which owns the state. */
  std::function<Effects(const Event&)> reduce;
  /** Executes an effect; called in order, must not block. */
  std::function<void(const Effect&)> execute;
  Metrics* metrics = nullptr;
  Timeline* timeline = nullptr;
};

/** Runs the reducer on one event after the other. The time of an event is the
 * clock of the actor system, which tests can pause and advance. */
class NodeActor : public caf::event_based_actor {
 public:
  NodeActor(caf::actor_config& config, NodeActorParts parts);

  const char* name() const override { return "node"; }

 protected:
  caf::behavior make_behavior() override;

 private:
  void Run(EventBody body);
  void WriteExplanation(const TimelineEntry& entry, std::int64_t wall_ms);

  NodeActorParts parts_;
  Time last_;
};

/** Time of the actor system's clock. */
Time NowOf(caf::actor_system& system);

}  // namespace baobab

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(baobab::NodeInput)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(baobab::NodeTick)

#endif  // SRC_BAOBABFRONT_NODE_ACTOR_H_
