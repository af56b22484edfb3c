#ifndef SRC_LIBWIRE_RECORD_SHAPES_H_
#define SRC_LIBWIRE_RECORD_SHAPES_H_

#include "libdecision/decision.h"
#include "libwire/shape.h"

namespace baobab {

template <>
struct Shape<CellRef> {
  static constexpr auto kFields =
      std::make_tuple(Field{"sheet", &CellRef::sheet},
                      Field{"row", &CellRef::row},
                      Field{"column", &CellRef::column});
};

template <>
struct Shape<CellChange> {
  static constexpr auto kFields =
      std::make_tuple(Field{"cell", &CellChange::cell},
                      Field{"old", &CellChange::old_value},
                      Field{"new", &CellChange::new_value});
};

template <>
struct Shape<TableEdit> {
  static constexpr const char* kType = "table-edit";
  static constexpr auto kFields =
      std::make_tuple(Field{"id", &TableEdit::id},
                      Field{"author", &TableEdit::author},
                      Field{"base", &TableEdit::base},
                      Field{"changes", &TableEdit::changes});
};

template <>
struct Shape<PlannerClaim> {
  static constexpr const char* kType = "planner-claim";
  static constexpr auto kFields =
      std::make_tuple(Field{"term", &PlannerClaim::term});
};

template <>
struct Shape<ViewNode> {
  static constexpr auto kFields =
      std::make_tuple(Field{"id", &ViewNode::id},
                      Field{"data_centre", &ViewNode::data_centre});
};

template <>
struct Shape<ViewChange> {
  static constexpr const char* kType = "view-change";
  static constexpr auto kFields =
      std::make_tuple(Field{"term", &ViewChange::term},
                      Field{"number", &ViewChange::number},
                      Field{"nodes", &ViewChange::nodes});
};

template <>
struct Shape<VersionInForce> {
  static constexpr const char* kType = "version-in-force";
  static constexpr auto kFields =
      std::make_tuple(Field{"term", &VersionInForce::term},
                      Field{"version", &VersionInForce::version},
                      Field{"in_force_wall_ms", &VersionInForce::wall_ms});
};

template <>
struct Shape<SnapshotPart> {
  static constexpr const char* kType = "snapshot";
  // `text` may hold any bytes: a part may end in the middle of a character.
  static constexpr auto kFields =
      std::make_tuple(Field{"term", &SnapshotPart::term},
                      Field{"snapshot_id", &SnapshotPart::snapshot_id},
                      Field{"covers", &SnapshotPart::covers},
                      Field{"part", &SnapshotPart::part},
                      Field{"parts", &SnapshotPart::parts},
                      Field{"text", &SnapshotPart::text, true});

  static bool IsValid(const SnapshotPart& it) { return it.part < it.parts; }
};

template <>
struct Shape<UnknownRecord> {
  static constexpr const char* kType = "unknown";
  static constexpr auto kFields =
      std::make_tuple(Field{"reason", &UnknownRecord::reason});
};

template <>
struct Shape<WriterId> {
  static constexpr auto kFields =
      std::make_tuple(Field{"node", &WriterId::node},
                      Field{"incarnation", &WriterId::incarnation});
};

}  // namespace baobab

#endif  // SRC_LIBWIRE_RECORD_SHAPES_H_
