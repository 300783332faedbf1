#include "entry/ConfigStore.h"

#include "codec/ConfigJson.h"
#include "core/Names.h"
#include "entry/Membership.h"

#include <glog/logging.h>

namespace comfreydeck::entry {

namespace {

constexpr const char *LogTable = "config-log";
constexpr std::uint32_t MaxChangesRead = 200;
constexpr std::size_t VersionDigits = 20;

/// Zero-padded, so that rows come in the order of versions.
std::string logKey(core::ConfigVersion Version) {
  std::string Digits = std::to_string(Version.Value);
  return std::string(VersionDigits - Digits.size(), '0') + Digits;
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

ProposalResult resultOf(platform::CommitOutcome Outcome,
                        core::ConfigVersion Version) {
  switch (Outcome) {
  case platform::CommitOutcome::Committed:
    return {ProposalOutcome::Pending, Version, "committed"};
  case platform::CommitOutcome::Conflict:
    return {ProposalOutcome::Conflict, Version, "another change came first"};
  case platform::CommitOutcome::NotApplied:
    return {ProposalOutcome::Unavailable, Version, "the store is away"};
  case platform::CommitOutcome::Unknown:
    break;
  }
  return {ProposalOutcome::Unknown, Version, "the store's answer was lost"};
}

LogPage pageOf(const platform::ScanResult &Result) {
  LogPage Page;
  Page.More = Result.More;
  try {
    for (const platform::Row &Row : Result.Rows)
      Page.Changes.push_back(codec::parseConfigChange(Row.Value));
    Page.Available = Result.Outcome == platform::ReadOutcome::Ok;
  } catch (const codec::CodecError &E) {
    LOG(ERROR) << "config: a row of the log can't be read: " << E.what();
  }
  return Page;
}

} // namespace

ConfigStore::ConfigStore(const Context &C)
    : Context_(C), Current_(std::make_shared<core::Configuration>()) {}

void ConfigStore::start(std::function<void()> OnChange) {
  OnChange_ = std::move(OnChange);
  poll();
  Context_.Control.every(Context_.Settings.Lease.PollEvery, [this] { poll(); });
}

std::shared_ptr<const core::Configuration> ConfigStore::current() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Current_;
}

void ConfigStore::poll() {
  if (Polling_)
    return;
  Polling_ = true;
  Context_.Tables.scan(LogTable, "", logKey(current()->Version), MaxChangesRead,
                       [this](platform::ScanResult Result) {
                         Context_.Control.post([this, Result] {
                           Polling_ = false;
                           onScan(Result);
                         });
                       });
}

void ConfigStore::onScan(platform::ScanResult Result) {
  if (Result.Outcome != platform::ReadOutcome::Ok || Result.Rows.empty())
    return;
  core::Configuration Next = *current();
  for (const platform::Row &Row : Result.Rows)
    Next = core::apply(Next, codec::parseConfigChange(Row.Value));
  replace(std::move(Next));
  if (Result.More)
    poll();
}

void ConfigStore::replace(core::Configuration Next) {
  LOG(INFO) << "config: version " << Next.Version.Value << " in force";
  auto Shared = std::make_shared<const core::Configuration>(std::move(Next));
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Current_ = std::move(Shared);
  }
  OnChange_();
}

void ConfigStore::propose(ConfigProposal Proposal,
                          std::function<void(ProposalResult)> Done) {
  std::shared_ptr<const core::Configuration> Now = current();
  if (Proposal.Expected && *Proposal.Expected != Now->Version)
    return Done({ProposalOutcome::Conflict, Now->Version,
                 "the configuration is at another version"});
  core::ConfigChange Change;
  Change.Version.Value = Now->Version.Value + 1;
  Change.Id =
      core::nameOf(Context_.Self) + "-" + std::to_string(Context_.Random());
  Change.By = Proposal.By;
  Change.AtUnixMs = unixMs();
  Change.Edits = std::move(Proposal.Edits);
  try {
    core::apply(*Now, Change);
  } catch (const core::ConfigError &E) {
    return Done({ProposalOutcome::Invalid, Now->Version, E.what()});
  }
  platform::RowKey Key{LogTable, logKey(Change.Version)};
  platform::Transaction T{
      Change.Id, {{Key, 0}}, {{Key, codec::toJson(Change)}}};
  Context_.Tables.commit(
      std::move(T), [this, Version = Change.Version,
                     Done = std::move(Done)](platform::CommitResult Result) {
        Context_.Control.post([this, Version, Done, Result] {
          poll();
          Done(resultOf(Result.Outcome, Version));
        });
      });
}

void ConfigStore::readLog(core::ConfigVersion After, std::uint32_t Limit,
                          std::function<void(LogPage)> Done) {
  Context_.Tables.scan(
      LogTable, "", logKey(After), Limit,
      [this, Done = std::move(Done)](const platform::ScanResult &Result) {
        Context_.Control.post([Done, Page = pageOf(Result)] { Done(Page); });
      });
}

} // namespace comfreydeck::entry
