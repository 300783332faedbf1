#ifndef COMFREYDECK_ENTRY_STATUSBOARD_H
#define COMFREYDECK_ENTRY_STATUSBOARD_H

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// The status page for operators.
namespace comfreydeck::entry {

using StatusCell = std::variant<std::string, std::int64_t, double, bool>;

/// The content of a section of the status page.
struct StatusTable {
  std::vector<std::string> Columns;
  /// Each row has a cell for each column.
  std::vector<std::vector<StatusCell>> Rows;
};

/// Builds a section from the current state. Called on the control thread.
using StatusProvider = std::function<StatusTable()>;

/// The sections of the status page; each component adds its own.
class StatusBoard {
public:
  /// Adds a section after those added before. Call before the entry starts.
  void add(std::string Name, StatusProvider Provider);

  /// All sections as a JSON array. Call on the control thread.
  std::string toJson() const;

private:
  struct Section {
    std::string Name;
    StatusProvider Provider;
  };

  std::vector<Section> Sections_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_STATUSBOARD_H
