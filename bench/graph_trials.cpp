// Plays the scenes of an overloaded service graph in virtual time, with run limits and without, and
// prints a table.
//
// Usage: graph_trials [SEED [SCENE [seconds]]]
// With "seconds", prints each second of the scene instead of each phase.
#include "standins/lib/ServiceGraph.h"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace peridotquay;
using namespace peridotquay::standins;

namespace {

void PrintSeconds(const GraphScene& aScene, const GraphResult& aResult)
{
  for (std::size_t i = 0; i < static_cast<std::size_t>(aScene.durationSeconds_); ++i) {
    const GraphSecond all = aResult.Sum(-1, i, i + 1);
    std::printf("%-14s %-6s %3zu  offered %5.0f good %5.0f late %5.0f refused %5.0f failed %5.0f\n",
                aScene.name_.c_str(),
                aScene.limitsRuns_ ? "limits" : "none",
                i,
                all.offered_,
                all.good_,
                all.late_,
                all.refused_,
                all.failed_);
  }
}

void PrintScene(GraphScene aScene, bool aLimitsRuns, bool aBySecond, bool aSchedules = false)
{
  aScene.limitsRuns_ = aLimitsRuns;
  aScene.schedulesCapacity_ = aSchedules;
  const GraphResult result = PlayScene(aScene);
  if (aBySecond) {
    PrintSeconds(aScene, result);
    return;
  }
  for (std::size_t i = 0; i < aScene.phases_.size(); ++i) {
    const GraphPhase& phase = aScene.phases_[i];
    const bool last = i + 1 == aScene.phases_.size();
    const auto from = static_cast<std::size_t>(phase.atSecond_);
    const auto to =
      static_cast<std::size_t>(last ? aScene.durationSeconds_ : aScene.phases_[i + 1].atSecond_);
    std::printf("%-14s %-6s %3zu-%-3zu allowed %.3f",
                aScene.name_.c_str(),
                aSchedules    ? "capacity"
                : aLimitsRuns ? "limits"
                              : "none",
                from,
                to,
                AllowedFraction(aScene, phase));
    const GraphSecond all = result.Sum(-1, from, to);
    std::printf("  good %.3f late %.3f refused %.3f failed %.3f |",
                all.good_ / all.offered_,
                all.late_ / all.offered_,
                all.refused_ / all.offered_,
                all.failed_ / all.offered_);
    for (std::size_t route = 0; route < aScene.routes_.size(); ++route) {
      const GraphSecond sum = result.Sum(static_cast<int>(route), from, to);
      if (sum.offered_ > 0) {
        std::printf(" %s %.3f", aScene.routes_[route].name_.c_str(), sum.good_ / sum.offered_);
      }
    }
    std::printf("\n");
  }
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const std::uint64_t seed = aArgumentCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  const std::string only = aArgumentCount > 2 ? aArguments[2] : "";
  const bool bySecond = aArgumentCount > 3 && std::string(aArguments[3]) == "seconds";
  for (GraphScene scene : GraphScenes()) {
    if (only.empty() || only == scene.name_) {
      scene.seed_ = seed;
      PrintScene(scene, false, bySecond);
      PrintScene(scene, true, bySecond);
    }
  }
  for (GraphScene scene : TopUpScenes()) {
    if (only.empty() || only == scene.name_) {
      scene.seed_ = seed;
      PrintScene(scene, true, bySecond);
      PrintScene(scene, true, bySecond, true);
    }
  }
  return 0;
}
