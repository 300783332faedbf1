#ifndef COMFREYDECK_OPERATORS_TEXTTABLE_H
#define COMFREYDECK_OPERATORS_TEXTTABLE_H

#include <string>
#include <vector>

namespace comfreydeck::operators {

/// A table of text with column headings.
struct TextTable {
  std::vector<std::string> Columns;
  /// Each row has one cell per column.
  std::vector<std::vector<std::string>> Rows;
};

/// Formats the table with aligned columns, one line per row. An empty cell
/// becomes a dash, and control characters become question marks. Thread-safe.
std::string format(const TextTable &Table);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_TEXTTABLE_H
