// Encodes and decodes peer messages with msgpack. One VisitFields function for each type lists its
// fields for both directions.
#include "peridotquay/connection/PeerCodec.h"

#include <cmath>
#include <exception>
#include <limits>
#include <msgpack.hpp>
#include <type_traits>

namespace peridotquay {

namespace {

// Maximum number of elements of one array in a frame. Bounds what the parser allocates for the
// length in an array header.
constexpr std::size_t kMaxArrayElements = 65536;

// A field that older hosts don't send, and don't accept. Trailing fields come last. They are left
// out of a message while they and all behind them have their default value.
template<typename T>
struct Trailing
{
  T& field_;
};
template<typename T>
Trailing(T&) -> Trailing<T>;

template<typename T>
struct IsTrailing : std::false_type
{
};
template<typename T>
struct IsTrailing<Trailing<T>> : std::true_type
{
};

// VisitFields passes all fields of a type to the visitor (Encoder or Decoder) in wire order.
template<typename Visitor>
void VisitFields(Visitor& aVisit, Hello& aItem)
{
  aVisit(aItem.protocol_, aItem.host_, aItem.incarnation_, aItem.dataCentre_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, Call& aItem)
{
  aVisit(aItem.callId_,
         aItem.service_,
         aItem.route_,
         aItem.method_,
         aItem.path_,
         aItem.headers_,
         aItem.body_,
         aItem.clientAccount_,
         aItem.importance_,
         aItem.deadlineMs_,
         aItem.retries_,
         aItem.repeatable_,
         aItem.depth_,
         Trailing{ aItem.waitedMs_ });
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, AdmissionLevel& aItem)
{
  aVisit(aItem.minAdmittedImportance_, aItem.admittedFraction_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, Answer& aItem)
{
  aVisit(aItem.callId_,
         aItem.outcome_,
         aItem.error_,
         aItem.retryAfterMs_,
         aItem.status_,
         aItem.headers_,
         aItem.body_,
         aItem.declaredBodyBytes_,
         aItem.retriesUnused_,
         aItem.inFlight_,
         aItem.limit_,
         aItem.queued_,
         aItem.level_,
         aItem.failurePercent_,
         Trailing{ aItem.workPercent_ });
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, Cancel& aItem)
{
  aVisit(aItem.callId_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, CallStatusQuery& aItem)
{
  aVisit(aItem.incarnation_, aItem.callId_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, CallStatusReply& aItem)
{
  aVisit(aItem.callId_, aItem.callStatus_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, OwnerCall& aItem)
{
  aVisit(aItem.requestId_, aItem.call_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, Ping& aItem)
{
  aVisit(aItem.nonce_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, Ack& aItem)
{
  aVisit(aItem.nonce_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, Address& aItem)
{
  aVisit(aItem.ip_, aItem.port_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, MemberEntry& aItem)
{
  aVisit(aItem.host_,
         aItem.incarnation_,
         aItem.state_,
         aItem.peer_,
         aItem.dataCentre_,
         aItem.region_,
         aItem.service_,
         aItem.targetState_,
         aItem.slots_,
         aItem.load_,
         aItem.successor_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, Probe& aItem)
{
  aVisit(aItem.sequence_, aItem.sender_, aItem.updates_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, ProbeAck& aItem)
{
  aVisit(aItem.sequence_, aItem.sender_, aItem.updates_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, ProbeRequest& aItem)
{
  aVisit(aItem.sequence_, aItem.sender_, aItem.subject_, aItem.subjectAddress_, aItem.updates_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, MemberTable& aItem)
{
  aVisit(aItem.isRequest_, aItem.members_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, EntityEdit& aItem)
{
  aVisit(aItem.name_, aItem.json_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, ConfigChange& aItem)
{
  aVisit(aItem.version_,
         aItem.operatorName_,
         aItem.operationId_,
         aItem.wallTimeMs_,
         aItem.summary_,
         aItem.edits_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, SyncRequest& aItem)
{
  aVisit(
    aItem.nonce_, aItem.version_, aItem.minSubtreeVersion_, aItem.subtreeNodes_, aItem.lagging_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, SyncReply& aItem)
{
  aVisit(aItem.nonce_,
         aItem.version_,
         aItem.ageMs_,
         aItem.changes_,
         aItem.snapshot_,
         aItem.outageAgeMs_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, VersionPush& aItem)
{
  aVisit(aItem.root_, aItem.changes_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, ShareRequest& aItem)
{
  aVisit(aItem.nonce_, aItem.clientAccount_, aItem.grant_, aItem.used_, aItem.wanted_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, ShareGrant& aItem)
{
  aVisit(aItem.nonce_,
         aItem.clientAccount_,
         aItem.grant_,
         aItem.tokens_,
         aItem.lifetimeMs_,
         aItem.retryAfterMs_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, AccountUse& aItem)
{
  aVisit(aItem.account_, aItem.used_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, LoadReport& aItem)
{
  aVisit(aItem.running_, aItem.queued_, aItem.limit_, aItem.workPercent_, Trailing{ aItem.ageMs_ });
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, RateReport& aItem)
{
  aVisit(aItem.host_, aItem.incarnation_, aItem.sequence_, aItem.uses_, Trailing{ aItem.load_ });
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, RateReports& aItem)
{
  aVisit(aItem.sender_, aItem.reports_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, AccountLevel& aItem)
{
  aVisit(aItem.account_, aItem.tokens_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, RateLevels& aItem)
{
  aVisit(aItem.incarnation_, aItem.sequence_, aItem.levels_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, RowPositions& aItem)
{
  aVisit(aItem.config_.version_,
         aItem.hosts_.version_,
         Trailing{ aItem.config_.era_ },
         Trailing{ aItem.hosts_.era_ },
         Trailing{ aItem.era_ },
         Trailing{ aItem.documentVersion_ });
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, FeedQuery& aItem)
{
  aVisit(aItem.nonce_, aItem.held_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, FeedAnswer& aItem)
{
  aVisit(aItem.nonce_, aItem.freshnessAgeMs_, aItem.answerAgeMs_, aItem.newest_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, FeedRow& aItem)
{
  aVisit(aItem.key_, aItem.content_, aItem.version_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, FeedRows& aItem)
{
  aVisit(aItem.table_, aItem.afterVersion_, aItem.version_, aItem.rows_, Trailing{ aItem.era_ });
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, DepartedStart& aItem)
{
  aVisit(aItem.start_, aItem.ageMs_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, TargetDepartures& aItem)
{
  aVisit(aItem.host_, aItem.sender_, aItem.starts_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, RecallQuery& aItem)
{
  aVisit(aItem.sender_, aItem.held_, aItem.wantsDocument_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, RecallAnswer& aItem)
{
  aVisit(aItem.sender_, aItem.documentVersion_, aItem.departures_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, DataCentreSummary& aItem)
{
  aVisit(aItem.dataCentre_, aItem.version_, aItem.ageMs_, aItem.platformReachable_, aItem.members_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, HandoverRecord& aItem)
{
  aVisit(aItem.sequence_, aItem.ageMs_, aItem.done_, aItem.requestDigest_, aItem.answer_);
}
template<typename Visitor>
void VisitFields(Visitor& aVisit, RequestHandover& aItem)
{
  aVisit(aItem.host_, aItem.incarnation_, aItem.secret_, aItem.records_, aItem.isLastBatch_);
}

// Id types, which wrap a string in value_ and are encoded as that string. Message types must not
// have a string member of that name, because they would match too.
template<typename T>
concept StringId = requires(T aItem)
{
  {
    aItem.value_
    } -> std::same_as<std::string&>;
};

template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<typename T>
struct IsOptional : std::false_type
{
};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<typename T>
struct IsPair : std::false_type
{
};
template<typename A, typename B>
struct IsPair<std::pair<A, B>> : std::true_type
{
};

// Maximum value of each enum on the wire. The decoder rejects larger ones.
template<typename T>
constexpr std::uint64_t kMaxEnumValue = 0;
template<>
constexpr std::uint64_t kMaxEnumValue<Outcome> = static_cast<std::uint64_t>(Outcome::kUnknown);
template<>
constexpr std::uint64_t kMaxEnumValue<Importance> = static_cast<std::uint64_t>(Importance::kLow);
template<>
constexpr std::uint64_t kMaxEnumValue<CallStatus> =
  static_cast<std::uint64_t>(CallStatus::kUnknown);
template<>
constexpr std::uint64_t kMaxEnumValue<MemberState> = static_cast<std::uint64_t>(MemberState::kLeft);
template<>
constexpr std::uint64_t kMaxEnumValue<TargetState> = static_cast<std::uint64_t>(TargetState::kLeft);
template<>
constexpr std::uint64_t kMaxEnumValue<FeedTable> = static_cast<std::uint64_t>(FeedTable::kHosts);

// Output stream for msgpack::packer.
struct StringOutput
{
  std::string text_;
  // msgpack's stream concept requires this name.
  void write(const char* aData, std::size_t aSize) // NOLINT(readability-identifier-naming)
  {
    text_.append(aData, aSize);
  }
};

// Writes fields as a msgpack array.
class Encoder
{
public:
  explicit Encoder(StringOutput& aOutput)
    : packer_(aOutput)
  {
  }

  template<typename... T>
  void operator()(T&&... aFields)
  {
    std::uint32_t position = 0;
    std::uint32_t count = 0;
    const auto countField = [&](const auto& aField) {
      ++position;
      if (!IsDefault(aField)) {
        count = position;
      }
    };
    (countField(aFields), ...);
    packer_.pack_array(count);
    position = 0;
    const auto writeField = [&](auto& aField) {
      if (position++ < count) {
        Write(aField);
      }
    };
    (writeField(aFields), ...);
  }

  template<typename T>
  void Write(T& aItem)
  {
    if constexpr (std::is_same_v<T, std::string>) {
      packer_.pack_str(static_cast<std::uint32_t>(aItem.size()));
      packer_.pack_str_body(aItem.data(), static_cast<std::uint32_t>(aItem.size()));
    } else if constexpr (IsTrailing<T>::value) {
      Write(aItem.field_);
    } else if constexpr (StringId<T>) {
      Write(aItem.value_);
    } else if constexpr (std::is_enum_v<T>) {
      packer_.pack(static_cast<std::uint64_t>(aItem));
    } else if constexpr (std::is_arithmetic_v<T>) {
      packer_.pack(aItem);
    } else if constexpr (IsVector<T>::value) {
      packer_.pack_array(static_cast<std::uint32_t>(aItem.size()));
      for (auto& element : aItem) {
        Write(element);
      }
    } else if constexpr (IsOptional<T>::value) {
      if (aItem) {
        Write(*aItem);
      } else {
        packer_.pack_nil();
      }
    } else if constexpr (IsPair<T>::value) {
      (*this)(aItem.first, aItem.second);
    } else {
      VisitFields(*this, aItem);
    }
  }

private:
  // Whether a field is trailing and has its default value.
  template<typename T>
  static bool IsDefault(const T& aField)
  {
    if constexpr (IsTrailing<T>::value) {
      return aField.field_ == std::remove_cvref_t<decltype(aField.field_)>{};
    } else {
      return false;
    }
  }

  msgpack::packer<StringOutput> packer_;
};

// Reads fields from a parsed msgpack array. Trailing fields that it lacks are left unchanged.
// valid_ turns false at the first value that has the wrong type or is out of range; the rest is
// then skipped.
class Decoder
{
public:
  explicit Decoder(const msgpack::object& aObject)
    : object_(aObject)
  {
  }

  bool valid_ = true;

  template<typename... T>
  void operator()(T&&... aFields)
  {
    constexpr std::size_t kTrailing =
      (std::size_t{ IsTrailing<std::remove_cvref_t<T>>::value } + ... + 0);
    if (object_.type != msgpack::type::ARRAY || object_.via.array.size > sizeof...(T) ||
        object_.via.array.size < sizeof...(T) - kTrailing) {
      valid_ = false;
      return;
    }
    std::size_t index = 0;
    const auto readField = [&](auto& aField) {
      if (index < object_.via.array.size) {
        Read(object_.via.array.ptr[index++], aField);
      }
    };
    (readField(aFields), ...);
  }

  template<typename T>
  void Read(const msgpack::object& aObject, T& aItem)
  {
    if (!valid_) {
      return;
    }
    if constexpr (std::is_same_v<T, std::string>) {
      if (Check(aObject.type == msgpack::type::STR)) {
        aItem.assign(aObject.via.str.ptr, aObject.via.str.size);
      }
    } else if constexpr (IsTrailing<T>::value) {
      Read(aObject, aItem.field_);
    } else if constexpr (StringId<T>) {
      Read(aObject, aItem.value_);
    } else if constexpr (std::is_same_v<T, bool>) {
      if (Check(aObject.type == msgpack::type::BOOLEAN)) {
        aItem = aObject.via.boolean;
      }
    } else if constexpr (std::is_enum_v<T>) {
      if (Check(aObject.type == msgpack::type::POSITIVE_INTEGER &&
                aObject.via.u64 <= kMaxEnumValue<T>)) {
        aItem = static_cast<T>(aObject.via.u64);
      }
    } else if constexpr (std::is_integral_v<T>) {
      if (Check(aObject.type == msgpack::type::POSITIVE_INTEGER &&
                aObject.via.u64 <= std::numeric_limits<T>::max())) {
        aItem = static_cast<T>(aObject.via.u64);
      }
    } else if constexpr (std::is_floating_point_v<T>) {
      // The packer writes floating-point numbers without fraction as integers.
      if (aObject.type == msgpack::type::POSITIVE_INTEGER) {
        aItem = static_cast<T>(aObject.via.u64);
      } else if (aObject.type == msgpack::type::NEGATIVE_INTEGER) {
        aItem = static_cast<T>(aObject.via.i64);
      } else if (Check(aObject.type == msgpack::type::FLOAT64 && std::isfinite(aObject.via.f64))) {
        aItem = aObject.via.f64;
      }
    } else if constexpr (IsVector<T>::value) {
      if (Check(aObject.type == msgpack::type::ARRAY)) {
        aItem.resize(aObject.via.array.size);
        for (std::size_t i = 0; i < aItem.size() && valid_; ++i) {
          Read(aObject.via.array.ptr[i], aItem[i]);
        }
      }
    } else if constexpr (IsOptional<T>::value) {
      if (aObject.type == msgpack::type::NIL) {
        aItem.reset();
      } else {
        Read(aObject, aItem.emplace());
      }
    } else if constexpr (IsPair<T>::value) {
      Decoder inner(aObject);
      inner(aItem.first, aItem.second);
      Check(inner.valid_);
    } else {
      Decoder inner(aObject);
      VisitFields(inner, aItem);
      Check(inner.valid_);
    }
  }

private:
  bool Check(bool aCondition)
  {
    valid_ = valid_ && aCondition;
    return valid_;
  }

  const msgpack::object& object_;
};

Result<PeerMessage> MalformedMessage()
{
  return Fail(ErrorCode::kFrameMalformed, "peer message");
}

// Decodes the fields of the PeerMessage alternative that has the given index.
template<std::size_t I = 0>
Result<PeerMessage> DecodeAlternative(std::size_t aNumber, const msgpack::object& aFields)
{
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (aNumber != I) {
      return DecodeAlternative<I + 1>(aNumber, aFields);
    }
    std::variant_alternative_t<I, PeerMessage> message;
    Decoder decoder(aFields);
    VisitFields(decoder, message);
    if (!decoder.valid_) {
      return MalformedMessage();
    }
    return PeerMessage(std::move(message));
  } else {
    return MalformedMessage();
  }
}

// Tells the parser to refer to strings in the body, so that they are copied only once, into the
// message.
bool ReferenceStringsInBody(msgpack::type::object_type /*aType*/,
                            std::size_t /*aSize*/,
                            void* /*aUser*/)
{
  return true;
}

void AppendEncoded(StringOutput& aOutput, const PeerMessage& aMessage)
{
  msgpack::packer<StringOutput> packer(aOutput);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint32_t>(aMessage.index()));
  Encoder encoder(aOutput);
  std::visit(
    [&](const auto& aItem) {
      // VisitFields takes mutable references because it also serves the decoder. The encoder only
      // reads.
      using Item = std::remove_cvref_t<decltype(aItem)>;
      encoder.Write(const_cast<Item&>(aItem)); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    },
    aMessage);
}

} // namespace

std::string EncodePeerMessage(const PeerMessage& aMessage)
{
  StringOutput output;
  AppendEncoded(output, aMessage);
  return std::move(output.text_);
}

Result<PeerMessage> DecodePeerMessage(std::string_view aBody)
{
  if (aBody.size() > kMaxFrameBytes) {
    return Fail(ErrorCode::kFrameTooLarge, "peer message", "maximum 1048576 bytes");
  }
  try {
    std::size_t offset = 0;
    const msgpack::unpack_limit limit(kMaxArrayElements, 0, kMaxFrameBytes, 0, 0, kMaxFrameNesting);
    const msgpack::object_handle handle =
      msgpack::unpack(aBody.data(), aBody.size(), offset, &ReferenceStringsInBody, nullptr, limit);
    const msgpack::object& object = handle.get();
    if (offset != aBody.size() || object.type != msgpack::type::ARRAY ||
        object.via.array.size != 2 ||
        object.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER) {
      return MalformedMessage();
    }
    return DecodeAlternative(object.via.array.ptr[0].via.u64, object.via.array.ptr[1]);
  } catch (const msgpack::depth_size_overflow&) {
    return Fail(ErrorCode::kFrameNesting, "peer message", "maximum 8 nesting levels");
  } catch (const msgpack::size_overflow&) {
    return Fail(ErrorCode::kFrameTooLarge, "peer message", "maximum 65536 array elements");
  } catch (const std::exception&) {
    return MalformedMessage();
  }
}

std::string FramePeerMessage(const PeerMessage& aMessage)
{
  StringOutput output;
  output.text_.assign(4, '\0');
  AppendEncoded(output, aMessage);
  const std::size_t length = output.text_.size() - 4;
  for (std::size_t i = 0; i < 4; ++i) {
    output.text_[i] = static_cast<char>((length >> (8U * (3U - i))) & 0xFFU);
  }
  return std::move(output.text_);
}

} // namespace peridotquay
