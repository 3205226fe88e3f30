"""Stand-ins for the cases of the second review: store, runners, requesters, and the processes under test.

They follow the platform's pages. Everything listens on loopback addresses with free ports.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HEARTBEAT_S = 1.2


class Record:
    """Writes what is sent, answered and run to a file, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class FreePorts:
    """Ports that are free for TCP and UDP, below the range from which outgoing channels take theirs.

    They come from one block of ports. Its first one is bound for the whole run, so that no two processes of this run, and
    no two runs beside each other, get the same port."""

    BLOCK = 32

    def __init__(self):
        while True:
            self.next = random.SystemRandom().randrange(12_000, 30_000, self.BLOCK)
            self.guard = socket.socket()
            try:
                self.guard.bind(("127.0.0.1", self.next))
                return
            except OSError:
                self.guard.close()

    def take(self, count):
        ports = []
        while len(ports) < count:
            self.next += 1
            if self.next % self.BLOCK == 12_000 % self.BLOCK:
                raise RuntimeError("no free ports left in the block")
            try:
                with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                    tcp.bind(("127.0.0.1", self.next))
                    udp.bind(("127.0.0.1", self.next))
            except OSError:
                continue
            ports.append(self.next)
        return ports


async def read_head(reader):
    """Returns the start line and the header fields (names in lower case)."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's log. `lose_writes` is the share of appends that are done and not answered, `down` a refusal."""

    def __init__(self, record, seed=1):
        self.record = record
        self.topics = {}
        self.lose_writes = 0.0
        self.late_s = None
        self.random = random.Random(seed)
        self.down = None
        self.changed = asyncio.Condition()
        self.trace = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def part(self, topic, part):
        return self.topics.setdefault((topic, part), [])

    async def append(self, topic, part, records):
        log = self.part(topic, part)
        offset = len(log)
        log.extend(records)
        if topic in self.trace:
            for index, content in enumerate(records):
                key = content[1:1 + content[0]].decode("latin-1")
                self.record.write(f"store {topic}/{part} offset {offset + index} key {key} value {content[1 + content[0]:].hex()}")
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, topic, key, value):
        await self.append(topic, 0, [bytes([len(key)]) + key.encode() + value])

    def newest(self, topic, part):
        items = {}
        for offset, content in enumerate(self.part(topic, part)):
            key = content[1:1 + content[0]]
            items[key] = (offset, content[1 + content[0]:])
        return {key: entry for key, entry in items.items() if entry[1]}

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                answer = await self.handle(method, target, body)
                if answer is None:
                    # A lost answer: nothing further comes on this connection.
                    await reader.read()
                    return
                status, content = answer
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        if self.down == "busy":
            return 503, b"{}"
        if self.down == "silent":
            return None
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        if url.path == "/v1/log-append":
            records = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            if self.lose_writes and self.random.random() < self.lose_writes:
                delay = self.random.uniform(*self.late_s) if self.late_s else 0
                asyncio.get_running_loop().call_later(
                    delay, lambda: asyncio.ensure_future(self.append(topic, part, records)))
                return None
            await asyncio.sleep(0.002)
            offset = await self.append(topic, part, records)
            return 200, json.dumps({"offset": offset, "end": len(self.part(topic, part))}).encode()
        if url.path == "/v1/log-read":
            return await self.read(topic, part, int(query["from"]), int(query.get("waitMs", "0")))
        if url.path == "/v1/log-newest":
            items = sorted(self.newest(topic, part).items())
            items = [(key, entry) for key, entry in items if key.decode("latin-1") > query.get("after", "")]
            page = [{"key": key.decode("latin-1"), "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (offset, value) in items[:500]]
            return 200, json.dumps(
                {"items": page, "morePages": len(items) > 500, "end": len(self.part(topic, part))}).encode()
        return 404, b"{}"

    async def read(self, topic, part, start, wait_ms):
        log = self.part(topic, part)
        deadline = time.monotonic() + wait_ms / 1000
        while len(log) <= start and time.monotonic() < deadline:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        if self.down:
            return (503, b"{}") if self.down == "busy" else None
        content = struct.pack(">QQ", len(log), 0)
        for entry in log[start:]:
            if len(content) > 1 << 20:
                break
            content += struct.pack(">I", len(entry)) + entry
        return 200, content


class Runner:
    """A runner of a service. Streams `events` events with a pause between them; other routes get a short body."""

    def __init__(self, store, record, name, service, zone, slots=16, events=4, gap_s=0.02, work_s=0.05):
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.events, self.gap_s, self.work_s = events, gap_s, work_s
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.entry = True
        self.runs = []
        self.writers = set()
        self.state = "ready"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.beat()
        self.beats = asyncio.ensure_future(self.keep_beating())

    async def beat(self):
        self.sequence += 1
        value = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "coldLeftMs": 0, "sequence": self.sequence,
                 "born": self.born}
        await self.store.put("keyed.servers", self.name, json.dumps(value).encode())

    async def keep_beating(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.entry and not self.store.down:
                await self.beat()

    async def remove_entry(self):
        self.entry = False
        await self.store.put("keyed.servers", self.name, b"")

    def exit(self):
        """Ends the runner: it stops listening and all its channels close."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(writer, start, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, start, headers, body):
        request = headers.get("request-id", "")
        extra = "Server-Leaving: 1\r\n" if self.leaving else ""
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.name}\r\nRequest-Id: {request}\r\n{extra}"
                         "Content-Length: 0\r\n\r\n".encode())
            return await writer.drain()
        run = {"request": request, "at": self.record.now(), "headers": headers, "body": body, "done": False,
               "closed": None}
        self.runs.append(run)
        self.record.write(f"runner {self.name} runs {request} leaving {int(self.leaving)}")
        seal = f"Server-Seal: {self.name}.{len(self.runs)}\r\n"
        if self.service == "tools":
            await asyncio.sleep(self.work_s)
            text = f"{self.name} {request}".encode()
            writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n{seal}{extra}"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
        else:
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\n{seal}{extra}"
                         "Transfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        run["done"] = True
        self.record.write(f"runner {self.name} answered {request}")


class Instance:
    """One process under test, started with the command and the settings template of the deploy file."""

    def __init__(self, folder, name, zone, zones, store, ports, memory_mb=300):
        self.name, self.zone = name, zone
        self.front, self.ready, self.peer = (f"127.0.0.1:{port}" for port in ports)
        self.fields = {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1", "bootstrap": True,
            "portRange": [ports[2], ports[2]], "zones": zones,
            "limits": {"cpuShare": 0.5, "memoryMb": memory_mb, "maxFds": 8200},
            "listen": {"front": self.front, "ready": self.ready},
            "provider": {"address": store.address, "parts": 12, "recordBytes": 262144, "callBytes": 2097152},
            "bounds": {"graceS": 8, "quotaWindowS": 5, "quotaOverrun": 0.1, "quotaSlack": 20},
        }
        self.settings = os.path.join(folder, name + ".ini")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def render(self):
        with open(os.path.join(ROOT, "deploy", "ingress.ini")) as file:
            text = file.read()

        def value(path):
            current = self.fields
            for key in path.split("."):
                current = current[int(key)] if isinstance(current, list) else current[key]
            return ("true" if current else "false") if isinstance(current, bool) else str(current)

        def section(match):
            entries = self.fields[match.group(1)]
            return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", entry)
                           for key, entry in entries.items())

        text = re.sub(r"\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match.group(1)), text)

    async def start(self, command):
        with open(self.settings, "w") as file:
            file.write(self.render())
        self.fields["bootstrap"] = False
        self.log = open(self.log_path, "a")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PERIDOTRAMP_BOOT"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log, stdin=asyncio.subprocess.DEVNULL)

    async def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        await self.process.wait()

    async def is_ready(self):
        try:
            return (await fetch(self.ready, "GET", "/v1/ready", {}, b"", 1))["status"] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                with open(self.log_path) as file:
                    last = file.read().splitlines()[-1:]
                raise RuntimeError(f"{self.name} is not ready (process status {self.process.returncode}): {last}")
            await asyncio.sleep(0.05)


async def fetch(address, method, path, headers, body, timeout_s):
    """Sends one request on a new channel. Returns status, headers, body and whether the answer was complete."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=4 << 20)
        try:
            fields = {"Host": address, **headers, "Content-Length": str(len(body)), "Connection": "close"}
            text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await writer.drain()
            start, answered = await read_head(reader)
            result = {"status": int(start.split(" ")[1]), "headers": answered, "body": b"", "complete": False}
            if answered.get("transfer-encoding", "").lower() == "chunked":
                try:
                    while True:
                        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                        if size == 0:
                            await reader.readuntil(b"\r\n")
                            result["complete"] = True
                            break
                        result["body"] += await reader.readexactly(size)
                        await reader.readexactly(2)
                except (asyncio.IncompleteReadError, ConnectionError):
                    pass
            else:
                result["body"] = await reader.readexactly(int(answered.get("content-length", "0")))
                result["complete"] = True
            return result
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout_s)


def deploy_command():
    """Returns the command of the role that carries the traffic."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split(" ")
    if not os.path.exists(os.path.join(ROOT, command[0])):
        raise FileNotFoundError(command[0])
    return command


class System:
    """Store, runners and instances of a small deployment with three zones."""

    def __init__(self, case_folder, seed=1, per_zone=2):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record, seed)
        self.zones = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}
        self.per_zone = per_zone
        self.instances, self.runners = [], []
        self.ports = FreePorts()
        self.command = deploy_command()
        self.numbers = 0
        self.keep_logs = os.environ.get("KEEP_LOGS")

    async def start(self, config, runners):
        await self.store.start()
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        for runner in runners:
            await runner.start()
            self.runners.append(runner)
        for zone in self.zones:
            for number in range(1, self.per_zone + 1):
                self.instances.append(Instance(
                    self.folder, f"front-{zone}-{number}", zone, self.zones, self.store, self.ports.take(3)))
        await asyncio.gather(*(instance.start(self.command) for instance in self.instances))
        for instance in self.instances:
            await instance.wait_ready()
        await asyncio.sleep(3)

    def of(self, zone):
        return [instance for instance in self.instances if instance.zone == zone]

    def start_balancer(self):
        """Asks each instance once per second whether it is ready; two misses take it out, a 200 takes it in."""
        self.misses = {instance.name: 0 for instance in self.instances}

        async def probe(instance):
            ready = await instance.is_ready()
            self.misses[instance.name] = 0 if ready else self.misses[instance.name] + 1

        async def keep_probing():
            while True:
                for instance in self.instances:
                    asyncio.ensure_future(probe(instance))
                await asyncio.sleep(1)
        self.balancer = asyncio.ensure_future(keep_probing())

    def in_rotation(self, zone):
        """Returns the instances of a zone that get new channels: all of them if fewer than half are in rotation."""
        instances = self.of(zone)
        ready = [instance for instance in instances if self.misses[instance.name] < 2]
        return ready if 2 * len(ready) >= len(instances) else instances

    def request_id(self):
        self.numbers += 1
        return "%016x" % (0x9000000000000000 + self.numbers)

    async def stop(self):
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for runner in self.runners:
            runner.exit()
        if self.keep_logs:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(function):
    """Runs a case. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    async def guarded():
        return await asyncio.wait_for(function(), 115)
    try:
        broken = asyncio.run(guarded())
    except Exception as error:  # Whatever fails here is a fault of the case, not of the system.
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)
