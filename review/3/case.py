"""Some clients take their time to send a request that has an empty body in chunks."""

import asyncio
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from standins import (Client, Endpoint, Fleet, document, has_trouble, main,  # noqa: E402
                      read_body, read_head, route)

SECONDS = 30
# Pause between two bytes. A request has about 200 bytes, so it is sent in less than a second;
# `header_timeout_ms` is 3000.
PAUSE_S = 0.002
SLOW_EVERY_S = 2.5


async def send_slowly(fleet, machine, until):
    """A client that sends its requests byte by byte; without trouble, each in one piece."""
    count = 0
    while time.monotonic() < until:
        await asyncio.sleep(SLOW_EVERY_S)
        count += 1
        request_id = f"{machine.name}-slow-{count}"
        request = (f"POST /write/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                   "X-Deadline-Ms: 5000\r\nAuthorization: Token key1\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n").encode()
        try:
            reader, writer = await asyncio.open_connection(*machine.outbound)
        except OSError:
            continue
        status = 0
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            started = fleet.record.now()
            for piece in ([request[i:i + 1] for i in range(len(request))] if has_trouble()
                          else [request]):
                writer.write(piece)
                await writer.drain()
                if has_trouble():
                    await asyncio.sleep(PAUSE_S)
            took = fleet.record.now() - started
            head = await asyncio.wait_for(read_head(reader), 5)
            if head is not None:
                await read_body(reader, head)
                status = int(head.start.split()[1])
            fleet.record.line(f"client sends {request_id} to {machine.name} in {took:.3f} s and "
                              f"gets {status or 'nothing'}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            fleet.record.line(f"client gets nothing for {request_id}: {error!r}")
        finally:
            writer.close()


async def case(folder):
    fleet = Fleet(folder, ["s0", "s1", "s0", "s1"],
                  lambda fleet, machine: Endpoint(fleet, machine, 0.3))
    try:
        await fleet.start(document(1, {"write": route("/write/", "unsafe", "s1")}, ["s0", "s1"],
                                   ["key1"]))
        await fleet.wait_ready()
        clients = [Client(fleet, machine, n, "key1",
                          lambda n: ("POST", "/write/1", "unsafe", b"deposit"))
                   for machine in fleet.machines for n in range(6)]
        # Two of the four machines have such a client.
        slow = [machine for machine in fleet.machines if machine.service == "s0"]
        until = time.monotonic() + SECONDS
        await asyncio.gather(*(client.run(until, 0.1) for client in clients),
                             *(send_slowly(fleet, machine, until) for machine in slow))
        return check(fleet, clients)
    finally:
        await fleet.stop()


def check(fleet, clients):
    runs = {request_id for endpoint in fleet.endpoints for request_id in endpoint.runs}
    attempts = [attempt for client in clients for attempt in client.attempts]
    # Requests from a kept channel that a sound endpoint ran, and whose channel the node closed.
    by_machine = {}
    for attempt in attempts:
        if attempt.closed and attempt.kept_channel and attempt.id in runs:
            by_machine.setdefault(attempt.machine.name, []).append(attempt.id)
    for name, ids in sorted(by_machine.items()):
        fleet.record.say(f"LOST: {name} passed {len(ids)} unsafe requests of kept channels on to "
                         f"sound endpoints, which ran them, and ended without an answer: {ids}")
    for machine in fleet.machines:
        fleet.record.say(f"{machine.name}: {len(machine.ends)} ends of the process by itself, "
                         f"status {sorted({status for _, status in machine.ends})}")
    served = sum(1 for attempt in attempts if attempt.status == 200)
    lost = sum(len(ids) for ids in by_machine.values())
    fleet.record.say(f"{len(attempts)} unsafe requests, {served} answered with 200, {lost} lost")
    if served < len(attempts) / 2:
        raise OSError("less than half of the requests were served")
    return all(len(ids) <= 3 for ids in by_machine.values())


main(case)
