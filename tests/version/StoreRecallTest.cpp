// Tests of the questions that a starting host asks the others.
#include "peridotquay/version/StoreRecall.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(1000) };
const std::vector<HostId> kHosts{ { "h2" }, { "h3" }, { "k1" } };

} // namespace

// Guards against a process that trusts the store before it has asked anybody.
TEST_CASE("the store is trusted once all hosts have answered", "[recall]")
{
  StoreRecallState recall;
  CHECK_FALSE(IsStoreTrusted(recall, 5));
  BeginRecall(recall, kHosts, kStart);
  CHECK(CollectDueRecalls(recall, kStart) == kHosts);
  ApplyRecallAnswer(recall, { "h2" }, 5);
  ApplyRecallAnswer(recall, { "k1" }, 0);
  CHECK_FALSE(IsStoreTrusted(recall, 5));
  CHECK_FALSE(IsRecallComplete(recall));
  ApplyRecallAnswer(recall, { "h3" }, 4);
  CHECK(IsRecallComplete(recall));
  CHECK(IsStoreTrusted(recall, 5));
  CHECK(CollectDueRecalls(recall, kStart + milliseconds(200)).empty());
}

// Guards against a withdrawn key that is accepted by the older document of a store that went back.
TEST_CASE("the store isn't trusted while another host holds a newer document", "[recall]")
{
  StoreRecallState recall;
  BeginRecall(recall, kHosts, kStart);
  ApplyRecallAnswer(recall, { "k1" }, 6);
  CollectDueRecalls(recall, kStart + seconds(1));
  CHECK_FALSE(IsStoreTrusted(recall, 5));
  CHECK_FALSE(IsDocumentOverdue(recall, 5, kStart + milliseconds(900)));
  CHECK(IsDocumentOverdue(recall, 5, kStart + milliseconds(1000)));
  CHECK(IsStoreTrusted(recall, 6));
  CHECK_FALSE(IsDocumentOverdue(recall, 6, kStart + milliseconds(1000)));
}

// Guards against a host that never serves keyed requests because a host that it asks is gone, and
// against one lost datagram that counts as a dead host.
TEST_CASE("hosts that don't answer are asked again and then taken for dead", "[recall]")
{
  StoreRecallState recall;
  BeginRecall(recall, kHosts, kStart);
  CollectDueRecalls(recall, kStart);
  ApplyRecallAnswer(recall, { "h2" }, 5);
  CHECK(CollectDueRecalls(recall, kStart + milliseconds(50)).empty());
  CHECK(CollectDueRecalls(recall, kStart + milliseconds(100)) ==
        std::vector<HostId>{ { "h3" }, { "k1" } });
  CHECK_FALSE(IsStoreTrusted(recall, 5));
  CHECK(CollectDueRecalls(recall, kStart + milliseconds(400)).empty());
  CHECK(IsStoreTrusted(recall, 5));
}

TEST_CASE("a host without others trusts the store at once", "[recall]")
{
  StoreRecallState recall;
  BeginRecall(recall, {}, kStart);
  CHECK(IsStoreTrusted(recall, 1));
}

TEST_CASE("hosts of all data centres are asked, not always the same", "[recall]")
{
  const std::map<DataCentreId, std::vector<HostId>> elsewhere{
    { { "k" }, { { "k1" }, { "k2" }, { "k3" }, { "k4" }, { "k5" } } }, { { "l" }, { { "l1" } } }
  };
  CHECK(HostsToRecallFrom({ "h1" }, { { "h0" }, { "h2" } }, elsewhere) ==
        std::vector<HostId>{ { "h2" }, { "h0" }, { "k1" }, { "k2" }, { "l1" } });
  CHECK(HostsToRecallFrom({ "k2x" }, {}, elsewhere) ==
        std::vector<HostId>{ { "k1" }, { "k2" }, { "k3" }, { "k4" }, { "l1" } });
}
