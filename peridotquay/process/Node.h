// One quayd process: fronts, peer connections, guard and dispatcher on the socket thread, and the
// control side.
#pragma once

#include "peridotquay/process/ControlPlane.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/HttpDialect.h"
#include "peridotquay/process/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Ports that a node has bound.
struct NodePorts
{
  std::uint16_t callers_ = 0;
  std::uint16_t outbound_ = 0;
  std::uint16_t peers_ = 0; ///< TCP and UDP.
  std::uint16_t admin_ = 0;
  bool operator==(const NodePorts&) const = default;
};

class Node
{
public:
  /// Makes the control side. The settings hold the bound ports instead of 0.
  using ControlFactory = std::function<
    Result<std::unique_ptr<ControlPlane>>(const NodeSettings&, Incarnation, DataPlaneCallbacks)>;

  /// Opens all listeners, then writes the port file. Errors: kAddressInUse, kOutOfRange,
  /// kFileUnreadable (the port file can't be written), and those of the control side.
  static Result<std::unique_ptr<Node>> Start(const NodeSettings& aSettings,
                                             const ControlFactory& aControl,
                                             const HttpDialect& aDialect = QuayDialect());
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  NodePorts Ports() const;
  Incarnation OwnIncarnation() const;
  /// Serves until a drain is complete, or until Stop.
  void Run();
  /// Begins to leave: refuses new work, finishes the calls in flight, hands over request records.
  /// May be called from any thread.
  void Drain();
  /// Replaces the policy of the control side. May be called from any thread.
  void SetPolicy(const Policy& aPolicy);
  /// Ends Run at once; calls in flight are lost. May be called from any thread.
  void Stop();

  struct State;

private:
  explicit Node(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace peridotquay
