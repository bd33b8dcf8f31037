"""A node restarts after its endpoint has left; then a late liveness report of the endpoint comes."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from standins import (BOUNDS, Client, Endpoint, Fleet, document, has_trouble,  # noqa: E402
                      lost_at_exit, main, route)

SECONDS = 22
LEAVE_AT_S = 4.0
KILL_AFTER_S = 0.3
REPORT_LATE_S = 2.5
# The endpoint serves on for `drain_ms` and a little longer, "at times many seconds".
EXIT_AFTER_S = 7.0


async def leave(fleet, endpoint, result):
    """Leaves as endpoints do that never report `draining`: the leave first, then serve on."""
    machine = endpoint.machine
    await asyncio.sleep(LEAVE_AT_S)
    endpoint.beating = False
    late = endpoint.beat()  # Says `ready`. On its way while the endpoint leaves.
    late_until = time.monotonic() + REPORT_LATE_S
    endpoint.state = "draining"  # What its health check says from now on.
    if not await endpoint.report("Leave", {"born": endpoint.born}):
        raise OSError("the leave wasn't acknowledged")
    result["acked"] = fleet.record.now()
    fleet.record.say(f"{machine.name} acknowledged that {endpoint.id} is gone at "
                     f"{result['acked']:.3f}")
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble():
        fleet.record.say(f"the process of {machine.name} is killed")
        machine.process.kill()
        result["killed"] = fleet.record.now()
    await asyncio.sleep(max(0, late_until - time.monotonic()))
    acked = await endpoint.report("Heartbeat", late)
    fleet.record.say(f"a report of {endpoint.id} from before it left arrives {REPORT_LATE_S} s late"
                     f" at {fleet.record.now():.3f}, acknowledged: {acked}")
    await asyncio.sleep(EXIT_AFTER_S - KILL_AFTER_S - REPORT_LATE_S)
    endpoint.exit()


async def case(folder):
    fleet = Fleet(folder, ["s0", "s1", "s0", "s1"],
                  lambda fleet, machine: Endpoint(fleet, machine, 0.2))
    try:
        await fleet.start(document(1, {"write": route("/write/", "unsafe", "s1")}, ["s0", "s1"],
                                   ["key1"]))
        await fleet.wait_ready()
        leaving = fleet.endpoints[1]
        # The clients are on machines whose processes run all the while.
        clients = [Client(fleet, machine, n, "key1",
                          lambda n: ("POST", "/write/1", "unsafe", b"deposit"))
                   for machine in fleet.machines if machine is not leaving.machine
                   for n in range(8)]
        until = time.monotonic() + SECONDS
        result = {}
        await asyncio.gather(leave(fleet, leaving, result),
                             *(client.run(until, 0.1) for client in clients))
        return check(fleet, leaving, clients, result)
    finally:
        await fleet.stop()


def check(fleet, leaving, clients, result):
    bound = result["acked"] + BOUNDS["drain_ms"] / 1000
    # The machine that passes them on is in touch again stability_ms after its process started.
    if leaving.machine.ends:
        restarted = leaving.machine.ends[-1][0] + 0.5
        bound = max(bound, restarted + BOUNDS["stability_ms"] / 1000 + 0.5)
    before = sum(1 for times in leaving.runs.values() for t in times if t < result["acked"])
    arrived = sorted((t, request_id) for request_id, times in leaving.runs.items() for t in times)
    late = [(t, request_id) for t, request_id in arrived
            if t > result["acked"] + BOUNDS["drain_ms"] / 1000]
    broken = [(t, request_id) for t, request_id in late if t > bound]
    for t, request_id in broken[:10]:
        fleet.record.say(f"DRAIN: {request_id} reaches {leaving.id} "
                         f"{t - result['acked']:.3f} s after the ack that it is gone")
    fleet.record.say(f"{sum(len(client.attempts) for client in clients)} requests; {before} reached"
                     f" {leaving.id} before it left, {len(late)} later than drain_ms after the ack, "
                     f"{len(broken)} of them with all machines in touch again")
    lost_at_exit(fleet, leaving, clients)
    if before < 10 or (has_trouble() and len(leaving.machine.ends) != 1):
        raise OSError("the case didn't run as planned")
    return not broken


main(case)
