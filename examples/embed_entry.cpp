// Runs an entry inside this program until a line is entered.

#include "comfreydeck/comfreydeck.h"

#include <exception>
#include <iostream>
#include <string>

int main(int Argc, char **Argv) {
  comfreydeck::Init Options;
  if (Argc > 1)
    Options.SettingsFile = Argv[1];
  try {
    comfreydeck::EntryHandle Entry = comfreydeck::start(Options);
    std::cout << "running; press Enter to stop\n";
    std::string Line;
    std::getline(std::cin, Line);
    comfreydeck::stop(Entry);
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n";
    return 1;
  }
  return 0;
}
