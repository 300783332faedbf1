#include "store/HttpPlatform.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::store {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;

ListedInstance instanceFrom(const json &J) {
  ListedInstance I;
  I.Name = J.at("name").get<std::string>();
  bool IsEntry = J.at("kind").get<std::string>() == "entry";
  I.Kind = IsEntry ? InstanceKind::Entry : InstanceKind::Worker;
  bool IsLeaving = J.at("state").get<std::string>() == "leaving";
  I.State = IsLeaving ? InstanceState::Leaving : InstanceState::Live;
  I.Address = J.at("address").get<std::string>();
  I.DataCentre = J.at("datacentre").get<std::string>();
  I.Rack = J.at("rack").get<std::string>();
  return I;
}

ListResult listFrom(const net::HttpResult &Result) {
  ListResult List;
  if (Result.End != core::ExchangeEnd::Answered ||
      Result.Response.Status != StatusOk)
    return List;
  try {
    json Body = json::parse(Result.Response.Body);
    for (const json &Item : Body.at("instances"))
      List.Instances.push_back(instanceFrom(Item));
    List.Ok = true;
  } catch (const json::exception &) {
    List = {};
  }
  return List;
}

class HttpInstanceList final : public InstanceList {
public:
  HttpInstanceList(net::HttpClient &Client, HttpPlatformOptions Options)
      : Client_(Client), Options_(std::move(Options)) {}

  void list(std::function<void(ListResult)> Done) override {
    net::HttpCall Call;
    Call.Url = Options_.BaseUrl + "/v1/instances";
    Call.TotalLimit = Options_.CallLimit;
    Client_.send(std::move(Call), [Done = std::move(Done)](auto Result) {
      Done(listFrom(Result));
    });
  }

private:
  net::HttpClient &Client_;
  HttpPlatformOptions Options_;
};

} // namespace

std::unique_ptr<InstanceList>
makeHttpInstanceList(net::HttpClient &Client, HttpPlatformOptions Options) {
  return std::make_unique<HttpInstanceList>(Client, std::move(Options));
}

} // namespace comfreydeck::store
