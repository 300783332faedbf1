#ifndef COMFREYDECK_TESTS_DISPATCH_CONFIGDECODER_H
#define COMFREYDECK_TESTS_DISPATCH_CONFIGDECODER_H

#include "dispatch/Ports.h"
#include "jobs/FleetConfig.h"

namespace comfreydeck::tests {

/// Version 1 of a configuration with these pools.
inline jobs::FleetConfig configOf(std::initializer_list<const char *> Pools) {
  jobs::FleetConfig Config;
  Config.Version = 1;
  for (const char *Pool : Pools)
    Config.Pools.push_back({Pool, false, false});
  return Config;
}

/// The same with pool "p" alone and queue "q" in it, which is open to all and
/// at host "h" under "/q/".
inline jobs::FleetConfig configWithQueue() {
  jobs::FleetConfig Config = configOf({"p"});
  jobs::Queue Queue;
  Queue.Name = "q";
  Queue.Host = "h";
  Queue.PathPrefix = "/q/";
  Queue.Pool = "p";
  Queue.OpenToAll = true;
  Config.Queues.push_back(Queue);
  return Config;
}

/// Decodes each row of the operators' table "op" to the configuration, and the
/// rows of the workers' table "servers" with \p Worker, which is needed only
/// where there are some.
inline dispatch::RowDecoder decoderOf(
    jobs::FleetConfig Config,
    std::function<jobs::WorkerEntry(const store::PartRow &)> Worker = nullptr) {
  dispatch::RowDecoder Decoder;
  Decoder.OperatorTable = "op";
  Decoder.WorkerTable = "servers";
  dispatch::OperatorRow Row;
  Row.What = dispatch::OperatorRow::Kind::Config;
  Row.Config = std::make_shared<const jobs::FleetConfig>(std::move(Config));
  Decoder.Operator = [Row](const store::PartRow &) { return Row; };
  Decoder.WorkerWithoutHeartbeat = [](const std::string &Value) {
    return Value;
  };
  Decoder.Worker = std::move(Worker);
  return Decoder;
}

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_DISPATCH_CONFIGDECODER_H
