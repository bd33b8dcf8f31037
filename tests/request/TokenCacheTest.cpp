// Tests of the token cache against a model of the granting host.
#include "peridotquay/request/TokenCache.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <rapidcheck.h>

using namespace peridotquay;

namespace {

const ClientAccountId kAccount{ "orchard" };

/// One grant as the granting host knows it. Steps number the actions of a run.
struct ModelGrant
{
  double tokens_ = 0; ///< Granted tokens; after the report, the reported use.
  TimePoint expiresAt_{};
  int arrivedStep_ = 0;
  int reportedStep_ = std::numeric_limits<int>::max();
};

struct ConsumedToken
{
  int step_ = 0;
  TimePoint consumedAt_{};
};

/// Records the grants, reports and consumed tokens of one run and checks them.
struct Model
{
  std::map<std::uint64_t, ModelGrant> grants_;
  std::uint64_t nextGrant_ = 1;
  std::vector<ConsumedToken> consumed_;

  void ApplyReport(const ShareRequest& aRequest, int aStep)
  {
    if (aRequest.grant_ == 0) {
      RC_ASSERT(aRequest.used_ == 0);
      return;
    }
    const auto entry = grants_.find(aRequest.grant_);
    RC_ASSERT(entry != grants_.end());
    RC_ASSERT(entry->second.reportedStep_ > aStep);
    RC_ASSERT(aRequest.used_ <= entry->second.tokens_);
    entry->second.reportedStep_ = aStep;
    entry->second.tokens_ = aRequest.used_;
  }

  /// Each consumed token must come from a grant that had arrived, had not expired and wasn't
  /// reported yet, and no token may be consumed twice. Assigning the usable grant that ends first
  /// finds an assignment if there is one.
  void CheckConsumedTokens() const
  {
    std::vector<ModelGrant> grants;
    for (const auto& entry : grants_) {
      grants.push_back(entry.second);
      for (const ConsumedToken& token : consumed_) {
        if (token.consumedAt_ >= entry.second.expiresAt_) {
          grants.back().reportedStep_ = std::min(grants.back().reportedStep_, token.step_);
          break;
        }
      }
    }
    for (const ConsumedToken& token : consumed_) {
      ModelGrant* best = nullptr;
      for (ModelGrant& grant : grants) {
        const bool usable = grant.arrivedStep_ <= token.step_ &&
                            token.step_ < grant.reportedStep_ && grant.tokens_ >= 1;
        if (usable && (best == nullptr || grant.reportedStep_ < best->reportedStep_)) {
          best = &grant;
        }
      }
      RC_ASSERT(best != nullptr);
      best->tokens_ -= 1;
    }
  }
};

struct PendingRequest
{
  ShareRequest request_;
  TimePoint requestedAt_{};
};

} // namespace

// Guards against use of more tokens than were granted, of tokens that were given back, and of
// expired tokens, with replies that are late, lost, repeated or empty.
TEST_CASE("tokens are used once and before they expire", "[tokens]")
{
  CHECK(rc::check("random grants and lost replies", [] {
    TokenCache cache;
    Model model;
    std::deque<PendingRequest> pendingRequests;
    std::optional<std::pair<ShareGrant, TimePoint>> lastGrant;
    TimePoint now{ seconds(100) };
    const int steps = *rc::gen::inRange(0, 300);
    const int pace = *rc::gen::element(1, 20, 300);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, pace + 1));
      const int action = *rc::gen::inRange(0, 10);
      if (action < 6) {
        const AcquireResult result = AcquireToken(cache, kAccount, 0, now);
        if (result.shareRequest_) {
          RC_ASSERT(result.shareRequest_->wanted_ >= 1);
          // A report is sent after the token of the same step was consumed.
          model.ApplyReport(*result.shareRequest_, 2 * i + 1);
          pendingRequests.push_back({ *result.shareRequest_, now });
        }
        if (result.status_ == AcquireStatus::kAcquired) {
          model.consumed_.push_back({ 2 * i, now });
        } else {
          RC_ASSERT((result.status_ == AcquireStatus::kRefused) == (result.retryAfterMs_ > 0));
        }
      } else if (action < 8 && !pendingRequests.empty()) {
        const PendingRequest pending = pendingRequests.front();
        pendingRequests.pop_front();
        ShareGrant grant{ pending.request_.nonce_, kAccount, model.nextGrant_++, 0, 1000, 30 };
        grant.tokens_ = *rc::gen::element(0.0, 0.5, 1.0, 2.5, pending.request_.wanted_);
        grant.lifetimeMs_ = *rc::gen::element(10U, 1000U);
        if (grant.tokens_ == 0) {
          grant.grant_ = 0;
        } else {
          model.grants_[grant.grant_] = { grant.tokens_,
                                          pending.requestedAt_ + milliseconds(grant.lifetimeMs_),
                                          2 * i };
        }
        AddGrant(cache, grant, pending.requestedAt_);
        lastGrant = std::pair(grant, pending.requestedAt_);
      } else if (action == 8 && !pendingRequests.empty()) {
        pendingRequests.pop_front();
      } else if (action == 9 && lastGrant) {
        AddGrant(cache, lastGrant->first, lastGrant->second);
      } else {
        for (const ShareRequest& request : ReturnIdleTokens(cache, now)) {
          RC_ASSERT(request.wanted_ == 0);
          model.ApplyReport(request, 2 * i + 1);
        }
      }
    }
    model.CheckConsumedTokens();
  }));
}

// Guards against calls of an account within its rate that are refused, or that wait for tokens
// after its use is known.
TEST_CASE("tokens are requested before they run out", "[tokens]")
{
  TokenCache cache;
  TimePoint now{ seconds(100) };
  std::deque<PendingRequest> pendingRequests;
  std::uint64_t nextGrant = 1;
  int waited = 0;
  int requests = 0;
  double granted = 0;
  for (int ms = 0; ms < 4000; ++ms) {
    now += milliseconds(1);
    // The reply to a request takes 2 ms.
    while (!pendingRequests.empty() &&
           now - pendingRequests.front().requestedAt_ >= milliseconds(2)) {
      const ShareRequest& request = pendingRequests.front().request_;
      granted += request.wanted_;
      AddGrant(cache,
               { request.nonce_, kAccount, nextGrant++, request.wanted_, 1000, 0 },
               pendingRequests.front().requestedAt_);
      pendingRequests.pop_front();
    }
    if (ms % 10 != 0) {
      continue;
    }
    const AcquireResult result = AcquireToken(cache, kAccount, 0, now);
    CHECK(result.status_ != AcquireStatus::kRefused);
    waited += result.status_ == AcquireStatus::kPending && ms > 1000 ? 1 : 0;
    if (result.shareRequest_) {
      pendingRequests.push_back({ *result.shareRequest_, now });
      ++requests;
    }
  }
  CHECK(waited == 0);
  CHECK(requests < 60);
  CHECK(granted < 400 + 40);
}

// Guards against a host with low use that holds tokens which other hosts need: it must not request
// tokens ahead.
TEST_CASE("tokens of a rarely used account are requested one at a time", "[tokens]")
{
  TokenCache cache;
  const TimePoint now{ seconds(100) };
  const AcquireResult first = AcquireToken(cache, kAccount, 0, now);
  REQUIRE(first.status_ == AcquireStatus::kPending);
  REQUIRE(first.shareRequest_.has_value());
  CHECK(first.shareRequest_->wanted_ == 1);
  CHECK_FALSE(AcquireToken(cache, kAccount, 1, now).shareRequest_.has_value());
  AddGrant(cache, { first.shareRequest_->nonce_, kAccount, 7, 1, 1000, 0 }, now);
  const AcquireResult second = AcquireToken(cache, kAccount, 0, now + milliseconds(1));
  CHECK(second.status_ == AcquireStatus::kAcquired);
  CHECK_FALSE(second.shareRequest_.has_value());
  // The use is reported although no new token is wanted.
  const auto reports = ReturnIdleTokens(cache, now + milliseconds(300));
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].grant_ == 7);
  CHECK(reports[0].used_ == 1);
}

// Guards against memory that grows with the number of accounts, and against an account that a lost
// reply blocks permanently.
TEST_CASE("cached accounts are bounded and a request without a reply is repeated", "[tokens]")
{
  TokenCache cache;
  const TimePoint now{ seconds(100) };
  for (int i = 0; i < 1000; ++i) {
    AcquireToken(cache, { std::to_string(i) }, 0, now + seconds(i));
  }
  CHECK(cache.accounts_.size() <= kMaxCachedAccounts);
  CHECK_FALSE(AcquireToken(cache, { "999" }, 0, now + seconds(999)).shareRequest_.has_value());
  CHECK(AcquireToken(cache, { "999" }, 0, now + seconds(1000)).shareRequest_.has_value());
}
