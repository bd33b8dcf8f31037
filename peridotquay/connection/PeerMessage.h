// Messages that nodes send each other. PeerCodec encodes them as msgpack for TCP frames and UDP
// datagrams and decodes them. "Peer" means another node.
#pragma once

#include "peridotquay/request/LoadReport.h"
#include "peridotquay/request/Outcome.h"
#include "peridotquay/version/Ids.h"
#include "peridotquay/version/StorePosition.h"
#include "peridotquay/version/TargetView.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace peridotquay {

/// Version of the node-to-node protocol. A node closes a connection whose Hello has another
/// version.
inline constexpr std::uint32_t kPeerProtocolVersion = 2;

/// Maximum size of a frame body in bytes. Bounds the memory that a peer can make this node
/// allocate.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{ 1 } << 20U;

/// Maximum nesting depth of msgpack containers in a frame.
inline constexpr std::size_t kMaxFrameNesting = 8;

/// HTTP headers, name and value, in the order received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// First frame that each side of a connection sends.
struct Hello
{
  std::uint32_t protocol_ = kPeerProtocolVersion;
  HostId host_;
  Incarnation incarnation_ = 0;
  DataCentreId dataCentre_;
  bool operator==(const Hello&) const = default;
};

/// A request for the receiving node's target. The node's guard, the admission control in front of
/// the target, runs or refuses it. Never contains a caller's API key.
struct Call
{
  std::uint64_t callId_ = 0; ///< Unique within the incarnation of the sender.
  ServiceId service_;
  RouteId route_;
  std::string method_;
  std::string path_;
  HeaderList headers_;
  std::string body_;
  ClientAccountId clientAccount_; ///< Empty on open routes.
  Importance importance_ = Importance::kNormal;
  std::uint32_t deadlineMs_ = 0; ///< Time left until the deadline when sent.
  std::uint32_t retries_ = 0;    ///< Retries left for this call and the calls that it causes.
  bool repeatable_ = true;       ///< False: must run at most once.
  /// Number of calls that led to this one; 0 for a caller's own request.
  std::uint8_t depth_ = 0;
  /// Time for which the caller had waited when its request came, over earlier attempts that were
  /// refused; 0 for a first attempt. Older nodes neither send nor accept it (see Trailing in
  /// PeerCodec.cpp).
  std::uint32_t waitedMs_ = 0;
  bool operator==(const Call&) const = default;
};

/// Which calls a guard currently admits, and how much room its target finds in deeper services.
/// Sent with each answer, so that the calling hosts shed load before they send it.
struct AdmissionLevel
{
  Importance minAdmittedImportance_ = Importance::kLow; ///< Calls of lower importance are refused.
  /// Fraction of calls of minAdmittedImportance_ admitted, 0 to 1. Above 1, all are admitted and
  /// the excess is the overload of the target's recent deeper calls: older nodes, whose messages
  /// have the same fields, take that for 1.
  double admittedFraction_ = 1.0;
  bool operator==(const AdmissionLevel&) const = default;
};

/// Overload of the target's recent deeper calls that an answer states, from 0 to 1.
inline double StatedDeeperOverload(const AdmissionLevel& aLevel)
{
  return std::clamp(aLevel.admittedFraction_ - 1, 0.0, 1.0);
}

/// Answer to a Call.
struct Answer
{
  std::uint64_t callId_ = 0;
  Outcome outcome_ = Outcome::kUnknown;
  std::uint16_t error_ = 0;        ///< ErrorCode if the call was refused or failed, else 0.
  std::uint32_t retryAfterMs_ = 0; ///< Suggested delay before a retry; 0 for none.
  std::uint16_t status_ = 0;       ///< HTTP status from the target; 0 if it sent none.
  HeaderList headers_;
  std::string body_;
  /// Body length that the target declared. A different body_.size() means a truncated answer,
  /// except for HEAD.
  std::uint64_t declaredBodyBytes_ = 0;
  std::uint32_t retriesUnused_ = 0; ///< Unused retries of Call::retries_.
  std::uint32_t inFlight_ = 0;      ///< Calls running at the target.
  std::uint32_t limit_ = 0;         ///< Current concurrency limit of the guard.
  std::uint32_t queued_ = 0;        ///< Calls queued at the guard.
  AdmissionLevel level_;
  /// Percentage of the target's recent answers that were failures.
  std::uint32_t failurePercent_ = 0;
  /// Duration of work that the target stated last, in percent of the usual one; 0 if it stated
  /// none.
  std::uint32_t workPercent_ = 0;
  bool operator==(const Answer&) const = default;
};

/// Cancels a call: the sender no longer needs the answer.
struct Cancel
{
  std::uint64_t callId_ = 0;
  bool operator==(const Cancel&) const = default;
};

/// Queries the status of a call after its connection failed.
struct CallStatusQuery
{
  Incarnation incarnation_ = 0; ///< Incarnation of the host that sent the call.
  std::uint64_t callId_ = 0;
  bool operator==(const CallStatusQuery&) const = default;
};

/// Status of a call at the guard that received the query.
enum class CallStatus : std::uint8_t
{
  kNeverArrived, ///< Not received. The guard refuses it if it arrives later.
  kRunning,
  kDone,    ///< Finished. The guard sends its Answer after the reply.
  kRefused, ///< Refused before it started.
  kUnknown  ///< The guard can't tell: it keeps no record of the call or of its answer.
};

/// Reply to a CallStatusQuery.
struct CallStatusReply
{
  std::uint64_t callId_ = 0;
  CallStatus callStatus_ = CallStatus::kUnknown;
  bool operator==(const CallStatusReply&) const = default;
};

/// A caller's request forwarded to the host that issued its request id and therefore owns the
/// record of it. Answered with an Answer.
struct OwnerCall
{
  std::string requestId_;
  Call call_;
  bool operator==(const OwnerCall&) const = default;
};

/// Checks that a silent connection still works. Answered with an Ack.
struct Ping
{
  std::uint64_t nonce_ = 0;
  bool operator==(const Ping&) const = default;
};

/// Answer to a Ping, with its nonce.
struct Ack
{
  std::uint64_t nonce_ = 0;
  bool operator==(const Ack&) const = default;
};

/// Liveness of a member as the membership protocol sees it.
enum class MemberState : std::uint8_t
{
  kAlive,
  kSuspect,
  kUnreachable, ///< Its whole data centre is unreachable.
  kDead,
  kLeft ///< Left on purpose.
};

/// State of one member in probes, member tables and summaries.
struct MemberEntry
{
  HostId host_;
  Incarnation incarnation_ = 0;
  MemberState state_ = MemberState::kAlive;
  Address peer_; ///< TCP for frames and UDP on the same port for datagrams.
  DataCentreId dataCentre_;
  RegionId region_;
  ServiceId service_;
  TargetState targetState_ = TargetState::kCold;
  std::uint32_t slots_ = 0; ///< Concurrent requests that the target can serve; 0 if unknown.
  double load_ = 0;         ///< Fraction of the slots that are in use, 0 to 1.
  HostId successor_; ///< If state_ is kLeft: host that took over its request records, or empty.
  bool operator==(const MemberEntry&) const = default;
};

/// Membership probe, sent as a datagram. updates_ spreads member changes by gossip.
struct Probe
{
  std::uint64_t sequence_ = 0;
  MemberEntry sender_;
  std::vector<MemberEntry> updates_;
  bool operator==(const Probe&) const = default;
};

/// Answer to a Probe, with its sequence number (datagram).
struct ProbeAck
{
  std::uint64_t sequence_ = 0;
  MemberEntry sender_;
  std::vector<MemberEntry> updates_;
  bool operator==(const ProbeAck&) const = default;
};

/// Asks another member to probe subject_, which did not answer a direct probe (datagram).
struct ProbeRequest
{
  std::uint64_t sequence_ = 0;
  MemberEntry sender_;
  HostId subject_; ///< The member to probe.
  Address subjectAddress_;
  std::vector<MemberEntry> updates_;
  bool operator==(const ProbeRequest&) const = default;
};

/// Member table, or a request for one. A request that lists members lists its sender first.
struct MemberTable
{
  bool isRequest_ = false; ///< True: the receiver replies with its own table.
  std::vector<MemberEntry> members_;
  bool operator==(const MemberTable&) const = default;
};

/// Sets or removes one entity of the configuration.
struct EntityEdit
{
  std::string name_;                ///< For example "account/parish-7".
  std::optional<std::string> json_; ///< Canonical JSON text; none removes the entity.
  bool operator==(const EntityEdit&) const = default;
};

/// One version of the configuration as edits to the version before it. Also serves as audit record.
struct ConfigChange
{
  Version version_ = 0;
  std::string operatorName_;
  std::string operationId_;
  /// Operator's wall clock in milliseconds since 1970; informative only.
  std::uint64_t wallTimeMs_ = 0;
  std::string summary_;
  std::vector<EntityEdit> edits_;
  bool operator==(const ConfigChange&) const = default;
};

/// Asks the parent in the dissemination tree for newer versions; sent once a second.
struct SyncRequest
{
  std::uint64_t nonce_ = 0;
  Version version_ = 0;
  Version minSubtreeVersion_ = 0; ///< Minimum version in force in the sender's subtree.
  /// Nodes in the sender's subtree that reported to it, itself included.
  std::uint32_t subtreeNodes_ = 0;
  std::vector<HostId> lagging_; ///< At most 8 hosts that keep minSubtreeVersion_ from advancing.
  bool operator==(const SyncRequest&) const = default;
};

/// Reply to a SyncRequest.
struct SyncReply
{
  std::uint64_t nonce_ = 0;
  Version version_ = 0;
  /// Time, when sent, since version_ was last known to be the latest. Max value: unknown.
  std::uint64_t ageMs_ = 0;
  std::vector<ConfigChange> changes_;
  bool snapshot_ = false; ///< changes_ holds one ConfigChange that replaces all entities.
  /// Age of the evidence that the sender can't reach the platform: time since the start of its
  /// last, failed poll. Max value: no evidence.
  std::uint64_t outageAgeMs_ = ~std::uint64_t{ 0 };
  bool operator==(const SyncReply&) const = default;
};

/// New versions for a child in the dissemination tree.
struct VersionPush
{
  HostId root_; ///< Root of the tree.
  std::vector<ConfigChange> changes_;
  bool operator==(const VersionPush&) const = default;
};

/// Requests rate limit tokens of a client account from the share leader of the sender's data
/// centre.
struct ShareRequest
{
  std::uint64_t nonce_ = 0;
  ClientAccountId clientAccount_;
  std::uint64_t grant_ = 0; ///< Earlier grant that used_ refers to; 0 for none.
  double used_ = 0;         ///< Tokens used of that grant. The rest is returned.
  double wanted_ = 0;       ///< Tokens requested.
  bool operator==(const ShareRequest&) const = default;
};

/// Answer to a ShareRequest.
struct ShareGrant
{
  std::uint64_t nonce_ = 0;
  ClientAccountId clientAccount_;
  std::uint64_t grant_ = 0; ///< Id of the grant.
  double tokens_ = 0;
  std::uint32_t lifetimeMs_ = 0;   ///< Counted from just before the request was sent.
  std::uint32_t retryAfterMs_ = 0; ///< If tokens_ is 0: delay until tokens are expected.
  bool operator==(const ShareGrant&) const = default;
};

/// A host's use of one account's rate limit.
struct AccountUse
{
  ClientAccountId account_;
  std::uint64_t used_ = 0; ///< Requests since the host started.
  bool operator==(const AccountUse&) const = default;
};

/// A host's use of the rate limits of all accounts.
struct RateReport
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;   ///< Increases within an incarnation.
  std::vector<AccountUse> uses_; ///< Only accounts that were used.
  /// Load of the host's target; empty if the target doesn't state its duration of work.
  std::optional<LoadReport> load_;
  bool operator==(const RateReport&) const = default;
};

/// Reports of one or more hosts (datagram).
struct RateReports
{
  HostId sender_; ///< Host that reports for itself or relays reports of others.
  std::vector<RateReport> reports_;
  bool operator==(const RateReports&) const = default;
};

/// Estimate by the sender of the tokens of one account that all hosts together have left.
struct AccountLevel
{
  ClientAccountId account_;
  std::uint64_t tokens_ = 0;
  bool operator==(const AccountLevel&) const = default;
};

/// Token levels for a host that has just started, from one that has run for longer (datagram).
struct RateLevels
{
  Incarnation incarnation_ = 0; ///< Incarnation of the host that started.
  std::uint64_t sequence_ = 0;  ///< Last report of that host included in the levels.
  std::vector<AccountLevel> levels_;
  bool operator==(const RateLevels&) const = default;
};

/// Positions of the newest rows of the platform's store that a host holds.
struct RowPositions
{
  StorePosition config_;  ///< Position of the configuration row; version 0 for none.
  StorePosition hosts_;   ///< Position up to which all host rows are known.
  std::uint64_t era_ = 0; ///< Highest era of the store that the host knows of.
  /// Operator's version of the configuration in force, which may be newer than the row at config_;
  /// 0 for none and in era 0.
  std::uint64_t documentVersion_ = 0;
  bool operator==(const RowPositions&) const = default;
};

/// Maximum of FeedAnswer::freshnessAgeMs_. A larger age counts as unknown.
inline constexpr std::uint64_t kMaxFreshnessAgeMs = 60'000;

/// Asks a host of the same data centre whether held_ is the newest content of the platform's store
/// (datagram).
struct FeedQuery
{
  std::uint64_t nonce_ = 0;
  RowPositions held_;
  bool operator==(const FeedQuery&) const = default;
};

/// Answer to a FeedQuery (datagram).
struct FeedAnswer
{
  std::uint64_t nonce_ = 0;
  /// Time since newest_.config_ was last known to be the newest.
  std::uint64_t freshnessAgeMs_ = 0;
  /// Time since the sender's last call that the store answered. Later changes reach the sender
  /// through its watch of the store.
  std::uint64_t answerAgeMs_ = 0;
  RowPositions newest_; ///< Positions that the sender holds.
  bool operator==(const FeedAnswer&) const = default;
};

/// Kind of the rows in a FeedRows.
enum class FeedTable : std::uint8_t
{
  kConfig,
  kHosts
};

/// One row of the platform's store.
struct FeedRow
{
  std::string key_;
  std::string content_;
  std::uint64_t version_ = 0;
  bool operator==(const FeedRow&) const = default;
};

/// Changed rows of the platform's store for the other hosts of the data centre. With afterVersion_
/// 0, a row of hosts that isn't contained doesn't exist in this era.
struct FeedRows
{
  FeedTable table_ = FeedTable::kConfig;
  std::uint64_t afterVersion_ = 0; ///< rows_ contains all rows changed after this store version.
  std::uint64_t version_ = 0;      ///< Store version up to which rows_ is complete.
  std::vector<FeedRow> rows_;
  std::uint64_t era_ = 0; ///< Era of the store for all versions here.
  bool operator==(const FeedRows&) const = default;
};

/// One start of a target that has departed.
struct DepartedStart
{
  std::string start_;       ///< Name of the start; unique among those of its host.
  std::uint64_t ageMs_ = 0; ///< Time since its host recorded the departure, when sent.
  bool operator==(const DepartedStart&) const = default;
};

/// Departures of a host's target (datagram). From that host: a request to hold them. From another
/// host: those that it holds, as a confirmation or a repetition.
struct TargetDepartures
{
  HostId host_;   ///< Host of the target.
  HostId sender_; ///< Host that sent the message.
  std::vector<DepartedStart> starts_;
  bool operator==(const TargetDepartures&) const = default;
};

/// Asks a host for what it knows and the platform's store may have lost: a newer document, and
/// departures of the sender's target (datagram).
struct RecallQuery
{
  HostId sender_;
  RowPositions held_;
  bool wantsDocument_ = false; ///< The receiver is to send its document if it is newer.
  bool operator==(const RecallQuery&) const = default;
};

/// Answer to a RecallQuery (datagram).
struct RecallAnswer
{
  HostId sender_;
  /// Operator's version of the sender's document; 0 in era 0, and if the document is too large to
  /// be sent.
  std::uint64_t documentVersion_ = 0;
  std::vector<DepartedStart> departures_; ///< Those that the sender holds for the receiver.
  bool operator==(const RecallAnswer&) const = default;
};

/// State of a data centre. Each data centre's delegate sends it to the delegates of the others once
/// a second.
struct DataCentreSummary
{
  DataCentreId dataCentre_;
  Version version_ = 0;
  std::uint64_t ageMs_ = 0; ///< Time since version_ was last confirmed to be the latest.
  bool platformReachable_ = false;
  /// Members changed since the last summary; every 10 s all members.
  std::vector<MemberEntry> members_;
  bool operator==(const DataCentreSummary&) const = default;
};

/// Record of one request id in a handover.
struct HandoverRecord
{
  std::uint64_t sequence_ = 0;
  std::uint64_t ageMs_ = 0; ///< Time since the id was issued, when sent.
  bool done_ = false;       ///< False: the id was issued and its request never ran.
  std::string requestDigest_;
  std::optional<Answer> answer_;
  bool operator==(const HandoverRecord&) const = default;
};

/// Batch of request id records that a leaving host hands over to its successor.
struct RequestHandover
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::string secret_; ///< Key of the MAC in each request id.
  std::vector<HandoverRecord> records_;
  /// True for the last batch. After it the successor may answer requests with these ids.
  bool isLastBatch_ = false;
  bool operator==(const RequestHandover&) const = default;
};

/// Any peer message. The index of the alternative is its number on the wire.
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
                                 FeedQuery,
                                 FeedAnswer,
                                 FeedRows,
                                 TargetDepartures,
                                 RecallQuery,
                                 RecallAnswer>;

} // namespace peridotquay
