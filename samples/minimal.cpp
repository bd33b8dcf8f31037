// Minimal use of the decision library: one request passes authentication, rate limit, routing and
// admission.
#include "peridotquay/request/Admission.h"
#include "peridotquay/request/RouteChoice.h"
#include "peridotquay/request/TokenCache.h"
#include "peridotquay/version/ConfigCompiler.h"

#include <iostream>

namespace {

using namespace peridotquay;

/// A target of the service "profiles" on one host.
Target SampleTarget(const std::string& aHost)
{
  Target target;
  target.host_ = HostId{ aHost };
  target.dataCentre_ = DataCentreId{ "east-1" };
  target.region_ = RegionId{ "east" };
  target.service_ = ServiceId{ "profiles" };
  target.slots_ = 50;
  return target;
}

/// Configuration with one client account, one key and one route.
Entities SampleEntities(const std::string& aKey)
{
  return {
    { "account/parish-7", R"({"burst":10,"rate":50})" },
    { "key/" + KeyDigest(aKey), R"({"account":"parish-7"})" },
    { "service/profiles", "{}" },
    { "route/profiles", R"({"prefix":"/profiles","service":"profiles"})" },
    { "site/east-1", R"({"region":"east"})" },
  };
}

} // namespace

int main()
{
  const std::string key = "sample-key";
  const TimePoint now = Clock::now();
  const auto config = CompileConfig(SampleEntities(key), DataCentreId{ "east-1" }, 1);
  if (!config) {
    std::cerr << Describe(config.assume_error()) << "\n";
    return 1;
  }

  // Authenticate: only the digest of the key is known.
  const ClientAccount* account = FindAccountByKeyDigest(*config.assume_value(), KeyDigest(key));
  const Route* route = FindRoute(*config.assume_value(), "/profiles/bell-17");
  if (account == nullptr || route == nullptr) {
    std::cerr << "no account or route\n";
    return 1;
  }

  // Limit: the first call has no tokens and asks the share leader; here the grant is made by hand.
  TokenCache cache;
  AcquireResult take = AcquireToken(cache, account->id_, 0, now);
  if (take.shareRequest_) {
    AddGrant(cache, { take.shareRequest_->nonce_, account->id_, 1, 5, 1000, 0 }, now);
    take = AcquireToken(cache, account->id_, 0, now);
  }
  std::cout << "rate limit: " << (take.status_ == AcquireStatus::kAcquired ? "taken" : "refused")
            << "\n";

  // Route: power of two choices over the targets in the view.
  TargetView view;
  view.targets_[route->service_] = { SampleTarget("host-a"), SampleTarget("host-b") };
  RoutingState routing;
  routing.dataCentre_ = DataCentreId{ "east-1" };
  routing.region_ = RegionId{ "east" };
  const auto target = ChooseTarget(routing, view, route->service_, {}, now);
  std::cout << "target: " << (target ? target->host_.value_ : "none") << "\n";

  // Admit: the guard of the chosen target starts, queues or refuses the call.
  AdmissionState admission;
  const AdmissionActions step = OfferCall(
    admission, { 1, route->importance_, account->id_, 50, now, now + route->deadline_ }, now);
  std::cout << "admission: " << (step.start_.empty() ? "not started" : "started") << "\n";
  return 0;
}
