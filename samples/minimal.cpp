// Minimal use of the library: one request passes authentication, rate limiting, routing and
// admission.
#include "peridotquay/request/Admission.h"
#include "peridotquay/request/RouteChoice.h"
#include "peridotquay/request/TokenCache.h"
#include "peridotquay/version/ConfigCompiler.h"

#include <iostream>

namespace {

using namespace peridotquay;

/// Returns a target of the service "profiles".
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

/// Returns a configuration with one client account, one key, one service, one route and one site.
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

  // Authentication: the configuration holds only the digest of each key.
  const ClientAccount* account = FindAccountByKeyDigest(*config.assume_value(), KeyDigest(key));
  const Route* route = FindRoute(*config.assume_value(), "/profiles/bell-17");
  if (account == nullptr || route == nullptr) {
    std::cerr << "no client account or route for the request\n";
    return 1;
  }

  // Rate limit: the token cache is empty at first and yields a request to the share leader. This
  // sample adds the grant directly.
  TokenCache cache;
  AcquireResult acquired = AcquireToken(cache, account->id_, 0, now);
  if (acquired.shareRequest_) {
    AddGrant(cache, { acquired.shareRequest_->nonce_, account->id_, 1, 5, 1000, 0 }, now);
    acquired = AcquireToken(cache, account->id_, 0, now);
  }
  std::cout << "rate limit: "
            << (acquired.status_ == AcquireStatus::kAcquired ? "taken" : "refused") << "\n";

  // Routing: power of two choices among the targets in the view.
  TargetView view;
  view.targets_[route->service_] = { SampleTarget("host-a"), SampleTarget("host-b") };
  RoutingState routing;
  routing.dataCentre_ = DataCentreId{ "east-1" };
  routing.region_ = RegionId{ "east" };
  const auto target = ChooseTarget(routing, view, route->service_, {}, now);
  std::cout << "target: " << (target ? target->host_.value_ : "none") << "\n";

  // Admission: the guard of the chosen target starts, queues or refuses the call.
  AdmissionState admission;
  const AdmissionActions admitted = OfferCall(
    admission, { 1, route->importance_, account->id_, 50, now, now + route->deadline_ }, now);
  std::cout << "admission: " << (admitted.start_.empty() ? "not started" : "started") << "\n";
  return 0;
}
