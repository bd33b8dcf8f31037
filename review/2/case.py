"""A faulty endpoint sends bytes that are no answer, without end, in a body in chunks."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from standins import Client, Endpoint, Fleet, document, has_trouble, main, route  # noqa: E402

SECONDS = 30
# The faulty endpoints spoil one of this many answers: 2 in 100, as `garble` does by default.
SPOIL_ONE_IN = 50
# Less than `link_mbps` = 1000 of the settings lets through.
BYTES_PER_S = 120e6


class EndlessEndpoint(Endpoint):
    """Begins some answers well, then sends other bytes until the caller closes the channel."""

    count = 0

    async def respond(self, reader, writer, request_id, channel):
        self.count += 1
        if self.count % SPOIL_ONE_IN != 0:
            return await super().respond(reader, writer, request_id, channel)
        await asyncio.sleep(self.work_s)
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        for name, value in self.answer_headers(request_id):
            head += f"{name}: {value}\r\n"
        body = self.answer_body(request_id)
        writer.write(head.encode() + b"\r\n" + f"{len(body):x}\r\n".encode() + body + b"\r\n")
        await writer.drain()
        self.fleet.record.line(f"{self.id} answers {request_id} and goes on with bytes that are no "
                               "answer, until the channel is closed")
        copy = writer.get_extra_info("socket").dup()
        sent = await asyncio.get_running_loop().run_in_executor(None, self.send_on, copy)
        self.fleet.record.line(f"{self.id} sent {sent / 1e6:.0f} MB after the answer to "
                               f"{request_id}")
        return False

    @staticmethod
    def send_on(sock):
        sent = 0
        block = b"0" * 65536
        sock.setblocking(True)
        sock.settimeout(3)
        started = time.monotonic()
        try:
            while True:
                sent += sock.send(block)
                ahead = sent / BYTES_PER_S - (time.monotonic() - started)
                if ahead > 0.002:
                    time.sleep(ahead)
        except OSError:
            return sent
        finally:
            sock.close()


async def case(folder):
    def endpoint_of(fleet, machine):
        # The faulty endpoints are two of the four of service s0.
        faulty = has_trouble() and machine.name in ("m1", "m2")
        return (EndlessEndpoint if faulty else Endpoint)(
            fleet, machine, 0.05 if machine.service == "s0" else 0.3)

    fleet = Fleet(folder, ["s0", "s0", "s0", "s0", "s1", "s1"], endpoint_of)
    try:
        await fleet.start(document(1, {"read": route("/read/", "safe", "s0"),
                                       "write": route("/write/", "unsafe", "s1")},
                                   ["s0", "s1"], ["key1"]))
        await fleet.wait_ready()
        readers = [Client(fleet, machine, n, "key1", lambda n: ("GET", "/read/1", "safe", b""))
                   for machine in fleet.machines for n in range(2)]
        writers = [Client(fleet, machine, n, "key1",
                          lambda n: ("POST", "/write/1", "unsafe", b"deposit"))
                   for machine in fleet.machines for n in range(2, 8)]
        until = time.monotonic() + SECONDS
        await asyncio.gather(*(client.run(until, 0.1) for client in readers + writers))
        return check(fleet, writers)
    finally:
        await fleet.stop()


def check(fleet, writers):
    runs = {}
    for endpoint in fleet.endpoints:
        for request_id in endpoint.runs:
            runs[request_id] = endpoint
    # Requests from a kept channel that a sound endpoint ran, and whose channel the node's end closed.
    lost = []
    attempts = [attempt for client in writers for attempt in client.attempts]
    for attempt in attempts:
        endpoint = runs.get(attempt.id)
        if (attempt.closed and attempt.kept_channel and endpoint is not None
                and not isinstance(endpoint, EndlessEndpoint)):
            lost.append(attempt)
    by_machine = {}
    for attempt in lost:
        by_machine.setdefault(attempt.machine.name, []).append(attempt.id)
    for name, ids in sorted(by_machine.items()):
        fleet.record.say(f"LOST: {name} passed {len(ids)} unsafe requests of kept channels on to "
                         f"sound endpoints, which ran them, and ended without an answer: {ids}")
    for machine in fleet.machines:
        fleet.record.say(f"{machine.name}: peak {machine.peak_mb:.0f} MB, {machine.killed} ends for "
                         f"exceeding memory_mb, {len(machine.ends)} ends")
    served = sum(1 for attempt in attempts if attempt.status == 200)
    fleet.record.say(f"{len(attempts)} unsafe requests, {served} answered with 200, {len(lost)} lost")
    if served < len(attempts) / 2:
        raise OSError("less than half of the requests were served")
    return all(len(ids) <= 3 for ids in by_machine.values())


main(case)
