"""Stand-ins of the users' platform for the scripts of the second review: the store, minions, the cloud API, the advice
service, and an HTTP client. They speak what PROTOCOL.md says, on loopback addresses and the real clock, and use only
the standard library. One process holds all of them; the entries are processes of their own.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ENTRY = os.path.join(ROOT, "target", "release", "goldcrest-entry")
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, and the judgement."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP/1.1 ---------------------------------------------------------------------------------------------------------


class HttpServer:
    """Serves handler(method, path, query, headers, body) -> (status, body or None). None instead of a pair leaves the
    request without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.address = None

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    async def close(self, reset=True):
        """Stops listening; resets the open connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line.strip():
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = await reader.readline()
                    if not line.strip():
                        break
                    name, value = line.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
                answer = await self.handler(method, path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                payload = b"" if value is None else json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(payload)}\r\n\r\n"
                writer.write(head.encode() + payload)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(address, method, path, host=None, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, decoded body), or (None, why) without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nhost: {host or address[0]}\r\nconnection: close\r\n"
            for name, value in (headers or {}).items():
                head += f"{name}: {value}\r\n"
            if body is not None:
                head += "content-type: application/json\r\n"
            head += f"content-length: {len(payload)}\r\n\r\n"
            writer.write(head.encode() + payload)
            await writer.drain()
            line = await reader.readline()
            if not line:
                return None, "connection ended"
            status = int(line.split()[1])
            length = 0
            while True:
                line = await reader.readline()
                if not line.strip():
                    break
                name, value = line.decode().split(":", 1)
                if name.lower() == "content-length":
                    length = int(value)
            text = await reader.readexactly(length)
            return status, json.loads(text) if text else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return None, repr(error)


# --- the store --------------------------------------------------------------------------------------------------------


def unquote(text):
    from urllib.parse import unquote as decode

    return decode(text)


class Store:
    """The platform's metadata store: linearizable, loses nothing, answers after 4 ms."""

    PAGE = 500

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.hook = None
        self.expiry = None

    async def open(self):
        self.expiry = asyncio.ensure_future(self.expire())
        return await self.server.open()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes a key on behalf of the operator or a minion."""
        self.revision += 1
        self._put(key, value, lease, self.revision)
        self._notify()
        return self.revision

    def _put(self, key, value, lease, revision):
        created = self.items[key]["created"] if key in self.items else revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((revision, item))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key, self.revision)
            self._notify()

    def _remove(self, key, revision):
        if self.items.pop(key, None) is not None:
            self.history.append((revision, {"key": key, "revision": revision, "tombstone": True}))

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (until, _) in list(self.leases.items()):
                if now() >= until:
                    self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key, self.revision)
            self._notify()

    def get(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def handle(self, method, path, query, headers, body):
        if self.hook is not None:
            hooked = await self.hook(method, path, query, headers, body)
            if hooked is not False:
                return hooked
        await asyncio.sleep(0.004)
        return await self.carry_out(method, path, query, body)

    async def carry_out(self, method, path, query, body):
        call = path.removeprefix("/goldcreststile/")
        if call == "kv-key":
            item = self.items.get(unquote(query["key"]))
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item, "storeRevision": self.revision}
        if call == "kv-range":
            prefix, after = unquote(query["prefix"]), unquote(query.get("after", ""))
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[: self.PAGE]]
            return 200, {"items": page, "hasMore": len(keys) > self.PAGE, "storeRevision": self.revision}
        if call == "kv-watch":
            return await self.watch(unquote(query["prefix"]), int(query["after"]), int(query["waitMs"]))
        if call == "kv-txn":
            return self.commit(json.loads(body))
        if call == "kv-lease":
            ttl = max(1000, min(600_000, json.loads(body)["ttlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if call.startswith("kv-keep/"):
            lease = int(call.removeprefix("kv-keep/"))
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        if call.startswith("kv-lease-end/"):
            lease = int(call.removeprefix("kv-lease-end/"))
            if lease not in self.leases:
                return 404, None
            self.end(lease)
            return 200, {}
        return 404, None

    async def watch(self, prefix, after, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            events = []
            for revision, event in reversed(self.history):
                if revision <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            if events:
                return 200, {"events": events[::-1], "storeRevision": self.revision}
            left = until - now()
            if left <= 0:
                return 200, {"events": [], "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, txn):
        expected, puts, remove = txn.get("expected", []), txn.get("puts", []), txn.get("remove", [])
        if len(expected) + len(puts) + len(remove) > 32:
            return 400, {"error": "too many rows"}
        keys = [row["key"] for row in puts] + list(remove)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {"error": "not yours"}
        present = {row["key"]: self.items.get(row["key"], {}).get("revision", 0) for row in expected}
        if any(present[row["key"]] != row["revision"] for row in expected):
            return 412, {"items": [self.items[key] for key in present if key in self.items]}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return 404, None
        self.revision += 1
        for row in puts:
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0), self.revision)
        for key in remove:
            self._remove(key, self.revision)
        self._notify()
        return 200, {"revision": self.revision}


# --- minions ----------------------------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, run, needs, length_s, how, lasts):
        self.task, self.run, self.needs = task, run, needs
        self.length_s, self.how, self.lasts = length_s, how, lasts
        self.began = now()
        self.timer = None


class Minion:
    """A minion. `needs_of(task)` tells what a task requests and how it ends: (needs, seconds, how, lasts). A script
    may set it; the real minion learns it from the client's job."""

    def __init__(self, world, ident, service, zone, capacity, labels, machine=None):
        self.world, self.id, self.service, self.zone = world, ident, service, zone
        self.capacity, self.labels = dict(capacity), list(labels)
        self.machine = machine or "m-" + ident
        self.guards = True
        self.server = None
        self.address = None
        self.beating = None
        self.lapsing = None
        self.is_up = False
        self.state = "ready"
        self.life = 0
        self.on_start = None

    async def start(self, capacity=None, labels=None):
        """Starts an incarnation: it holds and knows nothing of before."""
        self.capacity = dict(capacity or self.capacity)
        self.labels = list(labels or self.labels)
        self.life += 1
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        self.running, self.ended, self.last_end = {}, [], 0
        self.highest_ended = {}
        self.fence, self.deadline_ms, self.sequence = 0, 0, 0
        self.news = asyncio.Event()
        if self.address is None:
            self.server = HttpServer(self.handle)
            self.address = await self.server.open()
        else:
            self.server = HttpServer(self.handle)
            # The entry stands in the store before the minion can be reached.
            self.beat_once()
            await self.server.open(*self.address)
        self.is_up = True
        self.beat_once()
        self.beating = asyncio.ensure_future(self.beat())
        self.lapsing = asyncio.ensure_future(self.lapse())
        self.world.record(f"minion {self.id} up: life {self.life} born {self.born} labels {self.labels} capacity {self.capacity}")

    async def crash(self):
        """Ends without a word. Everything that it runs terminates."""
        self.is_up = False
        for task in (self.beating, self.lapsing):
            task.cancel()
        for run in self.running.values():
            if run.timer:
                run.timer.cancel()
        lost = [f"{run.task}#{run.run}" for run in self.running.values()]
        self.running = {}
        await self.server.close()
        self.world.record(f"minion {self.id} crashed under {lost}")

    async def cut(self):
        """Cuts the minion off from all machines of the system: connections are reset and refused; it runs on."""
        await self.server.close()
        self.world.record(f"minion {self.id} cut off; it runs on")

    async def heal(self):
        self.server = HttpServer(self.handle)
        await self.server.open(*self.address)
        self.world.record(f"minion {self.id} reachable again")

    def clock_ms(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    def beat_once(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        self.world.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(self.world.heartbeat_s)
            self.beat_once()

    async def lapse(self):
        """Ends everything when the lease expires."""
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms() > self.deadline_ms:
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        if run.timer:
            run.timer.cancel()
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.run, how, ""])
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.run)
        self.world.ended(self, run, how)
        self.news.set()
        self.news = asyncio.Event()

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            most = self.clock_ms() + self.world.max_hold_ms
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, most))

    async def handle(self, method, path, query, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, None
        call = path.removeprefix("/goldcreststile/")
        if call not in ("run-start", "run-stop", "hold", "pace"):
            return (200, None) if path == "/health" else (404, None)
        message = json.loads(body)
        token = message.get("fencingToken", 0)
        if token < self.fence:
            return self.refuse("fence")
        self.fence = token
        if call == "run-start":
            return self.run_start(message)
        if call == "run-stop":
            return self.run_stop(message)
        if call == "pace":
            return 200, {"clockMs": self.clock_ms()}
        return await self.hold(message)

    def refuse(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def free(self):
        used = {"cpu": 0, "memMb": 0, "gpu": 0}
        for run in self.running.values():
            for name in used:
                used[name] += run.needs.get(name, 0)
        return {name: self.capacity.get(name, 0) - used[name] for name in used}

    def run_start(self, message):
        task, number = message["task"], message["runId"]
        if message["deadlineMs"] < self.clock_ms():
            return self.refuse("late")
        self.extend(message["deadlineMs"])
        if (task, number) in self.running:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.highest_ended.get(task, 0):
            return self.refuse("old")
        needs, length_s, how, lasts = self.world.needs_of(task)
        free = self.free()
        if self.guards and any(needs.get(name, 0) > free[name] for name in free):
            return self.refuse("room")
        run = Run(task, number, needs, length_s, how, lasts)
        self.running[(task, number)] = run
        self.world.started(self, run, message)
        if not lasts:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(length_s, self.end, (task, number), how)
        if self.on_start is not None:
            self.on_start(self, run)
        return 200, {"clockMs": self.clock_ms()}

    def run_stop(self, message):
        task, number = message["task"], message["runId"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        if (task, number) in self.running:
            self.end((task, number), "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, message):
        self.extend(message.get("deadlineMs"))
        seen = message.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = now() + min(message.get("waitMs", 0), 2000) / 1000
        news, life = self.news, self.life
        while not self.ended and now() < until and life == self.life:
            try:
                await asyncio.wait_for(news.wait(), until - now())
            except asyncio.TimeoutError:
                pass
            news = self.news
        return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": self.rows(), "ended": self.ended[:500]}

    def rows(self):
        rows = []
        for run in self.running.values():
            age = now() - run.began
            if run.lasts:
                percent, load = (100 if age > 0.3 else 0), 20
            else:
                percent, load = min(99, int(100 * age / max(run.length_s, 0.001))), run.needs.get("cpu", 0)
            rows.append([run.task, run.run, "", percent, load])
        return rows


# --- the world --------------------------------------------------------------------------------------------------------


class World:
    """A small deployment: the store, the cloud API, minions, and entries as processes."""

    heartbeat_s = 1.5
    max_hold_ms = 6_000

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.cloud = HttpServer(self.handle_cloud)
        self.minions = {}
        self.entries = []
        self.kinds = {}
        self.temp = tempfile.mkdtemp(prefix="review-2-")
        self.block = [random.randrange(2, 250), random.randrange(2, 250)]
        self.starts = []
        self.ends = []
        self.problems = []
        self.service_names = []

    async def open(self, config):
        if not os.path.exists(ENTRY):
            self.record("the entry is not built")
            sys.exit(2)
        self.store_address = await self.store.open()
        self.cloud_address = await self.cloud.open()
        self.put_config(config)

    def put_config(self, config):
        self.store.put("op/config", json.dumps(config).encode())
        self.record(f"operator: config version {config['version']} acknowledged")

    async def add_minion(self, ident, service, zone, capacity, labels):
        minion = Minion(self, ident, service, zone, capacity, labels)
        await minion.start()
        self.minions[ident] = minion
        return minion

    def needs_of(self, task):
        return self.kinds[task.split(".")[0]]

    def started(self, minion, run, message):
        self.starts.append((now(), minion, run))
        self.record(f"start {run.task}#{run.run} on {minion.id} (life {minion.life}, labels {minion.labels}), token {message['fencingToken']}")

    def ended(self, minion, run, how):
        self.ends.append((now(), minion, run, how))
        self.record(f"end {run.task}#{run.run} on {minion.id}: {how}")

    async def handle_cloud(self, method, path, query, headers, body):
        if method == "GET" and path == "/goldcreststile/machines":
            rows = []
            for minion in self.minions.values():
                rows.append(
                    {
                        "machine": minion.machine,
                        "pool": minion.service,
                        "state": "up" if minion.is_up else "down",
                        "zone": minion.zone,
                        "labels": minion.labels,
                        "capacity": minion.capacity,
                        "id": minion.id if minion.is_up else "",
                    }
                )
            return 200, {"machines": rows, "nextToken": None}
        return 409, {"reason": "busy"}

    def add_entry(self, number, zone="zone-a", advice=None):
        ip = f"127.{self.block[0]}.{self.block[1]}.{number + 10}"
        settings = os.path.join(self.temp, f"entry-{number}.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self.settings(f"edge-{zone}-{number}", ip, zone, advice))
        entry = Entry(self, number, ip, settings)
        self.entries.append(entry)
        entry.spawn()
        return entry

    def settings(self, name, ip, zone, advice):
        return f"""nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internalPorts = [7000, 7015]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = {int(self.heartbeat_s * 1000)}
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform", "advice", "upkeep", "sharing"]
orders = "call"
advice = "{advice or ''}"
[zones]
{zone} = "region"
[listen]
front = "{ip}:8340"
readiness = "{ip}:8343"
control = "{ip}:8345"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
recoverS = 12
maxHoldMs = {self.max_hold_ms}
stopGraceMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointIntervalS = 0.5
restoreMs = 600
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
fencingRequired = false
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
address = "{self.store_address[0]}:{self.store_address[1]}"
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloudApi]
address = "{self.cloud_address[0]}:{self.cloud_address[1]}"
ratePerS = 64.0
duties = []
dutiesPerS = 64.0
"""

    async def wait_ready(self, within=10.0):
        """Waits until each entry answers its readiness probe with 200."""
        until = now() + within
        for entry in self.entries:
            while (await request((entry.ip, 8343), "GET", "/goldcreststile/ready", timeout=0.5))[0] != 200:
                if now() > until:
                    self.record("an entry is not ready: the case could not run")
                    await self.end(2)
                await asyncio.sleep(0.1)

    async def submit(self, entry, host, path, job, headers, kind, timeout=3.0):
        """Submits a job; `kind` is what needs_of returns for its tasks. Returns the status."""
        ident = path.rsplit("/", 1)[1]
        self.kinds[ident] = kind
        status, answer = await request((entry.ip, 8340), "POST", path, host, job, {"deadline-ms": "3000", **headers}, timeout)
        self.record(f"client: POST {path} at {entry.number}: {status} {answer}")
        return status

    async def state(self, entry, host, path, headers):
        status, answer = await request((entry.ip, 8340), "GET", path, host, None, {"deadline-ms": "3000", **headers})
        self.record(f"client: GET {path} at {entry.number}: {status} {answer}")
        return status, answer

    async def end(self, code):
        for entry in self.entries:
            entry.kill()
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record(f"exit {code}")
        sys.stdout.flush()
        os._exit(code)


class Entry:
    """A process of the project, started as the deploy file says."""

    def __init__(self, world, number, ip, settings):
        self.world, self.number, self.ip, self.settings = world, number, ip, settings
        self.process = None

    def spawn(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["GOLDCRESTSTILE_NODE_FILE"] = self.settings
        out = os.environ.get("REVIEW_LOGS")
        log = open(os.path.join(out, f"entry-{self.number}.log"), "ab") if out else subprocess.DEVNULL
        self.process = subprocess.Popen(
            [ENTRY, "--metrics", "7000"], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.world.record(f"entry {self.number} started")

    def send(self, name):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(name)
            self.world.record(f"entry {self.number}: {name.name}")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def draw_id():
    return f"{random.getrandbits(64):016x}"


def config(version, services, routes, tenants):
    return {
        "version": version,
        "routes": [
            {
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 600,
                "priority": 0,
                "maxAttempts": 4,
                "stretch": 1.6,
                "public": False,
                **route,
            }
            for route in routes
        ],
        "services": [
            {
                "healthPath": "/health",
                "maxConnections": 64,
                "protocol": "h1",
                "tls": False,
                "admissionControl": True,
                "standby": False,
                **service,
            }
            for service in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"priority": 1, "weight": 45, "cap": {"cpu": 0, "memMb": 0, "gpu": 0}, **tenant} for tenant in tenants],
    }


def main(folder, scenario, limit_s=115):
    """Runs a scenario, which ends with World.end. Exit code 2 if it doesn't within the limit."""

    async def guarded():
        world = World(folder)
        for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(name, lambda: asyncio.ensure_future(world.end(2)))
        try:
            await asyncio.wait_for(scenario(world), limit_s)
        except Exception as error:  # The case could not run.
            import traceback

            world.record("the case could not run: " + repr(error) + traceback.format_exc().replace("\n", " | "))
        await world.end(2)

    asyncio.run(guarded())
