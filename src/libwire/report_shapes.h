#ifndef SRC_LIBWIRE_REPORT_SHAPES_H_
#define SRC_LIBWIRE_REPORT_SHAPES_H_

#include "libwire/record_shapes.h"

namespace baobab {

template <>
struct EnumNames<EditState> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "in-force", "partly-in-force", "conflict",
      "faulty",   "not-accepted",    "unknown"};
};

template <>
struct Shape<QueueStatus> {
  static constexpr auto kFields =
      std::make_tuple(Field{"queue", &QueueStatus::queue},
                      Field{"waiting", &QueueStatus::waiting},
                      Field{"in_flight", &QueueStatus::in_flight},
                      Field{"done", &QueueStatus::done},
                      Field{"not_run", &QueueStatus::not_run},
                      Field{"unknown", &QueueStatus::unknown},
                      Field{"start_p50_us", &QueueStatus::start_p50},
                      Field{"start_p99_us", &QueueStatus::start_p99},
                      Field{"start_worst_us", &QueueStatus::start_worst});
};

template <>
struct Shape<MinionStatus> {
  static constexpr auto kFields =
      std::make_tuple(Field{"minion", &MinionStatus::minion},
                      Field{"service", &MinionStatus::service},
                      Field{"state", &MinionStatus::state},
                      Field{"owned", &MinionStatus::owned},
                      Field{"in_use", &MinionStatus::in_use});
};

template <>
struct Shape<PeerStatus> {
  static constexpr auto kFields =
      std::make_tuple(Field{"node", &PeerStatus::node},
                      Field{"in_view", &PeerStatus::in_view},
                      Field{"silent_us", &PeerStatus::silent},
                      Field{"version", &PeerStatus::version});
};

template <>
struct Shape<StatusReport> {
  static constexpr const char* kType = "status";
  static constexpr auto kFields = std::make_tuple(
      Field{"node", &StatusReport::node},
      Field{"incarnation", &StatusReport::incarnation},
      Field{"ready", &StatusReport::ready},
      Field{"log_fresh", &StatusReport::log_fresh},
      Field{"version", &StatusReport::version},
      Field{"next_offset", &StatusReport::next_offset},
      Field{"view", &StatusReport::view},
      Field{"term", &StatusReport::term},
      Field{"planner", &StatusReport::planner},
      Field{"queues", &StatusReport::queues},
      Field{"minions", &StatusReport::minions},
      Field{"peers", &StatusReport::peers},
      Field{"invariant_violations", &StatusReport::invariant_violations},
      Field{"void_records", &StatusReport::rejected_records});
};

template <>
struct Shape<CellConflict> {
  static constexpr auto kFields =
      std::make_tuple(Field{"cell", &CellConflict::cell},
                      Field{"expected", &CellConflict::expected},
                      Field{"present", &CellConflict::present},
                      Field{"changed_by", &CellConflict::changed_by},
                      Field{"changed_in", &CellConflict::changed_in});
};

template <>
struct Shape<CellFault> {
  static constexpr auto kFields =
      std::make_tuple(Field{"cell", &CellFault::cell},
                      Field{"value", &CellFault::value},
                      Field{"rule", &CellFault::rule});
};

template <>
struct Shape<EditReply> {
  static constexpr const char* kType = "edit";
  static constexpr auto kFields =
      std::make_tuple(Field{"state", &EditReply::state},
                      Field{"version", &EditReply::version},
                      Field{"pending", &EditReply::pending},
                      Field{"conflicts", &EditReply::conflicts},
                      Field{"faults", &EditReply::faults},
                      Field{"message", &EditReply::message});
};

template <>
struct Shape<HistoryEntry> {
  static constexpr auto kFields = std::make_tuple(
      Field{"version", &HistoryEntry::version},
      Field{"author", &HistoryEntry::author},
      Field{"changes", &HistoryEntry::changes},
      Field{"edited_wall_ms", &HistoryEntry::edited_wall_ms},
      Field{"in_force_wall_ms", &HistoryEntry::in_force_wall_ms});
};

template <>
struct Shape<HistoryReply> {
  static constexpr const char* kType = "history";
  static constexpr auto kFields =
      std::make_tuple(Field{"entries", &HistoryReply::entries});
};

template <>
struct Shape<Error> {
  static constexpr const char* kType = "error";
  static constexpr auto kFields =
      std::make_tuple(Field{"step", &Error::step},
                      Field{"peer", &Error::peer},
                      Field{"message", &Error::message});
};

}  // namespace baobab

#endif  // SRC_LIBWIRE_REPORT_SHAPES_H_
