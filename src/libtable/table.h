#ifndef SRC_LIBTABLE_TABLE_H_
#define SRC_LIBTABLE_TABLE_H_

// Public header of libtable: the operators' table, its rules and its edits.

#include "libtable/cell.h"
#include "libtable/rows.h"
#include "libtable/sheets.h"

#endif  // SRC_LIBTABLE_TABLE_H_
