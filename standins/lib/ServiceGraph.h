// Model of a service graph in virtual time: clients that retry, guards with the product's admission
// and run limits, and targets that make deeper calls. The same seed gives the same results.
#pragma once

#include "peridotquay/request/Admission.h"
#include "peridotquay/request/RunLimit.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// Deeper calls that each run of a route makes, one after the other.
struct GraphCalls
{
  std::size_t route_ = 0; ///< Index in GraphScene::routes_.
  std::uint32_t times_ = 1;
};

/// A route of the graph.
struct GraphRoute
{
  std::string name_;
  std::size_t service_ = 0;  ///< Index in GraphScene::services_.
  double workSeconds_ = 0.1; ///< Mean time that the target itself works on a run.
  std::vector<GraphCalls> calls_;
  Duration timeout_ = seconds(1);   ///< Longest time of a call from its arrival to its end.
  Duration objective_ = seconds(1); ///< A client is served well within this time.
  double requestsPerSecond_ = 0;    ///< Requests of clients; 0 for routes that only targets call.
  Importance importance_ = Importance::kNormal;
};

/// A service of the graph. All of its targets are alike.
struct GraphService
{
  std::string name_;
  std::uint32_t targets_ = 4;
  std::uint32_t slots_ = 20; ///< Runs that a target executes at once.
};

/// What happens in a phase of a scene.
struct GraphPhase
{
  double atSecond_ = 0; ///< Beginning of the phase, which lasts until the next one.
  double loadFactor_ = 1;
  std::size_t service_ = 0;   ///< The service to which the next two members apply.
  double targetFraction_ = 1; ///< Part of its targets that is up.
  double slowFactor_ = 1;     ///< Factor of its work times.
  /// Index of a route with a further factor of its requests; -1 for none.
  int surgingRoute_ = -1;
  double surgeFactor_ = 1;
};

/// A graph and the load that it gets.
struct GraphScene
{
  std::string name_;
  std::vector<GraphService> services_;
  std::vector<GraphRoute> routes_;
  std::vector<GraphPhase> phases_; ///< In the order of time; the first one begins at 0.
  double durationSeconds_ = 30;
  Duration clientDeadline_ = seconds(6); ///< For how long a client tries.
  std::uint32_t clientRetries_ = 1;
  bool limitsRuns_ = true; ///< Whether guards use run limits.
  /// Whether the targets state the duration of their work, so that guards schedule capacity.
  bool schedulesCapacity_ = false;
  std::uint64_t seed_ = 1;
};

/// Requests that began in one second, by how they ended.
struct GraphSecond
{
  double offered_ = 0;
  double good_ = 0; ///< Served within the objective of their route.
  double late_ = 0;
  double refused_ = 0; ///< Ended by a refusal before a target ran them.
  double failed_ = 0;
  bool operator==(const GraphSecond&) const = default;
};

/// Result of a scene.
struct GraphResult
{
  std::vector<std::vector<GraphSecond>> routes_; ///< By route and second.
  /// Requests of a route, or of all with aRoute < 0, from aFrom to before aTo.
  GraphSecond Sum(int aRoute, std::size_t aFrom, std::size_t aTo) const;
};

/// Plays a scene to its end.
GraphResult PlayScene(const GraphScene& aScene);

/// The scenes that the tests and the table of graph_trials play.
std::vector<GraphScene> GraphScenes();

/// The scenes of a top-up service, a quarter of its size, with a shortage at the service that runs
/// the deepest calls of all kinds and the least urgent kind itself.
std::vector<GraphScene> TopUpScenes();

/// Requests of the routes that need the bottleneck which the remaining capacity allows, as a
/// fraction of those offered, in the phase; at most 1.
double AllowedFraction(const GraphScene& aScene, const GraphPhase& aPhase);

} // namespace peridotquay::standins
