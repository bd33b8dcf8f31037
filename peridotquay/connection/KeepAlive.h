// Keep-alive probes of the system's TCP, which end connections that have gone silent.
#pragma once

namespace peridotquay {

/// Makes the system probe an unused connection and end it if the other side doesn't answer: after
/// about 3 s of silence, also while sent bytes aren't acknowledged.
void SetKeepAlive(int aSocket);

} // namespace peridotquay
