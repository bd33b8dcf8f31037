"""Stand-ins for the users' platform, endpoints and clients, for the scripts in review/.

They speak what the users' page PROTOCOL.md describes. All addresses are loopback addresses: each
machine of a fleet has one of its own, so that the ports can be those of a settings file. The
programs under test are started with the command and the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of the small installations, as in the settings example of DEPLOY.md.
BOUNDS = {
    "stability_ms": 3000,
    "drain_ms": 2500,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2500,
    "revoke_ms": 5000,
}
MEMORY_MB = 260
HEARTBEAT_MS = 1500
RESTART_DELAY_S = 0.5

STATUS_TEXT = {200: "OK", 400: "Bad Request", 404: "Not Found", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}


class CaseError(Exception):
    """The case can't run."""


class Record:
    """Writes what happens, with the time since the start, to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


# --- HTTP ---


class Head:
    """Start line and headers of a message. Header names are in lower case."""

    def __init__(self, data):
        lines = data.decode("latin-1").split("\r\n")
        self.start = lines[0]
        self.headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head, or None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(data[:-4])


async def read_body(reader, head):
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def response(status, headers, body=b"", with_length=True):
    text = f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if with_length:
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


def json_response(status, value):
    return response(status, [("Content-Type", "application/json")], json.dumps(value).encode())


async def call(address, method, path, body=b"", headers=(), timeout=1.0):
    """One request on a new channel. Returns the status, or 0 without a whole answer."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            for name, value in headers:
                text += f"{name}: {value}\r\n"
            text += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(text.encode() + body)
            head = await read_head(reader)
            if head is None:
                return 0
            await read_body(reader, head)
            return int(head.start.split()[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0


# --- The platform's store ---


class Store:
    """Rows in tables, conditional transactions and feeds, all in memory."""

    def __init__(self, address):
        self.address = address
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def put(self, table, key, value):
        """Writes a row as the operator does."""
        async with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version, False)
            self.changed.notify_all()

    def row(self, name, entry):
        value, version, deleted = entry
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        row.update({"deleted": True} if deleted else {"value": value})
        return row

    def answer(self, rows):
        return {"rows": rows, "has_more": False, "ver": self.version,
                "now_ms": int((time.monotonic() - self.started) * 1000)}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.start.split(" ")
                path, _, query = target.partition("?")
                fields = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                writer.write(await self.handle(method, path, fields, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, fields, body):
        await asyncio.sleep(0.003)
        if method == "GET" and path == "/-/rows-get":
            return json_response(200, self.answer(self.select(fields)))
        if method == "GET" and path == "/-/rows-feed":
            return await self.feed(fields)
        if method == "POST" and path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        return json_response(404, {})

    def select(self, fields):
        first, end = fields.get("from", ""), fields.get("target")
        rows = []
        for name in sorted(self.rows):
            in_range = name[2] >= first and (end is None or name[2] < end)
            if name[0] == fields["table"] and name[1] == fields.get("part", "") and in_range:
                if not self.rows[name][2]:
                    rows.append(self.row(name, self.rows[name]))
        return rows[:int(fields.get("limit", "500"))]

    async def feed(self, fields):
        after = int(fields["after"])
        end = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
        async with self.changed:
            while True:
                rows = [self.row(name, entry) for name, entry in self.rows.items()
                        if name[0] == fields["table"] and entry[1] > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return json_response(200, self.answer(sorted(rows, key=lambda r: r["ver"])))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, tx):
        async with self.changed:
            current, holds = [], True
            for entry in tx.get("expected", []):
                name = (entry["table"], entry["part"], entry["key"])
                known = self.rows.get(name)
                exists = known is not None and not known[2]
                holds = holds and (known[1] if exists else 0) == entry["ver"]
                if exists:
                    current.append(self.row(name, known))
            if not holds:
                return json_response(412, self.answer(current))
            writes, removals = tx.get("writes", []), tx.get("remove", [])
            if writes or removals:
                self.version += 1
            for entry in writes:
                name = (entry["table"], entry["part"], entry["key"])
                self.rows[name] = (entry["value"], self.version, False)
            for entry in removals:
                name = (entry["table"], entry["part"], entry["key"])
                self.rows[name] = ("", self.version, True)
            self.changed.notify_all()
            return json_response(200, self.answer([]))


# --- Endpoints ---


class Endpoint:
    """A sound endpoint. Subclasses override respond() to be a faulty one."""

    def __init__(self, fleet, machine, work_s):
        self.fleet = fleet
        self.machine = machine
        self.work_s = work_s
        self.id = f"i-{machine.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.running = 0
        self.capacity = 50
        self.runs = {}
        self.unfinished = set()  # Requests at work.
        self.cut = set()  # Requests that were at work when the endpoint exited.
        self.server = None
        self.writers = set()
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.machine.app, limit=1 << 20)
        self.tasks.append(asyncio.create_task(self.beat_on()))

    def beat(self, **changes):
        """Body of the next liveness report."""
        self.sequence += 1
        body = {"service": self.machine.service,
                "address": f"{self.machine.app[0]}:{self.machine.app[1]}",
                "zone": self.machine.zone, "version": "v1", "capacity": self.capacity,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}
        body.update(changes)
        return body

    async def report(self, what, body):
        """Sends a report to the node of this machine. Returns whether it was acknowledged."""
        status = await call(self.machine.control, "POST", f"/-/Instances.{what}/{self.id}",
                            json.dumps(body).encode(), [("Content-Type", "application/json")])
        self.fleet.record.line(f"{self.id} reports {what} {json.dumps(body)} -> {status}")
        return 200 <= status < 300

    def exit(self):
        """Ends as a process does: its port closes, and its channels end."""
        self.beating = False
        self.cut = set(self.unfinished)
        self.fleet.record.say(f"{self.id} exits with {len(self.cut)} requests at work")
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def beat_on(self):
        while True:
            if self.beating:
                await self.report("Heartbeat", self.beat())
            await asyncio.sleep(HEARTBEAT_MS / 1000 if self.machine.ready_once else 0.3)

    async def serve(self, reader, writer):
        channel = {}
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, path, _ = head.start.split(" ")
                request_id = head.get("x-request-id")
                if path == "/health":
                    status = 200 if self.state == "ready" else 503
                    writer.write(response(status, [("X-Instance-Id", self.id)]))
                    continue
                if not request_id:
                    writer.write(response(400, [("X-Not-Executed", "1")]))
                    continue
                if head.get("x-expected-instance") not in ("", self.id):
                    self.fleet.record.line(f"{self.id} answers 421 to {request_id}")
                    writer.write(response(421, [("X-Instance-Id", self.id),
                                                ("X-Request-Id", request_id)]))
                    continue
                if self.running >= self.capacity:
                    writer.write(response(503, [("X-Not-Executed", "1"),
                                                ("X-Request-Id", request_id)]))
                    continue
                self.runs.setdefault(request_id, []).append(self.fleet.record.now())
                self.fleet.record.line(f"{self.id} runs {request_id} {method} {path} tenant "
                                       f"{head.get('x-tenant-id')}")
                self.running += 1
                self.unfinished.add(request_id)
                try:
                    keep = await self.respond(reader, writer, request_id, channel)
                finally:
                    self.running -= 1
                    self.unfinished.discard(request_id)
                await writer.drain()
                if not keep:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_headers(self, request_id):
        return [("X-Request-Id", request_id), ("X-Response-Signature", f"{self.id}.{request_id}"),
                ("X-Server-Load", f"{self.running},0,{self.capacity}")]

    def answer_body(self, request_id):
        return f"answer of {self.id} to {request_id}".encode()

    async def respond(self, reader, writer, request_id, channel):
        """Runs a request and answers it. Returns whether the channel is kept."""
        await asyncio.sleep(self.work_s)
        writer.write(response(200, self.answer_headers(request_id), self.answer_body(request_id)))
        return True


# --- Machines ---


class Machine:
    """One machine: its addresses, its settings file and its process."""

    def __init__(self, name, ip, zone, region, service):
        self.name, self.ip, self.zone, self.region, self.service = name, ip, zone, region, service
        self.app = (ip, 8547)
        self.outbound = (ip, 8548)
        self.ready = (ip, 8546)
        self.control = (ip, 8540)
        self.process = None
        self.ready_once = False
        self.starts = 0
        self.killed = 0
        self.peak_mb = 0
        self.ends = []
        self.log = None

    def values(self, store):
        """The fields that the settings template is filled in from."""
        def text(address):
            return f"{address[0]}:{address[1]}"
        return {"node_name": self.name, "zone": self.zone, "region": self.region,
                "service": self.service, "ip": self.ip, "app_addr": text(self.app),
                "heartbeat_ms": HEARTBEAT_MS, "port_range": [7000, 7015], "bounds": BOUNDS,
                "listen": {"outbound": text(self.outbound), "ready": text(self.ready),
                           "control": text(self.control), "inbound": f"{self.ip}:8543"},
                "platform": {"address": text(store)}}


def fill_in(template, values):
    def value(match):
        found = values
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)
    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, template)


def route(prefix, kind, service, timeout_ms=1500, **more):
    return {"host": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "latency_target_ms": 1500, "priority": 0, "service": service, "max_attempts": 2,
            "public": False, **more}


def document(version, routes, services, keys):
    """A desired state with one tenant without a limit."""
    return {"version": f"r{version}", "routes": routes,
            "services": {name: {"health_path": "/health", "max_connections": 424,
                                "protocol": "h1", "tls": False} for name in services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": {"t1": {"api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0}}}


class Fleet:
    """The machines, the platform's store and the part of the platform that runs processes."""

    def __init__(self, folder, services, endpoint_of):
        """services: the service of each machine. endpoint_of(fleet, machine) makes its endpoint."""
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        network = self.free_network(len(services))
        self.store = Store((f"{network}.200", 8545))
        self.machines = []
        for i, service in enumerate(services):
            zone = "ab"[i % 2]
            self.machines.append(Machine(f"m{i + 1}", f"{network}.{i + 1}", f"zone-{zone}",
                                         "region-1", service))
        self.endpoints = [endpoint_of(self, machine) for machine in self.machines]
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(), re.MULTILINE))
        self.command = role["run"].split()
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.tasks = []
        self.ending = False

    @staticmethod
    def free_network(machines):
        """Three bytes of a loopback network on which the ports of all machines are free."""
        ports = [8540, 8543, 8546, 8547, 8548, 7000, 7002, 7015]
        for _ in range(50):
            network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            wanted = [(f"{network}.{i + 1}", port) for i in range(machines) for port in ports]
            try:
                for address in wanted + [(f"{network}.200", 8545)]:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(address)
                return network
            except OSError:
                continue
        raise CaseError("no free loopback network")

    async def start(self, desired):
        if not os.access(os.path.join(REPOSITORY, self.command[0]), os.X_OK):
            raise CaseError(f"{self.command[0]} isn't built")
        await self.store.start()
        await self.store.put("op", "config", json.dumps(desired).encode())
        for machine in self.machines:
            await self.start_process(machine)
            self.tasks.append(asyncio.create_task(self.supervise(machine)))
        for endpoint in self.endpoints:
            await endpoint.start()

    async def start_process(self, machine):
        settings = os.path.join(self.temporary.name, f"{machine.name}.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(fill_in(self.template, machine.values(self.store.address)))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["PERIDOTQUAY_CONFIG"] = settings
        log = open(os.path.join(self.temporary.name, f"{machine.name}.log"), "ab")
        machine.log = log.name
        machine.process = await asyncio.create_subprocess_exec(
            os.path.join(REPOSITORY, self.command[0]), *self.command[1:], cwd=REPOSITORY,
            env=environment, stdout=log, stderr=log)
        log.close()
        machine.starts += 1
        self.record.line(f"the process of {machine.name} starts")

    async def supervise(self, machine):
        """Restarts the process when it has ended; kills it when it exceeds its memory."""
        while not self.ending:
            await asyncio.sleep(0.01)
            if machine.process.returncode is not None:
                self.record.line(f"the process of {machine.name} ended: "
                                 f"{machine.process.returncode}")
                machine.ends.append((self.record.now(), machine.process.returncode))
                await asyncio.sleep(RESTART_DELAY_S)
                if not self.ending:
                    await self.start_process(machine)
                continue
            resident = self.resident_mb(machine)
            machine.peak_mb = max(machine.peak_mb, resident)
            if resident > MEMORY_MB:
                self.record.say(f"the process of {machine.name} has {resident:.0f} MB, more than "
                                f"memory_mb = {MEMORY_MB}: the platform kills it")
                machine.killed += 1
                machine.process.kill()
                await machine.process.wait()

    @staticmethod
    def resident_mb(machine):
        try:
            with open(f"/proc/{machine.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6
        except (OSError, IndexError):
            return 0

    async def wait_ready(self, timeout=25):
        """Waits until all nodes are ready, then until all machines are in touch."""
        end = time.monotonic() + timeout
        for machine in self.machines:
            while await call(machine.ready, "GET", "/-/ready") != 200:
                if time.monotonic() > end:
                    raise CaseError(f"{machine.name} isn't ready")
                await asyncio.sleep(0.1)
        for machine in self.machines:
            machine.ready_once = True
        await asyncio.sleep(BOUNDS["stability_ms"] / 1000 + 2)
        self.record.line("all machines are ready and in touch")

    async def stop(self):
        self.ending = True
        tasks = self.tasks + [task for endpoint in self.endpoints for task in endpoint.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for machine in self.machines:
                with open(machine.log, encoding="utf-8", errors="replace") as file:
                    print(f"--- log of {machine.name}\n" + file.read()[-6000:])
        self.temporary.cleanup()
        self.record.close()


# --- Clients ---


class Attempt:
    """A request as its client saw it."""

    def __init__(self, request_id, kind, machine, sent):
        self.id, self.kind, self.machine, self.sent = request_id, kind, machine, sent
        self.status = 0  # 0: the channel ended, or the deadline passed, without a whole answer.
        self.headers = {}
        self.body = b""
        self.answered = None
        self.closed = False  # The node closed or reset the channel without a whole answer.
        self.kept_channel = False  # The channel had carried an earlier request.


class Client:
    """Sends one request after the other on a kept channel of one machine."""

    def __init__(self, fleet, machine, number, key, plan):
        """plan(n) returns method, path, kind and body of the n-th request."""
        self.fleet, self.machine, self.number, self.key = fleet, machine, number, key
        self.plan = plan
        self.attempts = []

    async def run(self, until, pause_s):
        reader = writer = None
        count = 0
        while time.monotonic() < until:
            if writer is None:
                try:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(*self.machine.outbound), 1)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.2)
                    continue
                used = False
            count += 1
            method, path, kind, body = self.plan(count)
            request_id = f"{self.machine.name}-c{self.number}-{count}"
            attempt = Attempt(request_id, kind, self.machine, self.fleet.record.now())
            attempt.kept_channel = used
            self.attempts.append(attempt)
            used = True
            keep = await self.send(reader, writer, attempt, method, path, body)
            if not keep:
                writer.close()
                writer = None
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        if writer is not None:
            writer.close()

    async def send(self, reader, writer, attempt, method, path, body):
        record = self.fleet.record
        record.line(f"client sends {attempt.id} {method} {path} to {self.machine.name}")
        text = (f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {attempt.id}\r\n"
                f"X-Deadline-Ms: 5000\r\nAuthorization: Token {self.key}\r\n")
        if method != "GET":
            text += f"Content-Length: {len(body)}\r\n"
        keep = False
        try:
            writer.write(text.encode() + b"\r\n" + body)
            head = await asyncio.wait_for(read_head(reader), 5)
            if head is None:
                attempt.closed = True
            else:
                attempt.body = await asyncio.wait_for(read_body(reader, head), 5)
                attempt.status = int(head.start.split()[1])
                attempt.headers = head.headers
                keep = head.get("connection").lower() != "close"
        except asyncio.TimeoutError:
            pass
        except (ConnectionError, asyncio.IncompleteReadError):
            attempt.closed = True
        attempt.answered = record.now()
        if attempt.status:
            record.line(f"client gets {attempt.status} for {attempt.id}: X-Request-Id "
                        f"{attempt.headers.get('x-request-id')} X-Response-Signature "
                        f"{attempt.headers.get('x-response-signature')} body {attempt.body[:80]!r}")
        else:
            how = "the channel closes" if attempt.closed else "the deadline passes"
            record.line(f"client gets nothing for {attempt.id}: {how}")
        return keep


def lost_at_exit(fleet, endpoint, clients):
    """Says how many requests the endpoint's exit cut, and what their clients got."""
    cut = [attempt for client in clients for attempt in client.attempts
           if attempt.id in endpoint.cut]
    fleet.record.say(f"{len(cut)} unsafe requests were at work when {endpoint.id} exited; their "
                     f"clients got {sorted(attempt.status for attempt in cut)}")


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case):
    """Runs the coroutine case(folder), which returns whether the rule held, and exits."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(asyncio.wait_for(case(folder), 110))
    except Exception as error:  # pylint: disable=broad-except
        # An error of the script must not look like a broken rule.
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
