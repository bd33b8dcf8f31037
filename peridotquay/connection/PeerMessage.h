// Messages between nodes. PeerCodec turns them into msgpack frames and datagrams and back.
#pragma once

#include "peridotquay/request/Outcome.h"
#include "peridotquay/version/Ids.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace peridotquay {

/// Version of the node-to-node protocol; a Hello with another version ends the connection.
inline constexpr std::uint32_t kPeerProtocolVersion = 2;

/// Largest frame body in bytes. Bounds the memory that a peer can claim.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{ 1 } << 20U;

/// Deepest nesting of msgpack containers in a frame.
inline constexpr std::size_t kMaxFrameNesting = 8;

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// First frame of each connection, both ways.
struct Hello
{
  std::uint32_t protocol_ = kPeerProtocolVersion;
  HostId host_;
  Incarnation incarnation_ = 0;
  DataCentreId dataCentre_;
  bool operator==(const Hello&) const = default;
};

/// A request for the target behind the receiving guard. Never holds a caller's key.
struct Call
{
  std::uint64_t callId_ = 0; ///< Unique on the sending incarnation.
  ServiceId service_;
  RouteId route_;
  std::string method_;
  std::string path_;
  HeaderList headers_;
  std::string body_;
  ClientAccountId clientAccount_; ///< Empty on open routes.
  Importance importance_ = Importance::kNormal;
  std::uint32_t deadlineMs_ = 0; ///< Time left when sent, in milliseconds.
  std::uint32_t retries_ = 0;    ///< Retries lent to this call and all calls below it.
  bool repeatable_ = true;
  std::uint8_t depth_ = 0; ///< 0 for a caller's own request.
  bool operator==(const Call&) const = default;
};

/// What a guard admits at present. Travels with each answer so that callers' hosts shed early.
struct AdmissionLevel
{
  Importance minAdmittedImportance_ = Importance::kLow;
  double admittedFraction_ = 1.0; ///< Part of minAdmittedImportance_ that is admitted, 0 to 1.
  bool operator==(const AdmissionLevel&) const = default;
};

/// Answer to a Call.
struct Answer
{
  std::uint64_t callId_ = 0;
  Outcome outcome_ = Outcome::kUnknown;
  std::uint16_t error_ = 0; ///< ErrorCode if the call was refused or failed, else 0.
  std::uint32_t retryAfterMs_ = 0;
  std::uint16_t status_ = 0; ///< HTTP status of the target; 0 if there is none.
  HeaderList headers_;
  std::string body_;
  std::uint64_t declaredBodyBytes_ =
    0; ///< Length of the body as the target declared it; must equal body_.size().
  std::uint32_t retriesUnused_ = 0;
  std::uint32_t inFlight_ = 0; ///< Calls running at the target.
  std::uint32_t limit_ = 0;    ///< Present concurrency limit of the guard.
  std::uint32_t queued_ = 0;
  AdmissionLevel level_;
  std::uint32_t failedPercent_ = 0; ///< Recent answers of the target that were failures.
  bool operator==(const Answer&) const = default;
};

/// The sender no longer wants the answer.
struct Cancel
{
  std::uint64_t callId_ = 0;
  bool operator==(const Cancel&) const = default;
};

/// Asks what became of a call whose connection fell silent.
struct CallStatusQuery
{
  Incarnation incarnation_ = 0; ///< Of the sender of the call.
  std::uint64_t callId_ = 0;
  bool operator==(const CallStatusQuery&) const = default;
};

/// States of a call at the guard that was asked.
enum class CallStatus : std::uint8_t
{
  kNeverArrived, ///< Not seen; the guard now refuses it for good.
  kRunning,
  kDone,    ///< Its answer follows as an Answer.
  kRefused, ///< Was refused before it started.
  kForgotten
};

struct CallStatusReply
{
  std::uint64_t callId_ = 0;
  CallStatus callStatus_ = CallStatus::kForgotten;
  bool operator==(const CallStatusReply&) const = default;
};

/// A caller's request with a request id that the receiving host issued. Answered with an Answer.
struct OwnerCall
{
  std::string requestId_;
  Call call_;
  bool operator==(const OwnerCall&) const = default;
};

struct Ping
{
  std::uint64_t nonce_ = 0;
  bool operator==(const Ping&) const = default;
};

struct Ack
{
  std::uint64_t nonce_ = 0;
  bool operator==(const Ack&) const = default;
};

/// What members say of a member's life.
enum class MemberState : std::uint8_t
{
  kAlive,
  kSuspect,
  kUnreachable, ///< Its whole data centre can't be reached.
  kDead,
  kLeft
};

/// One member as it travels in probes and tables.
struct MemberEntry
{
  HostId host_;
  Incarnation incarnation_ = 0;
  MemberState state_ = MemberState::kAlive;
  Address peer_; ///< TCP for frames, UDP on the same port for probes.
  DataCentreId dataCentre_;
  RegionId region_;
  ServiceId service_;
  TargetState targetState_ = TargetState::kCold;
  std::uint32_t slots_ = 0;
  double load_ = 0;
  HostId successor_; ///< With kLeft: the host that took over the request records; may be empty.
  bool operator==(const MemberEntry&) const = default;
};

/// Membership probe (datagram).
struct Probe
{
  std::uint64_t sequence_ = 0;
  MemberEntry sender_;
  std::vector<MemberEntry> updates_;
  bool operator==(const Probe&) const = default;
};

struct ProbeAck
{
  std::uint64_t sequence_ = 0;
  MemberEntry sender_;
  std::vector<MemberEntry> updates_;
  bool operator==(const ProbeAck&) const = default;
};

/// Asks another member to probe a member that did not answer (datagram).
struct ProbeRequest
{
  std::uint64_t sequence_ = 0;
  MemberEntry sender_;
  HostId subject_;
  Address subjectAddress_;
  std::vector<MemberEntry> updates_;
  bool operator==(const ProbeRequest&) const = default;
};

/// A member table, or the request for one if empty.
struct MemberTable
{
  bool isRequest_ = false;
  std::vector<MemberEntry> members_;
  bool operator==(const MemberTable&) const = default;
};

/// One entity of the configuration put or removed, as canonical JSON text.
struct EntityEdit
{
  std::string name_;                ///< For example "account/parish-7".
  std::optional<std::string> json_; ///< Empty removes the entity.
  bool operator==(const EntityEdit&) const = default;
};

/// One version of the configuration: the edits from the version before. Also the audit record.
struct Change
{
  Version version_ = 0;
  std::string operatorName_;
  std::string operationId_;
  std::uint64_t wallMs_ = 0; ///< Operator's wall clock, milliseconds since 1970; for people only.
  std::string summary_;
  std::vector<EntityEdit> edits_;
  bool operator==(const Change&) const = default;
};

/// Asks the parent in the dissemination tree for news; sent once a second.
struct SyncRequest
{
  std::uint64_t nonce_ = 0;
  Version version_ = 0;
  Version minSubtreeVersion_ = 0; ///< Least version in force in the sender's subtree.
  std::uint32_t subtreeNodes_ =
    0; ///< Nodes in the sender's subtree that it heard from, itself included.
  std::vector<HostId> lagging_; ///< At most 8 hosts that hold back minSubtreeVersion_.
  bool operator==(const SyncRequest&) const = default;
};

struct SyncReply
{
  std::uint64_t nonce_ = 0;
  Version version_ = 0;
  std::uint64_t ageMs_ =
    0; ///< Age of the proof that version_ was the latest, when this was sent. Max value: no proof.
  std::vector<Change> changes_;
  bool snapshot_ = false; ///< changes_ holds one Change that replaces all entities.
  std::uint64_t outageAgeMs_ =
    ~std::uint64_t{ 0 }; ///< Age of the proof that the sender doesn't reach the platform: the start
                         ///< of its last poll, which failed. Max value: no such proof.
  bool operator==(const SyncReply&) const = default;
};

/// News for a child in the dissemination tree.
struct VersionPush
{
  HostId root_;
  std::vector<Change> changes_;
  bool operator==(const VersionPush&) const = default;
};

/// A host asks the share leader of its data centre for tokens.
struct ShareRequest
{
  std::uint64_t nonce_ = 0;
  ClientAccountId clientAccount_;
  std::uint64_t grant_ = 0; ///< Earlier grant that used_ belongs to; 0 for none.
  double used_ = 0;         ///< Tokens of that grant that were used; the rest is given back.
  double wanted_ = 0;
  bool operator==(const ShareRequest&) const = default;
};

struct ShareGrant
{
  std::uint64_t nonce_ = 0;
  ClientAccountId clientAccount_;
  std::uint64_t grant_ = 0;
  double tokens_ = 0;
  std::uint32_t lifetimeMs_ = 0;   ///< Counted by the asker from before it asked.
  std::uint32_t retryAfterMs_ = 0; ///< With no tokens: when some are expected.
  bool operator==(const ShareGrant&) const = default;
};

/// Use of one account.
struct AccountUse
{
  ClientAccountId account_;
  std::uint64_t used_ = 0; ///< Requests since the host started.
  bool operator==(const AccountUse&) const = default;
};

/// What a host used of the accounts' limits.
struct RateReport
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;   ///< Grows within an incarnation.
  std::vector<AccountUse> uses_; ///< Accounts with use.
  bool operator==(const RateReport&) const = default;
};

/// Reports of one or more hosts (datagram).
struct RateReports
{
  HostId sender_; ///< The host that relays them, or the one that they are of.
  std::vector<RateReport> reports_;
  bool operator==(const RateReports&) const = default;
};

/// Tokens of one account that all hosts together have left.
struct AccountLevel
{
  ClientAccountId account_;
  std::uint64_t tokens_ = 0;
  bool operator==(const AccountLevel&) const = default;
};

/// What a host that has run for a while tells one that just started (datagram).
struct RateLevels
{
  Incarnation incarnation_ = 0; ///< Of the host that started.
  std::uint64_t sequence_ = 0;  ///< Last report of it that the levels include.
  std::vector<AccountLevel> levels_;
  bool operator==(const RateLevels&) const = default;
};

/// Newest rows of the platform's store that a host holds, by the store's versions.
struct RowVersions
{
  std::uint64_t config_ = 0; ///< Of the row with the configuration; 0: none.
  std::uint64_t hosts_ = 0;  ///< Up to it, all rows of hosts are known.
  bool operator==(const RowVersions&) const = default;
};

/// Largest age of a proof that a FeedAnswer states; a larger one means that there is none.
inline constexpr std::uint64_t kMaxProofAgeMs = 60'000;

/// Asks a host of the data centre for a proof of what the asker holds (datagram).
struct FeedQuestion
{
  std::uint64_t nonce_ = 0;
  RowVersions held_;
  bool operator==(const FeedQuestion&) const = default;
};

/// Answer to a FeedQuestion (datagram).
struct FeedAnswer
{
  std::uint64_t nonce_ = 0;
  std::uint64_t proofAgeMs_ = 0;  ///< Time since newest_.config_ is known to have been the newest.
  std::uint64_t answerAgeMs_ = 0; ///< Time since the store answered the host; it watches meanwhile.
  RowVersions newest_;            ///< What the answering host holds.
  bool operator==(const FeedAnswer&) const = default;
};

/// Which rows a FeedRows holds.
enum class FeedTable : std::uint8_t
{
  kConfig,
  kHosts
};

struct FeedRow
{
  std::string key_;
  std::string content_;
  std::uint64_t version_ = 0;
  bool operator==(const FeedRow&) const = default;
};

/// Changed rows of the platform's store for the other hosts of the data centre.
struct FeedRows
{
  FeedTable table_ = FeedTable::kConfig;
  std::uint64_t afterVersion_ = 0; ///< rows_ are all that changed after this version of the store.
  std::uint64_t version_ = 0;
  std::vector<FeedRow> rows_;
  bool operator==(const FeedRows&) const = default;
};

/// What delegates of different data centres tell each other once a second.
struct DataCentreSummary
{
  DataCentreId dataCentre_;
  Version version_ = 0;
  std::uint64_t ageMs_ = 0;
  bool platformReachable_ = false;
  std::vector<MemberEntry>
    members_; ///< Members that changed since the last summary, or all every 10 s.
  bool operator==(const DataCentreSummary&) const = default;
};

/// One record of a request id in a handover.
struct HandoverRecord
{
  std::uint64_t sequence_ = 0;
  std::uint64_t ageMs_ = 0; ///< Time since the id was issued, when this was sent.
  bool done_ = false;       ///< False: issued and never run.
  std::string requestDigest_;
  std::optional<Answer> answer_;
  bool operator==(const HandoverRecord&) const = default;
};

/// Records of request ids, in batches, from a leaving host to its successor.
struct RequestHandover
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::string secret_; ///< Key of the MACs of the ids.
  std::vector<HandoverRecord> records_;
  bool isLastBatch_ = false; ///< After the last batch the successor may answer for the ids.
  bool operator==(const RequestHandover&) const = default;
};

using PeerMessage = std::variant<Hello,
                                 Call,
                                 Answer,
                                 Cancel,
                                 CallStatusQuery,
                                 CallStatusReply,
                                 OwnerCall,
                                 Ping,
                                 Ack,
                                 Probe,
                                 ProbeAck,
                                 ProbeRequest,
                                 MemberTable,
                                 SyncRequest,
                                 SyncReply,
                                 VersionPush,
                                 ShareRequest,
                                 ShareGrant,
                                 DataCentreSummary,
                                 RequestHandover,
                                 RateReports,
                                 RateLevels,
                                 FeedQuestion,
                                 FeedAnswer,
                                 FeedRows>;

} // namespace peridotquay
