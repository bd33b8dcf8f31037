// Generates Poisson arrivals from the plan's seed.
#include "standins/lib/LoadPlan.h"

#include <random>

namespace peridotquay::standins {

std::vector<Arrival> PlanArrivals(const LoadPlan& aPlan)
{
  std::mt19937_64 random(aPlan.seed_);
  std::vector<double> fractions;
  for (const LoadClass& requestClass : aPlan.classes_) {
    fractions.push_back(requestClass.fraction_);
  }
  std::discrete_distribution<std::uint32_t> classes(fractions.begin(), fractions.end());
  std::vector<Arrival> arrivals;
  double start = 0;
  for (std::uint32_t phase = 0; phase < aPlan.phases_.size(); ++phase) {
    const LoadPhase& current = aPlan.phases_[phase];
    std::vector<double> rates;
    double rate = 0;
    for (std::size_t i = 0; i < aPlan.accounts_.size(); ++i) {
      const double factor = current.accountFactors_.empty() ? 1 : current.accountFactors_[i];
      rates.push_back(aPlan.baseRate_ * current.loadFactor_ * factor *
                      aPlan.accounts_[i].fraction_);
      rate += rates.back();
    }
    std::discrete_distribution<std::uint32_t> accounts(rates.begin(), rates.end());
    const double end = start + current.durationSeconds_;
    if (rate > 0) {
      std::exponential_distribution<double> gap(rate);
      for (double at = start + gap(random); at < end; at += gap(random)) {
        arrivals.push_back({ at, phase, accounts(random), classes(random), random() });
      }
    }
    start = end;
  }
  return arrivals;
}

} // namespace peridotquay::standins
