#ifndef SRC_BAOBABFRONT_EDIT_PLAN_H_
#define SRC_BAOBABFRONT_EDIT_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libdecision/decision.h"

namespace baobab {

/** What an operator changed, compared with the present table. */
struct EditPlan {
  /** Changes to submit, with the values of the base as old values. */
  std::vector<CellChange> changes;
  /** Changed cells that already hold the wanted value. */
  std::size_t already = 0;
};

/** The changes from `base` to `wanted` that `present` does not hold yet. A cell
 * that another operator changed since the base stays in the plan: the node
 * answers with a conflict that names who changed it. */
EditPlan PlanEdit(const Table& base, const Table& wanted, const Table& present);

/** The table as it was in a version, by undoing later edits. Errors: the
 * version does not exist yet, or the history no longer reaches back to it. */
Result<Table> TableAt(const TableReply& present,
                      const HistoryReply& history,
                      TableVersion version);

/** A random id of 128 bits. */
EditId MakeEditId();

/** "queues/booking/limit: 8 -> 12"; empty values are shown as "". */
std::string ToString(const CellChange& change);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_EDIT_PLAN_H_
