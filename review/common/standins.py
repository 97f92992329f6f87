"""Stand-ins for clients, replicas and discovery, and the start of the project's programs, for the review cases.

One Python process plays all stand-ins on loopback addresses. The co-ordinators are separate processes, started with the
`run` command of the deploy file. All times in the record are seconds of one monotonic clock.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# A script runs for 120 s at most; the rest is for ending the processes.
MOST_S = 110
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class World:
    """The clock, the record and the processes of one play."""

    def __init__(self, folder):
        self.record_path = os.path.join(folder, "record.txt")
        self.start = time.monotonic()
        self.lines = []
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.processes = []

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.lines.append((self.now(), text))

    def write_record(self):
        with open(self.record_path, "w") as out:
            for at, text in self.lines:
                out.write(f"{at:10.4f} {text}\n")

    def start_node(self, name, config, operators=None, variables=()):
        """Starts one co-ordinator by the deploy file's `run`.

        `operators` is the text of an operators' file; `variables` names those of the platform's variables that are set.
        """
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        path = os.path.join(self.tmp, f"{name}.json")
        with open(path, "w") as file:
            json.dump(config, file)
        if operators is not None:
            operators_path = os.path.join(self.tmp, f"{name}.dhall")
            with open(operators_path, "w") as file:
                file.write(operators)
            run += f" --operators {operators_path}"
        log = open(os.path.join(self.tmp, f"{name}.log"), "w")
        env = dict(os.environ, NODE_CONFIG=path, TMPDIR=self.tmp)
        told = {"NODE_NAME": "name", "NODE_LISTEN": "listen", "NODE_DISCOVERY": "discovery"}
        for variable, key in told.items():
            env.pop(variable, None)
            if variable in variables:
                env[variable] = config[key]
        process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True)
        self.processes.append(process)
        node = Node(self, name, process, config["listen"], path, log.name)
        self.note(f"start {name} at {config['listen']}")
        return node

    def end(self):
        for process in self.processes:
            # Each node leads a process group of its own, so this reaches its workers as well.
            for sig in (signal.SIGCONT, signal.SIGKILL):
                try:
                    os.killpg(process.pid, sig)
                except (ProcessLookupError, PermissionError):
                    pass
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


class Node:
    def __init__(self, world, name, process, listen, path, log):
        self.world, self.name, self.process, self.path, self.log = world, name, process, path, log
        host, port = listen.rsplit(":", 1)
        self.address = (host, int(port))

    def signal(self, sig, pid=None):
        self.world.note(f"signal {sig.name} to {self.name}" + (f" worker {pid}" if pid else ""))
        os.kill(pid or self.process.pid, sig)

    def workers(self):
        """Process ids of the workers that an upgrade supervisor has started, oldest first."""
        with open(f"/proc/{self.process.pid}/task/{self.process.pid}/children") as file:
            return sorted(int(pid) for pid in file.read().split())

    def check_alive(self):
        if self.process.poll() is not None:
            with open(self.log) as file:
                tail = file.read()[-2000:]
            raise CannotRun(f"{self.name} ended with {self.process.returncode}: {tail}")

    async def ready(self, limit=30.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            self.check_alive()
            try:
                status, _, _ = await asyncio.wait_for(http(self.address, b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"), 2)
                if status == 200:
                    self.world.note(f"ready {self.name}")
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def counters(self):
        _, _, body = await http(self.address, b"GET /counters HTTP/1.1\r\nHost: a\r\n\r\n")
        return body.decode()


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if headers.get("connection", "").lower() == "close" else b""
    return status, headers, body


async def http(address, request):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await read_response(reader)
    finally:
        writer.close()


class Client:
    """A client that keeps its connections and has one request at a time on each, as the protocol says."""

    def __init__(self, world, address):
        self.world, self.address, self.idle = world, address, []

    async def query(self, name, vertical, shards, deadline_ms, text="c41e77d0", key=None, give_up=None):
        """Sends one query; returns its status, or `None` if there was no answer. `give_up`: seconds to wait."""
        weight = 1.0 / len(shards)
        body = json.dumps({"shards": [{"shard": s, "weight": weight} for s in shards], "q": text}).encode()
        head = f"POST /{vertical} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {name}\r\n"
        head += f"Req-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n"
        if key is not None:
            head += f"Idempotency-Key: {key}\r\n"
        request = head.encode() + b"\r\n" + body
        try:
            return await asyncio.wait_for(self.send(name, vertical, deadline_ms, request), give_up)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.world.note(f"no answer {name}: {type(error).__name__}")
            return None

    async def send(self, name, vertical, deadline_ms, request):
        while True:
            is_kept = bool(self.idle)
            reader, writer = self.idle.pop() if is_kept else await asyncio.open_connection(*self.address)
            self.world.note(f"query {name} {vertical} deadline_ms={deadline_ms}")
            try:
                writer.write(request)
                status, headers, body = await read_response(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                writer.close()
                partial = getattr(error, "partial", b"")
                if is_kept and not partial:
                    # The connection ended between two requests; the request goes once more, on a new connection.
                    self.world.note(f"again {name} on a new connection")
                    is_kept = False
                    for _, old in self.idle:
                        old.close()
                    self.idle.clear()
                    continue
                raise
            except asyncio.CancelledError:
                writer.close()
                raise
            self.world.note(f"answer {name} {status} {body.decode(errors='replace')}")
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return status

    def close(self):
        for _, writer in self.idle:
            writer.close()


def frame(payload):
    return len(payload).to_bytes(4, "big") + payload


class Part:
    def __init__(self, replica, ident, shard, options, text, at):
        self.replica, self.id, self.shard, self.text, self.at = replica, ident, shard, text, at
        self.query = ident.rsplit(".", 1)[0]
        self.told_ms = int(options.get("d", "0"))
        self.key = options.get("k")


class Replica:
    """A sound replica: runs each part for `work_s` seconds and answers it. `seen` is called with each part that arrives."""

    def __init__(self, world, name, work_s, seen):
        self.world, self.name, self.work_s, self.seen = world, name, work_s, seen
        self.parts, self.writers, self.server, self.tasks = [], set(), None, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def row(self, cell, state="active", az="a"):
        return {"uid": self.name, "endpoint": f"127.0.0.1:{self.port}", "az": az, "model": "m", "pod_group": cell,
                "state": state, "capacity_hint": 1.0, "boot_ms": 0}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        given_up = set()
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                payload = await reader.readexactly(size)
                kind, rest = payload[:1], payload[1:]
                if kind == b"P":
                    writer.write(frame(b"Pok"))
                elif kind == b"L":
                    writer.write(frame(b"Lqueue=0,inflight=0"))
                elif kind == b"X":
                    given_up.add(rest.decode())
                elif kind == b"Q":
                    for part in self.parse(rest):
                        given_up.discard(part.id)
                        task = asyncio.ensure_future(self.run(part, writer, given_up))
                        self.tasks.add(task)
                        task.add_done_callback(self.tasks.discard)
                else:
                    writer.write(frame(b"Ewhat?"))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def parse(self, rest):
        while rest:
            line, rest = rest.split(b"\n", 1)
            ident, shard, options, length = line.decode().split(" ")
            options = dict(pair.split("=", 1) for pair in options.split(",") if "=" in pair)
            text, rest = rest[:int(length)], rest[int(length):]
            part = Part(self.name, ident, int(shard), options, text.decode(), self.world.now())
            self.parts.append(part)
            self.world.note(f"part {part.id} at {self.name} told_ms={part.told_ms}" + (f" key={part.key}" if part.key else ""))
            yield part

    async def run(self, part, writer, given_up):
        effect = self.seen(part)
        await asyncio.sleep(self.work_s)
        if part.id in given_up:
            return
        try:
            writer.write(frame(f"A{part.id} ok 7 -\n{effect or 'v-' + part.id}".encode()))
        except OSError:
            pass


class Discovery:
    """Discovery as the protocol page has it. `down` makes it silent: it accepts and says nothing, to anybody."""

    def __init__(self, world, rows):
        self.world, self.rows, self.rev, self.changes = world, {row["uid"]: row for row in rows}, 41, []
        self.down, self.news, self.up_again = False, asyncio.Event(), asyncio.Event()
        self.calls, self.writers = 0, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        rows = [row for row in self.rows.values() if row["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": rows}

    def change(self, row):
        self.rev += 1
        self.rows[row["uid"]] = row
        self.changes.append((self.rev, row))
        self.world.note(f"listed {row['uid']} {row['state']} rev={self.rev}")
        news, self.news = self.news, asyncio.Event()
        news.set()

    def end(self):
        """Ends the listener and all connections: further calls are refused."""
        self.world.note(f"discovery at {self.address} ends")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def set_down(self, down):
        self.world.note("discovery is down" if down else "discovery is back")
        self.down = down

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            if self.down:
                # What was asked while discovery was down is never answered.
                await reader.read()
                return
            path = head.decode().split(" ")[1]
            if "stream=1" not in path:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                await reader.read()
                return
            index = int(path.split("index=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            ended = asyncio.ensure_future(reader.read())
            while not ended.done():
                if self.down:
                    # An open watch falls silent and stays so.
                    await ended
                    return
                due = [(rev, row) for rev, row in self.changes if rev > index]
                line = b"\n"
                if due:
                    index = due[-1][0]
                    line = json.dumps({"rev": index, "all": False, "targets": [row for _, row in due]}).encode() + b"\n"
                writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
                await writer.drain()
                try:
                    await asyncio.wait_for(asyncio.shield(self.news.wait()), 1.0)
                except asyncio.TimeoutError:
                    pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, case):
    """Plays `case(world)`, which returns the list of breaks; writes the record and exits."""
    world = World(folder)
    code = EXIT_NOT_RUN
    try:
        loop = asyncio.new_event_loop()
        # SIGTERM to a case ends it in order: its processes are ended and the record is written.
        loop.add_signal_handler(signal.SIGTERM, lambda: [task.cancel() for task in asyncio.all_tasks(loop)])
        breaks = loop.run_until_complete(asyncio.wait_for(case(world), MOST_S))
        for text in breaks:
            world.note(f"BREAK {text}")
        print(f"{len(breaks)} breaks" + "".join(f"\n  {text}" for text in breaks[:10]))
        code = EXIT_BROKEN if breaks else EXIT_HELD
    except BaseException as error:
        # Whatever goes wrong with the play itself says nothing of the rule.
        world.note(f"could not run: {error!r}\n{traceback.format_exc()}")
        print(f"could not run: {error!r}")
    finally:
        world.end()
        world.note(f"exit {code}")
        world.write_record()
        sys.stdout.flush()
        # The stand-ins' open connections end with this process.
        os._exit(code)


def settings(classes, cells, shards, span, **changes):
    """Settings as the wire page has them. `classes`: dictionaries with what differs from a repeatable class."""
    base = {"aim_s": 1.5, "dedup_window_s": 5.0, "hard_limit_s": 4.0, "idempotency": "safe", "key_scope": "all",
            "late_worth": 0.3, "streaming": False, "worth": 1.0}
    count = len(classes)
    result = {
        "allowed": {"cancel": True, "conn_idle_s": 30.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
                    "dial_timeout_s": 0.25, "max_open": 500, "max_retry_after_s": 2.0, "may_duplicate": True,
                    "peer_messages": False, "probing": True, "retry_after": True, "streams_per_conn": 32, "try_limit": 4},
        "balancers": 1,
        "classes": [dict(base, **one) for one in classes],
        "clients": {"marks_retry": False},
        "domain": {"call_cost_s": 0.005, "complete_from": [1.0] * count, "floor_by_class": [1.0] * count,
                   "follow_up": [0] * count, "partial_earns": [0.9] * count, "parts_a_call": 8, "sets": cells,
                   "shards": shards, "span": span, "warm_keys": False},
        "domain_type": "fanout",
        "goal": {"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.4},
        "kinds": ["small-2core"], "over_share_worth": 0.1, "position": 0,
        "prices": {"connection": 0.0, "cross_zone": 0.02, "handshake": 0.0, "late_fail": 0.03, "moves": 0.0,
                   "origin": 0.0, "peer": 0.0, "probe": 0.01, "registry_mode": 0.0, "waste": 0.03},
        "registry_mode": "push",
        "report": {"fields": [], "how": "none"},
        "rules": {"answer_slack_s": 0.02, "ask_within_s": 10.0, "cold_from": 0.32, "cold_s": 18.0, "drain_grace_s": 2.0,
                  "fall_s": 1.0, "overload_factor": 3.0},
        "stage": 0, "tenants": [], "tick_s": 0.005, "tiers": ["data"], "value_by": "request", "weights": "none",
    }
    for key, value in changes.items():
        if isinstance(value, dict):
            result[key] = dict(result[key], **value)
        else:
            result[key] = value
    return result


def charter(name, discovery, told, seed="8c1f30d27a5be964", sockets=512):
    return {"name": name, "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.address, "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": sockets}, "known": discovery.whole(), "settings": told}
