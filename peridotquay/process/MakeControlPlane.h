// Factory of the control side of a node.
#pragma once

#include "peridotquay/process/ControlPlane.h"
#include "peridotquay/process/Settings.h"
#include "peridotquay/version/Ids.h"

#include <memory>

namespace peridotquay {

/// Starts the control side. The settings hold the addresses that are bound, not port 0. The port's
/// functions are called from control threads until the returned object is destroyed, which waits
/// for a platform call under way (at most its request timeout).
std::unique_ptr<ControlPlane> MakeControlPlane(const NodeSettings& aSettings,
                                               Incarnation aIncarnation,
                                               DataPlaneCallbacks aPort);

} // namespace peridotquay
