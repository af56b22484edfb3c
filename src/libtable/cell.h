#ifndef SRC_LIBTABLE_CELL_H_
#define SRC_LIBTABLE_CELL_H_

#include <compare>
#include <string>

namespace baobab {

/** Reference to a cell by sheet ("queues"), row key ("booking") and column. The
 * first column of a sheet holds the row key itself. */
struct CellRef {
  std::string sheet;
  std::string row;
  std::string column;

  auto operator<=>(const CellRef&) const = default;
};

/** Change of one cell. Changing the key column from "" to the row key adds the
 * row; changing it to "" removes the row. */
struct CellChange {
  CellRef cell;
  std::string old_value;
  std::string new_value;

  bool operator==(const CellChange&) const = default;
};

/** A cell that breaks a rule. */
struct CellFault {
  CellRef cell;
  std::string value;
  /** The violated rule, for example "weight: 1 to 1000". */
  std::string rule;

  bool operator==(const CellFault&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBTABLE_CELL_H_
