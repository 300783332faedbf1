#include "dispatch/PoolLoader.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/TableFollower.h"

#include <charconv>

namespace comfreydeck::dispatch {

using store::PartAnswer;
using store::PartOutcome;

PoolLoader::PoolLoader(Context &Ctx, jobs::PoolState &State,
                       const PoolEventLog &Log, JobRestorer &Restorer,
                       PoolHost &Host, JobTableReader &Table)
    : Ctx_(Ctx), State_(State), Log_(Log), Restorer_(Restorer), Host_(Host),
      Table_(Table) {}

void PoolLoader::load(std::function<void(std::uint64_t)> TableRead,
                      std::function<void(const LoadedRows &)> Loaded) {
  TableRead_ = std::move(TableRead);
  Loaded_ = std::move(Loaded);
  readJobs();
}

void PoolLoader::readJobs() {
  Table_.read(
      [this, Keep = Host_.keep()](std::shared_ptr<const PartAnswer> Answer) {
        if (Host_.isDropped())
          return;
        if (Answer->Outcome == PartOutcome::Ok) {
          TableRead_(Answer->Version);
          readProgress(std::move(Answer));
          return;
        }
        Ctx_.Count.recordRetry("load-jobs");
        Log_.logLoadFailure(rows::Jobs, *Answer, bootNow());
        Ctx_.Loop.after(StoreRetry, [this, Keep] { readJobs(); });
      });
}

void PoolLoader::readProgress(std::shared_ptr<const PartAnswer> JobTable) {
  readPartsPatiently(
      Ctx_.Loop, Ctx_.Store, rows::Progress, {rows::poolPart(State_.pool())},
      [this, Keep = Host_.keep(), JobTable](PartAnswer Answer) {
        Ctx_.Loop.post([this, Keep, JobTable, Answer = std::move(Answer)] {
          onProgressRead(JobTable, Answer);
        });
      });
}

void PoolLoader::onProgressRead(
    const std::shared_ptr<const PartAnswer> &JobTable,
    const PartAnswer &Answer) {
  if (Host_.isDropped())
    return;
  if (Answer.Outcome == PartOutcome::Ok) {
    restore(JobTable->Rows, Answer.Rows);
    return;
  }
  Ctx_.Count.recordRetry("load-progress");
  Log_.logLoadFailure(rows::Progress, Answer, bootNow());
  Ctx_.Loop.after(StoreRetry, [this, Keep = Host_.keep(), JobTable] {
    readProgress(JobTable);
  });
}

void PoolLoader::restore(std::span<const store::PartRow> JobRows,
                         std::span<const store::PartRow> ProgressRows) {
  LoadedRows Loaded;
  Loaded.Jobs = JobRows;
  RowsByKey ByKey;
  core::TimePoint Now = bootNow();
  for (const store::PartRow &Row : ProgressRows) {
    if (Row.Where.Key == rows::ChainKey) {
      Loaded.ChainVersion = Row.Version;
      continue;
    }
    if (Row.Where.Key == rows::SettledKey) {
      Loaded.SettledToken = readSettled(Row);
      continue;
    }
    if (Row.Where.Key.starts_with(rows::RosterPrefix)) {
      addEnrolled(Row, Now);
      continue;
    }
    ByKey[Row.Where.Key] = &Row;
  }
  for (const store::PartRow &Row : JobRows) {
    std::string_view Named = codec::poolOf(Row.Value);
    bool OtherPool = !Named.empty() && Named != State_.pool();
    if (OtherPool || Row.Where.Key.ends_with(rows::CancelSuffix))
      continue;
    std::optional<jobs::JobSpec> Spec = Restorer_.decodeJobRow(Row);
    if (Spec && Spec->Pool == State_.pool())
      Restorer_.restore(*Spec, ByKey);
  }
  Loaded_(Loaded);
}

std::optional<std::uint64_t>
PoolLoader::readSettled(const store::PartRow &Row) const {
  std::uint64_t Token = 0;
  const char *End = Row.Value.data() + Row.Value.size();
  auto [Read, Error] = std::from_chars(Row.Value.data(), End, Token);
  if (Error == std::errc() && Read == End)
    return Token;
  Log_.logUnreadableSettled();
  return std::nullopt;
}

/// Adds the worker of a roster row. A row that can't be decoded still names a
/// worker that may run something: that worker can't be asked, so its lease is
/// waited out.
void PoolLoader::addEnrolled(const store::PartRow &Row, core::TimePoint Now) {
  std::string_view Prefix(rows::RosterPrefix);
  jobs::WorkerEntry Entry;
  Entry.Id = Row.Where.Key.substr(Prefix.size());
  try {
    Entry = codec::decodeRosterRow(Entry.Id, Row.Value);
  } catch (const std::exception &E) {
    Log_.logUnreadableRoster(Entry.Id, E.what());
  }
  State_.addEnrolled(Entry, Now);
}

} // namespace comfreydeck::dispatch
