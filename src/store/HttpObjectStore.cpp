#include "store/HttpPlatform.h"
#include "store/Url_p.h"

namespace comfreydeck::store {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

class HttpObjectStore final : public ObjectStore {
public:
  HttpObjectStore(net::HttpClient &Client, HttpPlatformOptions Options)
      : Client_(Client), Options_(std::move(Options)) {}

  void put(std::string Name, std::string Content,
           std::function<void(bool)> Done) override {
    net::HttpCall Call = callTo(Name);
    Call.Method = "PUT";
    Call.Body = std::move(Content);
    Client_.send(std::move(Call), [Done = std::move(Done)](auto Result) {
      Done(Result.End == core::ExchangeEnd::Answered &&
           Result.Response.Status == StatusOk);
    });
  }

  void get(std::string Name, std::function<void(ObjectResult)> Done) override {
    Client_.send(callTo(Name), [Done = std::move(Done)](auto Result) {
      ObjectResult Object;
      bool Answered = Result.End == core::ExchangeEnd::Answered;
      int Status = Answered ? Result.Response.Status : 0;
      Object.Ok = Status == StatusOk || Status == StatusNotFound;
      if (Status == StatusOk)
        Object.Content = std::move(Result.Response.Body);
      Done(std::move(Object));
    });
  }

private:
  net::HttpCall callTo(std::string_view Name) const {
    net::HttpCall Call;
    Call.Url = Options_.BaseUrl + "/v1/objects/" + detail::escape(Name);
    Call.TotalLimit = Options_.CallLimit;
    return Call;
  }

  net::HttpClient &Client_;
  HttpPlatformOptions Options_;
};

} // namespace

std::unique_ptr<ObjectStore> makeHttpObjectStore(net::HttpClient &Client,
                                                 HttpPlatformOptions Options) {
  return std::make_unique<HttpObjectStore>(Client, std::move(Options));
}

} // namespace comfreydeck::store
