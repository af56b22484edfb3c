#ifndef SRC_BAOBABFRONT_EDIT_PLAN_H_
#define SRC_BAOBABFRONT_EDIT_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libdecision/decision.h"

namespace baobab {

/** The cell changes of an operator's edit that are still to be submitted. */
struct EditPlan {
  /** Changes to submit; their old values are those of the base table. */
  std::vector<CellChange> changes;
  /** Number of changed cells that already have the desired value. */
  std::size_t already_applied = 0;
};

/**
 * Computes the changes from `base` to `desired` that are not yet in `current`.
 * A cell that another operator has changed since `base` stays in the plan, so
 * that the node rejects the edit with a conflict that names the other author.
 */
EditPlan PlanEdit(const Table& base,
                  const Table& desired,
                  const Table& current);

/**
 * Reconstructs an earlier version of the table by undoing later edits. Errors:
 * the version does not exist yet, or the history no longer reaches back to it.
 */
Result<Table> TableAtVersion(const TableReply& current,
                             const HistoryReply& history,
                             TableVersion version);

/** Returns a random id of 128 bits as 32 hexadecimal digits. */
EditId MakeEditId();

/** Formats a change as "queues/booking/limit: 8 -> 12"; an empty value is shown
 * as "". */
std::string ToString(const CellChange& change);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_EDIT_PLAN_H_
