// Position of a row in the users' store, and the decisions that depend on the store having gone
// back to an older copy of itself. The store then counts one more era and issues versions again.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotquay {

/// Era and version of a row or of the whole store, ordered by era, then by version. The default
/// value comes before every row.
struct StorePosition
{
  std::uint64_t era_ = 0; ///< 0 in stores that state no era.
  std::uint64_t version_ = 0;
  auto operator<=>(const StorePosition&) const = default; // NOLINT(modernize-use-nullptr): C++20
};

/// Text of a position for logs: the version, preceded by the era if that isn't 0.
std::string Describe(const StorePosition& aPosition);

/// What a host knows of the store's era.
struct StoreEra
{
  std::uint64_t era_ = 0;
  bool stated_ = false; ///< The store or another host has stated an era.
  bool operator==(const StoreEra&) const = default;
};

/// How an answer's era compares with the known one.
enum class EraChange : std::uint8_t
{
  kNone,
  kRaised,  ///< The store went back since; what was read before is no longer its content.
  kOutdated ///< The answer comes from before the store went back and must be discarded.
};

/// Records the era that an answer states; empty if it states none, which keeps the known era.
EraChange ObserveEra(StoreEra& aKnown, std::optional<std::uint64_t> aStated);

/// The version that a conditional write expects of a row last seen at a position. A version of an
/// earlier era may have been issued again for other content, so it is replaced by 0 (no row): if
/// there is a row, the write fails and the store answers with it.
std::uint64_t WriteCondition(const StorePosition& aExpected, std::uint64_t aEra);

/// What becomes of a document that was read at a newer position than the one that is held.
struct DocumentChoice
{
  bool putInForce_ = true; ///< False: the held document stays in force.
  bool keepText_ = true;   ///< The read text replaces the text that is passed to other hosts.
  bool operator==(const DocumentChoice&) const = default;
};

/// The higher operator's version wins in every era, so that a key withdrawn in the lost writes
/// stays withdrawn while the store has the older document. Of equal versions the newer position
/// wins. aHeldVersion: operator's version in force; empty if there is none.
DocumentChoice ChooseDocument(std::optional<std::uint64_t> aHeldVersion,
                              std::uint64_t aReadVersion,
                              const StorePosition& aReadAt);

} // namespace peridotquay
