// Factory of the control plane of a node.
#pragma once

#include "peridotquay/process/ControlPlane.h"
#include "peridotquay/process/Settings.h"
#include "peridotquay/version/Ids.h"

#include <memory>

namespace peridotquay {

/// Starts the control plane. The settings must hold the bound port numbers instead of port 0. The
/// callbacks are called from the control plane's threads until the returned object is destroyed.
/// Its destructor waits for a platform call in progress, for at most the platform request timeout.
std::unique_ptr<ControlPlane> MakeControlPlane(const NodeSettings& aSettings,
                                               Incarnation aIncarnation,
                                               DataPlaneCallbacks aCallbacks);

} // namespace peridotquay
