#include "entry/Membership.h"

#include "core/Names.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr const char *SessionTable = "sessions";
constexpr std::uint32_t MaxMembers = 1000;
constexpr core::Duration RegisterRetry = std::chrono::milliseconds(300);

Member memberFrom(const platform::Row &Row) {
  json J = json::parse(Row.Value);
  Member M;
  M.Id = core::incarnationFrom(Row.Key).value_or(core::Incarnation{});
  M.Name = J.at("name").get<std::string>();
  M.DataCentre = J.at("datacentre").get<std::string>();
  M.PeerAddress = J.at("peer_address").get<std::string>();
  M.HttpAddress = J.at("http_address").get<std::string>();
  return M;
}

bool sameMembers(std::span<const Member> A, std::span<const Member> B) {
  return std::equal(
      A.begin(), A.end(), B.begin(), B.end(),
      [](const Member &X, const Member &Y) { return X.Id == Y.Id; });
}

} // namespace

Membership::Membership(const Context &C) : Context_(C) {}

std::string Membership::rowKey() const { return core::nameOf(Context_.Self); }

void Membership::start(std::function<void()> OnChange) {
  OnChange_ = std::move(OnChange);
  registerSelf();
}

void Membership::registerSelf() {
  const settings::EntrySettings &Entry = Context_.Settings.Entry;
  json J = {{"name", Entry.Name},
            {"datacentre", Entry.DataCentre},
            {"peer_address", Entry.PeerListen},
            {"http_address", Entry.Listen}};
  platform::RowKey Key{SessionTable, rowKey()};
  platform::Transaction T{"register-" + rowKey(), {}, {{Key, J.dump()}}};
  Context_.Tables.commit(std::move(T), [this](platform::CommitResult Result) {
    Context_.Control.post([this, Outcome = Result.Outcome] {
      if (Outcome != platform::CommitOutcome::Committed) {
        LOG(WARNING) << "membership: registration failed, trying again";
        Context_.Control.after(RegisterRetry, [this] { registerSelf(); });
        return;
      }
      LOG(INFO) << "membership: registered as " << rowKey();
      poll();
      Context_.Control.every(Context_.Settings.Lease.PollEvery,
                             [this] { poll(); });
    });
  });
}

void Membership::poll() {
  if (Polling_ || Leaving_)
    return;
  Polling_ = true;
  core::TimePoint Sent = net::now();
  Context_.Tables.scan(SessionTable, "", "", MaxMembers,
                       [this, Sent](platform::ScanResult Result) {
                         Context_.Control.post([this, Sent, Result] {
                           Polling_ = false;
                           onScan(Sent, Result);
                         });
                       });
}

void Membership::onScan(core::TimePoint Sent, platform::ScanResult Result) {
  if (Result.Outcome != platform::ReadOutcome::Ok || Leaving_)
    return;
  std::vector<Member> Members;
  for (const platform::Row &Row : Result.Rows)
    Members.push_back(memberFrom(Row));
  bool Changed = !sameMembers(Members, Members_);
  Members_ = std::move(Members);
  if (find(Context_.Self)) {
    core::TimePoint Until = Sent + Context_.Settings.Lease.Freshness;
    CurrentUntilUs_ = Until.time_since_epoch().count();
  }
  if (Changed)
    OnChange_();
}

void Membership::leave(std::function<void()> Done) {
  Leaving_ = true;
  CurrentUntilUs_ = 0;
  platform::RowKey Key{SessionTable, rowKey()};
  platform::Transaction T{"leave-" + rowKey(), {}, {{Key, std::nullopt}}};
  Context_.Tables.commit(
      std::move(T), [this, Done = std::move(Done)](platform::CommitResult) {
        Context_.Control.post(Done);
      });
}

void Membership::fence(core::Incarnation Id,
                       std::function<void(FenceOutcome)> Done) {
  platform::RowKey Key{SessionTable, core::nameOf(Id)};
  platform::Transaction T{"fence-" + Key.Key, {}, {{Key, std::nullopt}}};
  Context_.Tables.commit(std::move(T), [this, Done = std::move(Done)](
                                           platform::CommitResult Result) {
    bool Ok = Result.Outcome == platform::CommitOutcome::Committed;
    core::Duration Wait =
        Ok ? Context_.Settings.Lease.Freshness : core::Duration(0);
    Context_.Control.after(Wait, [Done, Ok] {
      Done(Ok ? FenceOutcome::Fenced : FenceOutcome::Failed);
    });
  });
}

core::TimePoint Membership::currentUntil() const {
  return core::TimePoint(core::Duration(CurrentUntilUs_.load()));
}

const Member *Membership::find(core::Incarnation Id) const {
  for (const Member &M : Members_)
    if (M.Id == Id)
      return &M;
  return nullptr;
}

} // namespace comfreydeck::entry
