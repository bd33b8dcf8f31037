// TCP keep-alive probes, which end silent connections.
#pragma once

namespace peridotquay {

/// Makes the operating system probe an idle connection and end it if the other side doesn't answer
/// for about 3 s. A connection with unacknowledged sent bytes ends after 3 s too.
void SetKeepAlive(int aSocket);

} // namespace peridotquay
