#ifndef COMFREYDECK_ENTRY_STATUSBOARD_H
#define COMFREYDECK_ENTRY_STATUSBOARD_H

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// What operators read on one screen, section by section.
namespace comfreydeck::entry {

using StatusCell = std::variant<std::string, std::int64_t, double, bool>;

/// One table of the screen.
struct StatusTable {
  std::vector<std::string> Columns;
  /// Each row has a cell for each column.
  std::vector<std::vector<StatusCell>> Rows;
};

/// Makes a section from the present state. Called on the control thread.
using StatusProvider = std::function<StatusTable()>;

/// The sections of the status screen; each part adds its own.
class StatusBoard {
public:
  /// Sections come in the order of their adding. Before the entry starts.
  void add(std::string Name, StatusProvider Provider);

  /// All sections as a JSON list. On the control thread.
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
