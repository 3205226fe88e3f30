"""Stand-ins of the platform, the runners and the requesters for the scripts of this review.

Everything runs in one event loop on loopback addresses, and follows the users' pages: PROTOCOL.md for the messages,
DEPLOY.md for the settings. The system's own program is started as separate processes with the command and the template
of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
RECORD_BYTES = 262144
CALL_BYTES = 2097152
PARTS = 12
HEARTBEAT_S = 1.2
IDLE_TIMEOUT_S = 15
DRAIN_MS = 2000
STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def write(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


def free_ports(address, count):
    """Returns ports that are free for TCP and UDP."""
    ports, held = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((address, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((address, port))
        except OSError:
            tcp.close()
            continue
        held += [tcp, udp]
        ports.append(port)
    for one in held:
        one.close()
    return ports


# ---- HTTP/1.1 -------------------------------------------------------------------------------------------------------

class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name, default=None):
        return next((value for key, value in self.headers if key.lower() == name.lower()), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], headers, b"")


async def read_chunk(reader):
    """Returns one chunk; empty for the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def write_chunk(writer, data):
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
    await writer.drain()


async def read_body(reader, message):
    if "chunked" in (message.get("Transfer-Encoding") or "").lower():
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(message.get("Content-Length") or 0))


def response(status, headers=(), body=b"", framed=True):
    reasons = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---- the platform's store -------------------------------------------------------------------------------------------

class Partition:
    def __init__(self):
        self.records, self.newest, self.changed, self.lock = [], {}, asyncio.Event(), asyncio.Lock()


class Store:
    """The log of PROTOCOL.md, as far as the system calls it. `mode` is up, silent or busy."""

    def __init__(self, record, address="127.3.0.1"):
        self.address = address
        self.port = free_ports(address, 1)[0]
        self.record, self.mode, self.topics, self.writers = record, "up", {}, set()
        self.mode_changed = asyncio.Event()
        self.refused = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, limit=8 * 1024 * 1024)

    def part(self, topic, number=0):
        return self.topics.setdefault((topic, number), Partition())

    def put(self, topic, key, value, number=0):
        """Writes a record as the operator or a runner does."""
        self.append_records(topic, number, [bytes([len(key)]) + key.encode() + value])

    def append_records(self, topic, number, records):
        part = self.part(topic, number)
        first = len(part.records)
        for data in records:
            part.records.append(data)
            if topic.startswith("keyed."):
                key, value = data[1:1 + data[0]], data[1 + data[0]:]
                if value:
                    part.newest[key] = (value, len(part.records) - 1)
                else:
                    part.newest.pop(key, None)
        part.changed.set()
        part.changed = asyncio.Event()
        return first

    def set_mode(self, mode):
        self.mode = mode
        self.record.write(f"store is {mode}")
        self.mode_changed.set()
        self.mode_changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_head(reader)
                message.body = await read_body(reader, message)
                answer = await self.answer(message) if self.mode != "silent" else None
                # A response that is ready while the store is silent is lost, and the channel returns nothing further.
                if self.mode == "silent" or answer is None:
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        if self.mode == "busy":
            return response(503)
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic, number = args.get("topic", ""), int(args.get("part", 0))
        json_type = [("Content-Type", "application/json")]
        if (method, path) == ("POST", "/v1/log-append"):
            return await self.append(topic, number, message.body, json_type)
        if (method, path) == ("GET", "/v1/log-read"):
            return await self.read(topic, number, int(args["from"]), int(args.get("waitMs", 0)))
        if (method, path) == ("GET", "/v1/log-newest"):
            part = self.part(topic, number)
            after = bytes.fromhex(re.sub("%(..)|(.)", lambda m: m[1] or f"{ord(m[2]):02x}", args.get("after", "")))
            keys, items, size = sorted(key for key in part.newest if key > after), [], 0
            for key in keys:
                value, offset = part.newest[key]
                if len(items) == 500 or (items and size + len(value) > 1000000):
                    break
                size += len(value)
                items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
            body = {"items": items, "morePages": len(items) < len(keys), "end": len(part.records)}
            return response(200, json_type, json.dumps(body).encode())
        return response(404)

    async def append(self, topic, number, body, headers):
        if topic in ("keyed.op", "keyed.servers"):
            return response(403)
        if len(body) > CALL_BYTES + 4096:
            return response(400)
        records, at = [], 0
        while at < len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        # "Each record consists of a length and at most `recordBytes`"; records are appended all or nothing.
        if any(len(record) > RECORD_BYTES for record in records):
            self.refused[(topic, number)] = self.refused.get((topic, number), 0) + 1
            if self.refused[(topic, number)] <= 3:
                self.record.write(f"store refuses an append to {topic}/{number}: a record of "
                                  f"{max(map(len, records))} bytes, {len(records)} records in the call")
            return response(400)
        async with self.part(topic, number).lock:
            await asyncio.sleep(0.002)
            if self.mode != "up":
                return None
            first = self.append_records(topic, number, records)
        return response(200, headers, json.dumps({"offset": first, "end": first + len(records)}).encode())

    async def read(self, topic, number, start, wait_ms):
        part, end = self.part(topic, number), time.monotonic() + wait_ms / 1000
        while start >= len(part.records) and (left := end - time.monotonic()) > 0:
            waits = [asyncio.create_task(part.changed.wait()), asyncio.create_task(self.mode_changed.wait())]
            await asyncio.wait(waits, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            for one in waits:
                one.cancel()
            if self.mode != "up":
                return response(503) if self.mode == "busy" else None
        size, out = 0, []
        for data in part.records[start:]:
            if out and size + len(data) > 1024 * 1024:
                break
            size += len(data)
            out.append(len(data).to_bytes(4, "big") + data)
        return response(200, [("Content-Type", "application/octet-stream")],
                        len(part.records).to_bytes(8, "big") + (0).to_bytes(8, "big") + b"".join(out))


# ---- runners --------------------------------------------------------------------------------------------------------

class Runner:
    """A runner of a service. Streams have `events` events, plain requests take `work_s`."""

    def __init__(self, record, store, name, service, zone, address, work_s=0.05, events=0, gap_s=0.02, data=None,
                 comments=0):
        """`comments`: number of comments (lines that begin with a colon) that are sent before each event."""
        self.comments = comments
        self.record, self.store, self.name, self.service, self.zone = record, store, name, service, zone
        self.address, self.port = address, free_ports(address, 1)[0]
        self.work_s, self.events, self.gap_s = work_s, events, gap_s
        self.data = data or (lambda message, number: f"{name} piece {number}")
        self.leaving, self.born, self.sequence, self.state = False, int(time.time() * 1000), 0, "ready"
        self.arrivals, self.bodies, self.unfinished, self.connections = [], {}, set(), set()
        self.listed = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, limit=16 * 1024 * 1024)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while self.listed:
            # While the store is away, nobody can write there.
            if self.store.mode == "up":
                self.sequence += 1
                self.store.put("keyed.servers", self.name, json.dumps({
                    "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone,
                    "version": "v1", "slots": 16, "state": self.state, "coldLeftMs": 0, "sequence": self.sequence,
                    "born": self.born}).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def leave(self):
        """Leaves without reporting `draining`: the entry is removed, and every answer says that it leaves."""
        self.leaving, self.listed = True, False
        self.store.put("keyed.servers", self.name, b"")
        self.record.write(f"runner {self.name} leaves; its entry is removed")

    def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.write(f"runner {self.name} exits with {len(self.unfinished)} requests unfinished: "
                          f"{' '.join(sorted(self.unfinished))}")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        request = None
        try:
            while True:
                message = await read_head(reader)
                message.body = await read_body(reader, message)
                request = message.get("Request-Id")
                expected = message.get("Expect-Instance")
                if expected and expected != self.name:
                    writer.write(response(421, [("Request-Id", request), ("Instance-Id", self.name)]))
                    continue
                self.arrivals.append((request, now()))
                self.bodies[request] = message.body
                self.unfinished.add(request)
                self.record.write(f"runner {self.name} runs {request} of {message.get('Tenant')}, "
                                  f"body {len(message.body)} bytes{', leaving' if self.leaving else ''}")
                await self.run(message, writer)
                self.unfinished.discard(request)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, message, writer):
        headers = [("Request-Id", message.get("Request-Id")), ("Server-Seal", f"seal-{self.name}"),
                   ("Keep-Alive", "timeout=20")]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, headers, f"done {message.get('Request-Id')}\n".encode()))
            await writer.drain()
            return
        headers += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(response(200, headers, framed=False))
        for number in range(1, self.events + 1):
            for _ in range(self.comments):
                await asyncio.sleep(self.gap_s)
                await write_chunk(writer, b": keep-alive\n\n")
            await asyncio.sleep(self.gap_s)
            await write_chunk(writer, f"id: {number}\ndata: {self.data(message, number)}\n\n".encode())
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# ---- requesters -----------------------------------------------------------------------------------------------------

class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.sent, self.ended = 0, None, b"", False, now(), 0.0
        self.malformed = b""

    def text(self):
        return f"{self.status or 'none'} {'complete' if self.complete else 'incomplete'}, {len(self.body)} bytes"


class Requester:
    """Sends requests on one kept channel to one instance, and opens a new one where that is closed."""

    def __init__(self, record, instance, key):
        self.record, self.instance, self.key, self.channel, self.used = record, instance, key, None, 0.0

    async def ask(self, method, path, headers=(), body=b"", deadline_ms=3000, request=None, note=""):
        request = request or f"{random.getrandbits(64):016x}"
        answer = Answer()
        answer.request = request
        self.record.write(f"requester sends {request} {method} {path} to {self.instance.name}, {len(body)} bytes{note}")
        try:
            await asyncio.wait_for(self.exchange(answer, method, path, headers, body, deadline_ms), deadline_ms / 1000)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            self.close()
        answer.ended = now()
        self.record.write(f"requester gets for {request}: {answer.text()}")
        return answer

    async def exchange(self, answer, method, path, headers, body, deadline_ms):
        # Channels are reused that have been idle for up to four fifths of `idleTimeoutMs`.
        if now() - self.used > 0.8 * IDLE_TIMEOUT_S:
            self.close()
        if not self.channel:
            self.channel = await asyncio.open_connection(self.instance.ip, self.instance.front, limit=16 * 1024 * 1024)
        reader, writer = self.channel
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {answer.request}",
                 f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {self.key}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        answer.sent = now()
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if not re.match(r"HTTP/1\.1 [1-5]\d\d( |$)", head.start):
            answer.malformed = head.start.encode("latin1")
            raise ValueError("bytes that are no answer")
        answer.status, answer.headers = int(head.start.split(" ")[1]), head
        if method == "HEAD":
            pass  # An answer to HEAD has no body, whatever its headers say (RFC 9110, section 9.3.2).
        elif "chunked" in (head.get("Transfer-Encoding") or "").lower():
            while part := await read_chunk(reader):
                answer.body += part
        else:
            answer.body = await read_body(reader, head)
        answer.complete, self.used = True, now()
        if (head.get("Connection") or "").lower() == "close":
            self.close()

    def close(self):
        if self.channel:
            self.channel[1].close()
        self.channel = None


# ---- the system -----------------------------------------------------------------------------------------------------

def render(template, values, current=None, key=None):
    """The platform's templates, as far as deploy/ingress.ini uses them."""
    def section(match):
        items = lookup(match[1])
        return "".join(render(match[2], values, value, name) for name, value in items.items())

    def lookup(path):
        value = values
        for word in path.split("."):
            value = value[int(word)] if isinstance(value, list) else value[word]
        return value

    def value(match):
        word = match[1]
        found = current if word == "." else key if word == "@" else lookup(word)
        return str(found).lower() if isinstance(found, bool) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.@]+)\}\}", value, text)


class Instance:
    def __init__(self, record, store, folder, name, zone, zones, ip):
        self.record, self.name, self.zone, self.ip, self.process = record, name, zone, ip, None
        self.front, self.ready, self.peer = free_ports(ip, 3)
        self.folder, self.store, self.zones = folder, store, zones
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["ingress"]

    def settings(self, bootstrap):
        return {"nodeName": self.name, "zone": self.zone, "ip": self.ip, "bootstrap": bootstrap,
                "portRange": [self.peer, self.peer], "zones": self.zones,
                "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}"},
                "limits": {"cpuShare": 0.5, "memoryMb": 300, "maxFds": 8200},
                "bounds": {"graceS": 8, "quotaWindowS": 5, "quotaOverrun": 0.1, "quotaSlack": 20},
                "provider": {"address": f"{self.store.address}:{self.store.port}", "parts": PARTS,
                             "recordBytes": RECORD_BYTES, "callBytes": CALL_BYTES}}

    async def start(self, bootstrap):
        path = pathlib.Path(self.folder) / f"{self.name}.ini"
        path.write_text(render((ROOT / self.role["template"]).read_text(), self.settings(bootstrap)))
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "a")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "PERIDOTRAMP_BOOT": str(path)}
        program, *arguments = self.role["run"].split(" ")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / program), *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.write(f"{self.name} started")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.record.write(f"{self.name} killed")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in head.start + " "
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class CannotRun(Exception):
    """The case couldn't run."""


class World:
    def __init__(self, folder, per_zone=1):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        zones = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}
        self.instances = [Instance(self.record, self.store, self.folder, f"front-{zone}-{number + 1}", zone, zones,
                                   f"127.3.{index + 1}.{number + 1}")
                          for index, zone in enumerate(zones) for number in range(per_zone)]
        self.runners = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def runner(self, name, service, index, **options):
        one = Runner(self.record, self.store, name, service, f"zone-{'abc'[index % 3]}", f"127.4.0.{index + 1}", **options)
        self.runners.append(one)
        return one

    def configure(self, version, routes, services, tenants=("tenant-a",)):
        """Writes a desired state. The key of tenant-X is key-X, and no tenant has a limit."""
        state = {"version": version, "routes": routes, "services": services,
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                            "idleTimeoutMs": IDLE_TIMEOUT_S * 1000},
                 "tenants": [{"name": name, "apiKeys": [name.replace("tenant", "key")], "priority": 1, "ratePerS": 0,
                              "burst": 0} for name in tenants]}
        self.store.put("keyed.op", "config", json.dumps(state).encode())

    async def start(self):
        if not (ROOT / "target/peridot-ingress").exists():
            raise CannotRun("target/peridot-ingress is not built")
        await self.store.start()
        for one in self.runners:
            await one.start()
        for one in self.instances:
            await one.start(True)
        await self.await_ready()

    async def await_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await one.is_ready() for one in self.instances]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the instances are not ready")

    async def stop(self):
        for one in self.instances:
            await one.kill()


def run(folder, body, per_zone=1):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    async def main():
        world = World(folder, per_zone)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            problems = await asyncio.wait_for(body(world), 110)
            for problem in problems:
                world.record.write(f"BROKEN {problem}")
                print(problem)
            world.record.write(f"result: {'broken' if problems else 'held'}")
            status = 1 if problems else 0
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            world.record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            status = 2
        finally:
            await world.stop()
            shutil.rmtree(world.folder, ignore_errors=True)
        # Ends the stand-ins with their open channels.
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(main())
