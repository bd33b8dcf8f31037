// One quayd process: the HTTP listeners, peer connections, guard and dispatcher, which run on the
// socket thread, and the control plane.
#pragma once

#include "peridotquay/process/ControlPlane.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/HttpDialect.h"
#include "peridotquay/process/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Ports on which a node listens.
struct NodePorts
{
  std::uint16_t callers_ = 0;
  std::uint16_t outbound_ = 0;
  std::uint16_t peers_ = 0; ///< The same number for TCP and UDP.
  std::uint16_t admin_ = 0;
  bool operator==(const NodePorts&) const = default;
};

/// A running node. Start binds its listeners; Run serves requests on the calling thread.
class Node
{
public:
  /// Creates the control plane. In the settings passed, bound port numbers replace port 0.
  using ControlFactory = std::function<
    Result<std::unique_ptr<ControlPlane>>(const NodeSettings&, Incarnation, DataPlaneCallbacks)>;

  /// Opens all listeners, writes the port file, then creates the control plane. Errors:
  /// kAddressInUse, kOutOfRange, kFileUnreadable (the port file can't be written), and those of
  /// aMakeControl.
  static Result<std::unique_ptr<Node>> Start(const NodeSettings& aSettings,
                                             const ControlFactory& aMakeControl,
                                             const HttpDialect& aDialect = QuayDialect());
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  NodePorts Ports() const;
  /// Incarnation of this process: the wall clock time of its start in milliseconds.
  Incarnation OwnIncarnation() const;
  /// Serves until a drain is complete or Stop is called.
  void Run();
  /// Starts a drain: the node refuses new requests (after the drain accept period), finishes the
  /// calls in flight and hands its request records over to another host. Thread-safe.
  void Drain();
  /// Replaces the policy of the control plane. Thread-safe.
  void SetPolicy(const Policy& aPolicy);
  /// Makes Run return at once; calls in flight are lost. Thread-safe.
  void Stop();

  struct State;

private:
  explicit Node(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace peridotquay
