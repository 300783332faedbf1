#include "entry/ProofExchange.h"

#include "core/Names.h"

#include <glog/logging.h>

namespace comfreydeck::entry {

namespace {

using namespace cluster;

constexpr core::Duration GoodbyeTimeout = std::chrono::milliseconds(500);

std::int64_t microseconds(core::TimePoint At) {
  return At.time_since_epoch().count();
}

core::TimePoint timeFrom(std::int64_t Microseconds) {
  return core::TimePoint(core::Duration(Microseconds));
}

core::ProofRequest requestFrom(const wire::ProveRequest &In) {
  core::ProofRequest Request;
  Request.From.Value = In.sender().incarnation();
  Request.Progress = {{In.config_version()}, {In.notice()}};
  Request.Sent = timeFrom(In.sent_us());
  Request.ReadingSent = timeFrom(In.reading_sent_us());
  Request.NeedsProof = In.needs_proof();
  return Request;
}

wire::ProveRequest messageOf(const core::ProofRequest &Request) {
  wire::ProveRequest Out;
  Out.set_config_version(Request.Progress.Version.Value);
  Out.set_notice(Request.Progress.Notice.Value);
  Out.set_sent_us(microseconds(Request.Sent));
  Out.set_reading_sent_us(microseconds(Request.ReadingSent));
  Out.set_needs_proof(Request.NeedsProof);
  return Out;
}

core::ProofReply replyFrom(const wire::ProveReply &In) {
  core::ProofReply Reply;
  Reply.Granted = In.granted();
  Reply.NeedsProof = In.needs_proof();
  Reply.Standing = In.standing();
  Reply.Version.Value = In.config_version();
  Reply.Notice.Value = In.notice();
  Reply.Fenced = In.fenced();
  return Reply;
}

wire::ProveReply messageOf(const core::ProofReply &Reply) {
  wire::ProveReply Out;
  Out.set_granted(Reply.Granted);
  Out.set_needs_proof(Reply.NeedsProof);
  Out.set_standing(Reply.Standing);
  Out.set_config_version(Reply.Version.Value);
  Out.set_notice(Reply.Notice.Value);
  Out.set_fenced(Reply.Fenced);
  return Out;
}

} // namespace

ProofExchange::ProofExchange(const Context &C, core::ServingLease &Lease,
                             std::function<void()> OnUpdate)
    : Context_(C), Lease_(Lease), OnUpdate_(std::move(OnUpdate)) {}

void ProofExchange::setAddress(core::Incarnation Id,
                               const std::string &Address) {
  Addresses_[Id] = Address;
}

const std::string *ProofExchange::addressOf(core::Incarnation Id) const {
  auto It = Addresses_.find(Id);
  return It == Addresses_.end() ? nullptr : &It->second;
}

void ProofExchange::askAll() {
  if (!Lease_.Registered || Lease_.Fenced)
    return;
  for (const core::LeasePeer &P : Lease_.Peers)
    if (!P.Gone)
      ask(P.Id);
}

void ProofExchange::ask(core::Incarnation Id) {
  const std::string *Address = addressOf(Id);
  if (!Address || !Asking_.insert(Id).second)
    return;
  core::TimePoint Sent = net::now();
  wire::ProveRequest Request = messageOf(core::makeRequest(Lease_, Id, Sent));
  Request.set_peer_address(Context_.Settings.Entry.PeerListen);
  for (core::Incarnation Silent : silent())
    Request.add_silent_incarnations(Silent.Value);
  core::Duration Limit = Context_.Settings.Lease.Freshness / 2;
  Context_.Peers.prove(
      *Address, std::move(Request), Limit, [this, Id, Sent](auto Reply) {
        Context_.Control.post([this, Id, Sent, Reply = std::move(Reply)] {
          Asking_.erase(Id);
          if (Reply)
            onReply(Id, Sent, *Reply);
        });
      });
}

void ProofExchange::onReply(core::Incarnation Id, core::TimePoint Sent,
                            const wire::ProveReply &Reply) {
  if (Reply.incarnation() != Id.Value) {
    // Another process now has the address, so the peer has ended.
    core::onDropped(Lease_, Id);
    return OnUpdate_();
  }
  core::onProof(Lease_, Id, Sent, replyFrom(Reply), net::now());
  if (Reply.changes_size() > 0)
    Log_.OnChanges({Reply.changes().begin(), Reply.changes().end()});
  OnUpdate_();
}

wire::ProveReply ProofExchange::serveProve(const wire::ProveRequest &Request) {
  if (!Lease_.Registered) {
    wire::ProveReply Refusal;
    Refusal.set_incarnation(Context_.Self.Value);
    return Refusal;
  }
  core::Incarnation From{Request.sender().incarnation()};
  core::ProofReply Answer =
      core::answerProof(Lease_, requestFrom(Request), StoreAway_, net::now());
  wire::ProveReply Reply = messageOf(Answer);
  Reply.set_incarnation(Context_.Self.Value);
  for (std::string &Change : Log_.ChangesAfter({Request.config_version()}))
    Reply.add_changes(std::move(Change));
  const core::LeasePeer *P = core::findPeer(Lease_, From);
  if (!P && !Answer.Fenced) {
    setAddress(From, Request.peer_address());
    ask(From);
  }
  if (P && !P->Gone) {
    std::set<core::Incarnation> &Silent = ReportedSilent_[From];
    Silent.clear();
    for (std::uint64_t Id : Request.silent_incarnations())
      Silent.insert({Id});
  }
  OnUpdate_();
  return Reply;
}

wire::GreetReply ProofExchange::serveGreet(const wire::GreetRequest &Request) {
  wire::GreetReply Reply;
  if (!Request.leaving())
    return Reply;
  core::ProofReply Last;
  Last.Version.Value = Request.config_version();
  Last.Notice.Value = Request.notice();
  Last.Fenced = Request.fenced();
  core::onGoodbye(Lease_, {Request.sender().incarnation()}, Last, net::now());
  Reply.set_accepted(true);
  OnUpdate_();
  return Reply;
}

wire::NotifyReply
ProofExchange::serveNotify(const wire::NotifyRequest &Request) {
  if (Lease_.Registered)
    Log_.OnChanges({Request.changes().begin(), Request.changes().end()});
  wire::NotifyReply Reply;
  Reply.set_config_version(Lease_.Progress.Version.Value);
  Reply.set_notice(Lease_.Progress.Notice.Value);
  return Reply;
}

void ProofExchange::pushChanges() {
  for (const core::LeasePeer &P : Lease_.Peers) {
    const std::string *Address = addressOf(P.Id);
    bool Behind = P.Acknowledged.Version < Lease_.Progress.Version;
    if (P.Gone || !Behind || !Address || !Pushing_.insert(P.Id).second)
      continue;
    wire::NotifyRequest Request;
    for (std::string &Change : Log_.ChangesAfter(P.Acknowledged.Version))
      Request.add_changes(std::move(Change));
    core::Duration Limit = Context_.Settings.Lease.Freshness / 2;
    Context_.Peers.notify(
        *Address, std::move(Request), Limit, [this, Id = P.Id](auto Reply) {
          Context_.Control.post([this, Id, Reply = std::move(Reply)] {
            Pushing_.erase(Id);
            if (!Reply)
              return;
            core::onAcknowledged(
                Lease_, Id, {{Reply->config_version()}, {Reply->notice()}});
            OnUpdate_();
          });
        });
  }
}

void ProofExchange::sayGoodbye(std::function<void()> Done) {
  auto Remaining = std::make_shared<std::size_t>(1);
  auto OneDone = [Remaining, Done = std::move(Done)] {
    if (--*Remaining == 0)
      Done();
  };
  for (const core::LeasePeer &P : Lease_.Peers) {
    const std::string *Address = addressOf(P.Id);
    if (P.Gone || !Address)
      continue;
    ++*Remaining;
    wire::GreetRequest Request;
    Request.set_leaving(true);
    Request.set_config_version(Lease_.Known.Version.Value);
    Request.set_notice(P.Notice.Value);
    Request.set_fenced(P.Fenced);
    Context_.Peers.greet(
        *Address, std::move(Request), GoodbyeTimeout,
        [this, OneDone](const auto &) { Context_.Control.post(OneDone); });
  }
  OneDone();
}

bool ProofExchange::isSilent(const core::LeasePeer &P) const {
  // Two and a half polling periods without an answer.
  core::Duration Limit = Context_.Settings.Lease.PollEvery * 5 / 2;
  return !P.Gone && net::now() - P.Heard > Limit;
}

std::vector<core::Incarnation> ProofExchange::silent() const {
  std::vector<core::Incarnation> Ids;
  for (const core::LeasePeer &P : Lease_.Peers)
    if (isSilent(P))
      Ids.push_back(P.Id);
  return Ids;
}

bool ProofExchange::isFirstHeard() const {
  for (const core::LeasePeer &P : Lease_.Peers)
    if (!P.Gone && !P.Fenced && !isSilent(P) && P.Id < Context_.Self)
      return false;
  return true;
}

bool ProofExchange::hearsMajority() const {
  std::size_t Heard = 1;
  std::size_t Entries = 1;
  for (const core::LeasePeer &P : Lease_.Peers) {
    if (P.Gone || P.Fenced)
      continue;
    ++Entries;
    Heard += isSilent(P) ? 0 : 1;
  }
  return Entries <= 2 || Heard * 2 > Entries;
}

bool ProofExchange::shouldFence(core::Incarnation Id) const {
  const core::LeasePeer *Target = core::findPeer(Lease_, Id);
  if (!Target || Target->Gone || !isFirstHeard())
    return false;
  if (Target->Dropped)
    return true;
  if (!isSilent(*Target) || !hearsMajority())
    return false;
  for (const core::LeasePeer &P : Lease_.Peers) {
    if (P.Id == Id || P.Gone || P.Fenced || isSilent(P))
      continue;
    auto Heard = ReportedSilent_.find(P.Id);
    if (Heard == ReportedSilent_.end() || !Heard->second.contains(Id))
      return false;
  }
  return true;
}

} // namespace comfreydeck::entry
