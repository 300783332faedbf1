#ifndef COMFREYDECK_OPERATORS_TEXTTABLE_H
#define COMFREYDECK_OPERATORS_TEXTTABLE_H

#include <string>
#include <vector>

namespace comfreydeck::operators {

/// Rows of text under headings.
struct TextTable {
  std::vector<std::string> Columns;
  /// Each row has a cell for each column.
  std::vector<std::vector<std::string>> Rows;
};

/// The table with aligned columns, one line a row; an empty cell is a dash, and
/// whatever a terminal would act on is replaced. Thread-safe.
std::string format(const TextTable &Table);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_TEXTTABLE_H
