#include "operators/TextTable.h"

#include <algorithm>
#include <cctype>

namespace comfreydeck::operators {

namespace {

constexpr std::size_t ColumnGap = 2;

/// Returns the width of the text on a terminal: one column per code point, so
/// UTF-8 continuation bytes are not counted.
std::size_t widthOf(const std::string &Text) {
  constexpr unsigned ContinuationMask = 0xC0;
  constexpr unsigned Continuation = 0x80;
  auto Width = std::count_if(Text.begin(), Text.end(), [](unsigned char C) {
    return (C & ContinuationMask) != Continuation;
  });
  return static_cast<std::size_t>(Width);
}

std::string cellText(std::string Cell) {
  if (Cell.empty())
    return "-";
  for (char &C : Cell)
    if (std::iscntrl(static_cast<unsigned char>(C)) != 0)
      C = '?';
  return Cell;
}

std::string toUpper(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Text;
}

std::string line(const std::vector<std::string> &Cells,
                 const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t I = 0; I < Cells.size(); ++I) {
    Line += Cells[I];
    if (I + 1 < Cells.size())
      Line.append(Widths[I] + ColumnGap - widthOf(Cells[I]), ' ');
  }
  return Line + "\n";
}

} // namespace

std::string format(const TextTable &Table) {
  std::vector<std::vector<std::string>> Lines(1);
  for (const std::string &Column : Table.Columns)
    Lines[0].push_back(toUpper(Column));
  for (const std::vector<std::string> &Row : Table.Rows) {
    std::vector<std::string> Cells = Row;
    for (std::string &Cell : Cells)
      Cell = cellText(Cell);
    Lines.push_back(std::move(Cells));
  }
  std::vector<std::size_t> Widths(Table.Columns.size(), 0);
  for (const std::vector<std::string> &Cells : Lines)
    for (std::size_t I = 0; I < Cells.size(); ++I)
      Widths[I] = std::max(Widths[I], widthOf(Cells[I]));
  std::string Text;
  for (const std::vector<std::string> &Cells : Lines)
    Text += line(Cells, Widths);
  return Text;
}

} // namespace comfreydeck::operators
