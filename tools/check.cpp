#include "standins/RunCheck.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

using namespace comfreydeck::standins;

namespace {

constexpr int ExitUnreadable = 2;

struct CheckArguments {
  std::string Workers;
  std::vector<std::string> Callers;
  std::string Operators;
  std::string Instances;
};

void readFile(const std::string &File, void (*Read)(std::istream &, Records &),
              Records &Into) {
  std::ifstream Stream(File);
  if (!Stream)
    throw std::runtime_error("can't read " + File);
  Read(Stream, Into);
}

Records readAll(const CheckArguments &A) {
  Records R;
  readFile(A.Workers, readWorkerLog, R);
  for (const std::string &File : A.Callers)
    readFile(File, readCallerLog, R);
  readFile(A.Operators, readOperatorLog, R);
  readFile(A.Instances, readInstances, R);
  return R;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Checks the logs of workers, callers and operators after a run");
  CheckArguments A;
  App.add_option("--workers", A.Workers, "The workers' log")->required();
  App.add_option("--callers", A.Callers, "The callers' logs")->required();
  App.add_option("--operators", A.Operators, "The operators' log")->required();
  App.add_option("--instances", A.Instances, "The instance list")->required();
  CLI11_PARSE(App, Argc, Argv);
  try {
    Counts Out = countViolations(readAll(A));
    std::cout << report(Out) << "\n";
    return hasNoViolations(Out) ? 0 : 1;
  } catch (const std::exception &E) {
    std::cerr << "check: " << E.what() << "\n";
    return ExitUnreadable;
  }
}
