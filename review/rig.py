"""Stand-ins for the users' platform: a small site of the project's own processes, with routers, clients,
endpoints and an operator as the pages describe them.  Everything runs on loopback addresses.

The site has three zones.  Each has one edge machine with a disk (control and balancer), one edge machine
without a disk (control and balancer), and some side machines (an agent beside one endpoint).
"""
import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SYN, ACK, FIN, RST, BOUNCED = 128, 1, 8, 16, 4
HEAD = struct.Struct(">B3sHIIIIIHHI")
SUM_KEY = b"known to both ends only"
PORT_FLOW, PORT_READY, PORT_CONTROL, PORT_OUTBOUND, PORT_APP = 8172, 8167, 8166, 8162, 8165
PORTS_INTERNAL = (7720, 7735)
HEARTBEAT_MS = 1200
BOUNDS = {"seedLagS": 3, "addressReuseS": 2, "touchMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
          "drainTimeoutMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "rollbackSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "reorderWindowMs": 2000,
          "maxFlowS": 60}
SYN_COPIES_S = (0.2, 0.6)
SYN_GIVE_UP_S = 1.4
RETRY_S = 0.2
RETRY_MAX_S = 1.6
ENDPOINT_RETRIES = 8


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


# --- templates of the deploy file -----------------------------------------------------------------


def look_up(name, scopes):
    if name == ".":
        return scopes[-1]["."]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    out = []
    while True:
        match = re.search(r"\{\{([#^]?)([^{}]*)\}\}", text)
        if not match:
            return "".join(out) + text
        out.append(text[:match.start()])
        kind, name = match.groups()
        text = text[match.end():]
        if kind:
            end = text.index("{{/" + name + "}}")
            inner, text = text[:end], text[end + len(name) + 5:]
            value = look_up(name, scopes)
            if kind == "^":
                out.append(inner if value in (None, False) else "")
            elif isinstance(value, (list, dict)):
                entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                for i, (key, entry) in enumerate(entries):
                    scope = dict(entry) if isinstance(entry, dict) else {}
                    scope |= {".": entry, "@": key, ",": "," if i + 1 < len(entries) else ""}
                    out.append(render(inner, scopes + [scope]))
            elif value not in (None, False):
                out.append(render(inner, scopes + [{".": value}]))
            continue
        is_json = name.endswith("|json")
        value = look_up(name[:-5] if is_json else name, scopes)
        if is_json or isinstance(value, dict):
            out.append(json.dumps(value))
        elif isinstance(value, list):
            out.append(",".join(str(one) for one in value))
        elif value is not None:
            out.append(str(value).lower() if isinstance(value, bool) else str(value))


def run_command(role):
    """The command of a role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as lines:
        text = lines.read().split(f"[roles.{role}]")[1]
    command = re.search(r'run = "([^"]*)"', text).group(1).split()
    template = re.search(r'template = "([^"]*)"', text).group(1)
    return command, template


# --- packets --------------------------------------------------------------------------------------


class Packet:
    def __init__(self, flags=0, seq=0, ack=0, src=0, sport=0, dst=0, dport=0, data=b"", echo=0, pad=b"\0\0\0"):
        self.flags, self.seq, self.ack, self.echo, self.pad = flags, seq & 0xffffffff, ack & 0xffffffff, echo, pad
        self.src, self.sport, self.dst, self.dport, self.data = src, sport, dst, dport, data
        self.sum = self.keyed_sum()

    def keyed_sum(self):
        fields = struct.pack(">BHIIIIHH", self.flags & ~BOUNCED, len(self.data), self.seq, self.ack, self.dst,
                             self.src, self.sport, self.dport)
        digest = hashlib.blake2b(fields + self.data, key=SUM_KEY, digest_size=4).digest()
        return struct.unpack(">I", digest)[0] | 1

    def pack(self):
        return HEAD.pack(self.flags, self.pad, len(self.data), self.seq, self.ack, self.echo, self.dst, self.src,
                         self.sport, self.dport, self.sum) + self.data

    def is_whole(self):
        return self.sum == self.keyed_sum()


def parse(raw):
    if len(raw) < HEAD.size:
        return None
    flags, pad, length, seq, ack, echo, dst, src, sport, dport, total = HEAD.unpack(raw[:HEAD.size])
    packet = Packet(flags, seq, ack, src, sport, dst, dport, raw[HEAD.size:], echo, pad)
    packet.sum = total
    return packet if length == len(packet.data) else None


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, received):
        self.received = received
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.received(data, addr)

    def error_received(self, exc):
        pass


async def open_datagrams(ip, port, received):
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(lambda: Datagrams(received), local_addr=(ip, port))
    return protocol


async def http(method, ip, port, path, body=None, timeout=1.0):
    """Returns (status, headers, body), or None without a clear answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            payload = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\nConnection: close\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(payload)}\r\n\r\n"
            writer.write(head.encode() + payload)
            answer = await reader.read()
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}
        return int(lines[0].split()[1]), headers, rest
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


# --- endpoints ------------------------------------------------------------------------------------


class EndpointFlow:
    def __init__(self, seq):
        self.seq = seq          # of the SYN+ACK
        self.next = seq + 1     # next byte to send
        self.expected = 0       # next byte of the client
        self.is_open = False
        self.is_ended = False   # both FINs are through
        self.sent_fin = False
        self.closes = False
        self.unacked = None     # (packet, retries, due)
        self.first_arrival = time.time()
        self.requests = 0
        self.opened_at = 0.0


class Endpoint:
    """One incarnation of a backend server on a side machine."""

    def __init__(self, site, machine, service, ident=None, work_s=0.03, cold_ms=0):
        self.site, self.machine, self.service = site, machine, service
        self.ip = site.address[machine]
        self.id = ident or "i-%08x" % site.rng.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.state = "ready"
        self.sequence = 0
        self.work_s, self.cold_until = work_s, time.time() + cold_ms / 1000
        self.is_up = False
        self.drain_acked_at = None
        self.tasks = []
        self.socket = self.health = None

    async def start(self):
        self.socket = await open_datagrams(self.ip, PORT_APP, self.on_datagram)
        self.health = await asyncio.start_server(self.on_health, self.ip, PORT_APP)
        self.is_up = True
        self.tasks = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.retry_loop())]
        self.site.note("endpoint.start", machine=self.machine, id=self.id, born=self.born)
        return self

    async def on_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    # status reports

    def report(self):
        self.sequence += 1
        return {"backend": self.service, "address": f"{self.ip}:{PORT_APP}", "zone": self.site.zone_of(self.machine),
                "version": "v1", "concurrency": 4, "state": self.state,
                "warmupLeftMs": max(0, int((self.cold_until - time.time()) * 1000)), "sequence": self.sequence,
                "born": self.born}

    async def send_report(self):
        state = self.state
        answer = await http("PUT", self.ip, PORT_CONTROL, f"/instances/{self.id}", self.report())
        is_acked = answer is not None and 200 <= answer[0] < 300
        if is_acked and state == "draining" and self.drain_acked_at is None:
            self.drain_acked_at = time.time()
            self.site.note("drain.acked", machine=self.machine, id=self.id)
        return is_acked

    async def report_loop(self):
        while self.is_up:
            began = time.monotonic()
            await self.send_report()
            pause = HEARTBEAT_MS / 1000 * self.site.rng.uniform(0.95, 1.05)
            await asyncio.sleep(max(0.0, pause - (time.monotonic() - began)))

    async def drain(self):
        self.state = "draining"
        self.site.note("drain.begin", machine=self.machine, id=self.id)
        for _ in range(10):
            if self.drain_acked_at is not None or await self.send_report():
                return True
            await asyncio.sleep(0.2)
        return False

    async def leave(self):
        await http("DELETE", self.ip, PORT_CONTROL, f"/instances/{self.id}")
        self.crash("left")

    def crash(self, why="crashed"):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        if self.socket:
            self.socket.transport.close()
        if self.health:
            self.health.close()
        self.site.note("endpoint.end", machine=self.machine, id=self.id, why=why)

    # packets

    def send(self, packet):
        self.socket.transport.sendto(packet.pack(), (self.ip, PORT_OUTBOUND))

    def reply(self, to, flags, seq, ack, data=b""):
        packet = Packet(flags, seq, ack, to.dst, to.dport, to.src, to.sport, data)
        self.send(packet)
        return packet

    def bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = b"\0\0\0"
        self.send(packet)

    def on_datagram(self, raw, _addr):
        packet = parse(raw)
        if not self.is_up:
            return
        if packet is None or not packet.is_whole():
            self.site.broken("UNASKED", f"{self.machine} got a packet that its sender didn't write so")
            return
        if packet.flags & (SYN | ACK) == SYN | ACK or packet.flags & BOUNCED:
            self.site.broken("UNASKED", f"{self.machine} got a packet that is not for endpoints")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        self.site.on_endpoint_packet(self, key, packet, flow)
        if packet.flags & SYN:
            if flow is None or flow.is_ended:
                if len(self.flows) >= 2000:
                    self.bounce(packet)
                    return
                flow = self.flows[key] = EndpointFlow(self.site.rng.getrandbits(32))
                flow.expected = packet.seq + 1
                self.site.on_syn(self, key, flow)
            if not flow.is_open:
                self.reply(packet, SYN | ACK, flow.seq, flow.expected)
            return
        if flow is None:
            self.bounce(packet)
            return
        self.on_flow_packet(key, flow, packet)

    def on_flow_packet(self, key, flow, packet):
        if flow.is_ended:
            if packet.flags & FIN:
                self.reply(packet, ACK, flow.next, packet.seq + len(packet.data) + 1)
            elif packet.data:
                self.reply(packet, RST, flow.next, 0)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow.is_open:
            if packet.ack != (flow.seq + 1) & 0xffffffff:
                del self.flows[key]
                self.bounce(packet)
                return
            flow.is_open = True
            flow.opened_at = time.time()
            self.site.on_open(self, key, flow)
        if flow.unacked and (packet.ack - flow.unacked[0]) & 0xffffffff < 0x80000000:
            flow.unacked = None
            if flow.sent_fin and packet.flags & FIN:
                pass
        if packet.data:
            if packet.seq == flow.expected & 0xffffffff:
                flow.expected = (flow.expected + len(packet.data)) & 0xffffffff
                self.begin_request(key, flow, packet)
            self.reply(packet, ACK, flow.next, flow.expected)
        if packet.flags & FIN:
            flow.expected = (packet.seq + len(packet.data) + 1) & 0xffffffff
            self.reply(packet, ACK | (0 if flow.sent_fin else FIN), flow.next, flow.expected)
            flow.is_ended = True
            flow.unacked = None
            asyncio.get_running_loop().call_later(30, self.flows.pop, key, None)

    def begin_request(self, key, flow, packet):
        flow.requests += 1
        attempt = re.search(rb"X-Attempt-Id: (\S+)", packet.data)
        name = attempt.group(1).decode() if attempt else "?"
        self.site.on_run(self, key, flow, name, packet)
        asyncio.get_running_loop().call_later(self.work_s, self.answer, key, flow, packet, name)

    def answer(self, key, flow, packet, name):
        if not self.is_up or self.flows.get(key) is not flow:
            return
        closes = self.state == "draining"
        body = f"{name} {self.id} {self.service}".encode()
        data = (b"HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s"
                % (hashlib.blake2b(body, key=SUM_KEY, digest_size=8).hexdigest().encode(),
                   b"Connection: close\r\n" if closes else b"", len(body), body))
        flags = ACK | (FIN if closes else 0)
        sent = self.reply(packet, flags, flow.next, flow.expected, data)
        flow.next = (flow.next + len(data) + (1 if closes else 0)) & 0xffffffff
        flow.sent_fin = flow.sent_fin or closes
        flow.unacked = (flow.next, sent, 0, time.time() + RETRY_S)

    async def retry_loop(self):
        while self.is_up:
            await asyncio.sleep(0.05)
            now = time.time()
            for key, flow in list(self.flows.items()):
                if flow.unacked and now >= flow.unacked[3]:
                    end, packet, n, _ = flow.unacked
                    if n >= ENDPOINT_RETRIES:
                        self.site.note("endpoint.gave-up", machine=self.machine, flow=flow_name(key))
                        flow.unacked = None
                        self.flows.pop(key, None)
                        continue
                    self.send(packet)
                    flow.unacked = (end, packet, n + 1, now + min(RETRY_S * 2 ** (n + 1), RETRY_MAX_S))

    def holds(self, key):
        flow = self.flows.get(key)
        return self.is_up and flow is not None and flow.is_open and not flow.is_ended and not flow.sent_fin


def flow_name(key):
    return f"{ip_text(key[0])}:{key[1]}"


# --- clients --------------------------------------------------------------------------------------


class ClientFlow:
    """One flow of a client, which carries requests one after the other."""

    def __init__(self, client, route):
        self.client, self.site = client, client.site
        self.sport = client.next_port()
        self.route = route
        self.key = (client.number, self.sport, ip_number(route[0]), route[1])
        self.seq = self.site.rng.getrandbits(32)
        self.peer_next = 0
        self.last_ack = 0
        self.is_open = False
        self.end = None          # why it ended
        self.inbox = asyncio.Queue()
        self.opened_at = 0.0

    def packet(self, flags, data=b""):
        return Packet(flags, self.seq, self.peer_next, self.key[0], self.key[1], self.key[2], self.key[3], data)

    def send(self, packet):
        self.site.route_packet(self.client.zone, self.key, packet)

    async def open(self):
        """Returns whether the flow opened."""
        self.client.flows[self.sport] = self
        began = time.monotonic()
        for n, due in enumerate((0.0,) + SYN_COPIES_S + (SYN_GIVE_UP_S,)):
            left = due - (time.monotonic() - began)
            while left > 0:
                try:
                    got = await asyncio.wait_for(self.inbox.get(), left)
                except asyncio.TimeoutError:
                    break
                if got.flags & RST:
                    self.finish("reset before it opened")
                    return False
                if got.flags & SYN:
                    self.peer_next = (got.seq + 1) & 0xffffffff
                    self.last_ack = self.peer_next
                    self.seq = (self.seq + 1) & 0xffffffff
                    self.is_open = True
                    self.opened_at = time.time()
                    return True
                left = due - (time.monotonic() - began)
            if n < 3:
                packet = self.packet(SYN)
                packet.ack = n
                packet.sum = packet.keyed_sum()
                self.send(packet)
        self.finish("no answer to the first packet")
        return False

    async def request(self, limit_s=2.0, method="POST"):
        """Sends one request; returns ("ok", body) or ("reset" | "timeout" | "closed", why)."""
        name = self.site.new_attempt(self)
        data = f"{method} /{self.route[1]} HTTP/1.1\r\nX-Attempt-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode()
        packet = self.packet(ACK, data)
        self.seq = (self.seq + len(data)) & 0xffffffff
        deadline = time.monotonic() + limit_s
        pause = RETRY_S
        due = 0.0
        is_acked = False
        while time.monotonic() < deadline:
            if not is_acked and time.monotonic() >= due:
                self.send(packet)
                due = time.monotonic() + pause
                pause = min(pause * 2, RETRY_MAX_S)
            wait = deadline - time.monotonic() if is_acked else min(deadline, due) - time.monotonic()
            try:
                got = await asyncio.wait_for(self.inbox.get(), max(wait, 0.001))
            except asyncio.TimeoutError:
                continue
            if got.flags & RST:
                self.finish("reset")
                return "reset", name
            if got.flags & SYN:
                continue
            is_acked = is_acked or (got.ack - self.seq) & 0xffffffff < 0x80000000
            if not got.data:
                continue
            if got.seq != self.peer_next:  # a copy
                self.send(self.packet(ACK))
                continue
            self.peer_next = (self.peer_next + len(got.data) + (1 if got.flags & FIN else 0)) & 0xffffffff
            self.last_ack = self.peer_next
            self.send(self.packet(ACK))
            body = got.data.partition(b"\r\n\r\n")[2]
            if not body.startswith(name.encode() + b" "):
                self.site.broken("MIXED", f"{name} got the answer {body!r}")
            self.site.answered(name)
            if got.flags & FIN:
                self.send(self.packet(FIN | ACK))
                self.finish("closed by the endpoint")
            return "ok", body.decode()
        self.finish("time limit")
        return "timeout", name

    def close(self):
        if self.end is None and self.is_open:
            self.send(self.packet(FIN | ACK))
        self.finish("closed")

    def finish(self, why):
        if self.end is None:
            self.end = why
        asyncio.get_running_loop().call_later(5, self.client.flows.pop, self.sport, None)


class Client:
    def __init__(self, site, zone, ip):
        self.site, self.zone, self.ip, self.number = site, zone, ip, ip_number(ip)
        self.flows = {}
        self.port = site.rng.randint(20000, 30000)
        self.socket = None

    async def start(self):
        self.socket = await open_datagrams(self.ip, PORT_FLOW, self.on_datagram)
        return self

    def next_port(self):
        self.port = 20000 + (self.port - 19999) % 40000
        return self.port

    def on_datagram(self, raw, _addr):
        packet = parse(raw)
        if packet is None or packet.dst != self.number:
            self.site.broken("MIXED", f"client {self.ip} got bytes that are no packet for it")
            return
        flow = self.flows.get(packet.dport)
        is_own_reset = bool(packet.flags & RST) and packet.sum == 0
        if not is_own_reset and not packet.is_whole():
            self.site.broken("MIXED", f"client {self.ip} got a packet that its sender didn't write so")
            return
        if flow is None or (flow.key[2], flow.key[3]) != (packet.src, packet.sport):
            return
        if is_own_reset and flow.is_open and flow.end is None:
            if (packet.seq - flow.last_ack + 76800) & 0xffffffff > 153600:
                return
            self.site.on_reset(flow)
        if flow.end is not None:
            if packet.flags & FIN:
                flow.send(flow.packet(ACK))
            return
        flow.inbox.put_nowait(packet)


# --- running a case -------------------------------------------------------------------------------

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110


def run(case):
    """Runs the coroutine function of a case and exits with its result; NOT_RUN if it could not run."""
    async def bounded():
        task = asyncio.ensure_future(case())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, LONGEST_S)

    programs = [run_command(role)[0][0] for role in ("balancer", "agent", "control")]
    missing = [name for name in programs if not os.path.exists(os.path.join(ROOT, name))]
    if missing:
        print("not built:", *missing)
        raise SystemExit(NOT_RUN)
    try:
        result = asyncio.run(bounded())
    except (asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print("the case could not run:", repr(error))
        result = NOT_RUN
    raise SystemExit(result)


# --- the site -------------------------------------------------------------------------------------


class Site:
    def __init__(self, folder, seed, sides=(("alpha", 2), ("alpha", 2), ("alpha", 2)), cores=3,
                 thin=(1, 1, 1)):
        self.rng = random.Random(seed)
        self.temporary = tempfile.mkdtemp(prefix="lychee-review.")
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.time()
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.block = self.find_block()
        self.address, self.machines = {}, {}
        self.edges, self.sides = [], {}
        for z, zone in enumerate(self.zones):
            for k in range(1 + thin[z]):
                name = f"edge-{zone}-{k + 1}"
                self.address[name] = f"{self.block}.{z + 1}.{10 + k}"
                self.edges.append(name)
            for k in range(sides[z][1]):
                name = f"side-{zone}-{k + 1}"
                self.address[name] = f"{self.block}.{z + 1}.{30 + k}"
                self.sides[name] = sides[z][0]
        self.core = [f"edge-{zone}-1" for zone in self.zones][:cores]
        self.processes, self.breaks = {}, []
        self.ready = {name: 2 for name in self.edges}
        self.first_start = True
        self.attempts, self.runs, self.done = {}, {}, set()
        self.endpoints = {}
        self.tasks = []
        self.sender = None
        self.on_syn_hooks, self.on_open_hooks, self.on_run_hooks, self.on_reset_hooks = [], [], [], []

    @staticmethod
    def find_block():
        while True:
            block = f"127.{random.SystemRandom().randint(40, 250)}"
            try:
                for host in ("1.10", "1.30", "200.1"):
                    for port in (PORT_FLOW, PORT_CONTROL, PORTS_INTERNAL[0]):
                        with socket.socket() as probe:
                            probe.bind((f"{block}.{host}", port))
                return block
            except OSError:
                continue

    def zone_of(self, machine):
        return next(zone for zone in self.zones if f"-{zone}-" in machine)

    def note(self, event, **more):
        at = time.time() - self.began
        self.record.write(f"{at:9.3f} {event} " + " ".join(f"{k}={v}" for k, v in more.items()) + "\n")
        self.record.flush()

    def broken(self, rule, what):
        self.breaks.append((rule, what))
        self.note("BROKEN", rule=rule, what=what)

    # processes

    def settings(self, role, machine):
        serves = {"balancer": ["edge"], "control": ["control_plane"], "agent": ["side"]}[role]
        ip = self.address[machine]
        is_side = role == "agent"
        bind = {"datagramAddress": f"{ip}:{PORT_FLOW}", "readiness": f"{ip}:{PORT_READY}",
                "control": f"{ip}:{PORT_CONTROL}"}
        data = None
        if role == "control" and machine in self.core:
            data = os.path.join(self.temporary, "data", machine)
            os.makedirs(data, exist_ok=True)
        values = {
            "nodeName": machine, "role": role, "machineClass": "side" if is_side else "edge", "serves": serves,
            "ip": ip, "zone": self.zone_of(machine), "region": "south",
            "zones": {zone: "south" for zone in self.zones}, "bindAddresses": bind,
            "internalPortRange": list(PORTS_INTERNAL),
            "seedNodes": [f"{self.address[name]}:{PORT_CONTROL}" for name in self.core],
            "firstStart": self.first_start, "inFailureBudget": machine in self.core,
            "limits": {"cpuFraction": 0.45, "cpuSpeedFactor": 1, "memoryMb": 260, "maxFds": 4100,
                       "bandwidthMbps": 1000.0, "diskMb": 64 if data else 0},
            "dataDir": data, "discovery": "local", "entry": "announce", "heartbeatIntervalMs": HEARTBEAT_MS,
            "policies": ["base", "drain", "config", "cost", "recover", "flows"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "config_mode": "highest", "ecmpHash": "steady", "forwardingMode": "agent"}
        if is_side:
            bind["outbound"] = f"{ip}:{PORT_OUTBOUND}"
            values["app"] = f"{ip}:{PORT_APP}"
            values["backend"] = self.sides[machine]
        return values

    def rewrite(self, role, machine):
        """Writes the settings file of a process, as the platform does at each start and change."""
        with open(os.path.join(ROOT, run_command(role)[1]), encoding="utf-8") as text:
            settings = render(text.read(), [self.settings(role, machine)])
        path = os.path.join(self.temporary, f"{machine}-{role}.json")
        with open(path, "w", encoding="utf-8") as out:
            out.write(settings)
        return path

    def start(self, role, machine):
        command, _ = run_command(role)
        path = self.rewrite(role, machine)
        command = [path if "/etc/" in word else word for word in command]
        with open(os.path.join(self.temporary, f"{machine}-{role}.log"), "ab") as log:
            self.processes[role, machine] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, start_new_session=True,
                env={"PATH": os.environ["PATH"], "LYCHEECOVE_NODE_FILE": path})

    def signal(self, role, machine, number):
        self.note("signal", role=role, machine=machine, number=int(number))
        self.processes[role, machine].send_signal(number)

    async def kill(self, role, machine):
        self.signal(role, machine, signal.SIGKILL)
        while self.processes[role, machine].poll() is None:
            await asyncio.sleep(0.01)

    def watch_exits(self):
        for (role, machine), process in self.processes.items():
            code = process.poll()
            if code is not None and code != -signal.SIGKILL and not getattr(process, "expected", False):
                process.expected = True
                self.note("process.exit", role=role, machine=machine, code=code)

    async def begin(self, n_clients=3):
        self.sender = await open_datagrams(f"{self.block}.199.1", 0, lambda *_: None)
        for machine in self.edges:
            self.start("control", machine)
            self.start("balancer", machine)
        for machine in self.sides:
            self.start("agent", machine)
        self.first_start = False
        self.clients = [await Client(self, self.zones[i % 3], f"{self.block}.200.{i + 1}").start()
                        for i in range(n_clients)]
        self.tasks.append(asyncio.ensure_future(self.poll_ready()))
        for machine, service in self.sides.items():
            self.endpoints[machine] = await Endpoint(self, machine, service).start()

    async def poll_ready(self):
        while True:
            answers = await asyncio.gather(*(http("GET", self.address[name], PORT_READY, "/readyz", timeout=0.45)
                                             for name in self.edges))
            for name, answer in zip(self.edges, answers):
                if answer is not None and answer[0] == 200:
                    self.ready[name] = 0
                else:
                    self.ready[name] += 1
            self.watch_exits()
            await asyncio.sleep(0.5)

    def end(self):
        for task in self.tasks:
            task.cancel()
        for endpoint in self.endpoints.values():
            if endpoint.is_up:
                endpoint.crash("end of the run")
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("settings and logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    # routers

    def route_packet(self, zone, key, packet):
        nodes = [name for name in self.edges if self.zone_of(name) == zone]
        usable = [name for name in nodes if self.ready[name] < 2]
        if len(usable) * 2 < len(nodes):
            usable = nodes
        if not any(self.ready[name] < 2 for name in nodes):
            usable = [name for name in self.edges if self.ready[name] < 2] or nodes
        best = max(usable, key=lambda name: hashlib.blake2b(repr((key, name)).encode(), digest_size=8).digest())
        self.sender.transport.sendto(packet.pack(), (self.address[best], PORT_FLOW))

    # the operator

    async def call_control(self, method, path, body=None, node=None, timeout=1.0):
        node = node or self.rng.choice(self.edges)
        ip, port = self.address[node], PORT_CONTROL
        for _ in range(3):
            answer = await http(method, ip, port, path, body, timeout)
            if answer is None or answer[0] != 307:
                return answer
            match = re.match(r"http://([0-9.]+):(\d+)(/.*)", answer[1].get("location", ""))
            ip, port, path = match.group(1), int(match.group(2)), match.group(3)
        return None

    async def put(self, manifest, node=None):
        answer = await self.call_control("PUT", "/config", manifest, node, timeout=1.0)
        status = answer[0] if answer else None
        version = manifest.get("version") if isinstance(manifest, dict) else "?"
        self.note("config.put", version=version, status=status)
        return status

    async def declare(self, manifest, limit_s=30):
        """Sends a manifest until it is acknowledged; returns whether it was."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.put(manifest) == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def manifest(self, version, routes, idle_ms=15000, more=()):
        """`routes`: (port, service) pairs; every route is at the first address."""
        host = f"{self.block}.240.1"
        return {"version": version, "routes": [
            {"name": f"r-{port}", "host": host, "pathPrefix": f"/{port}/", "type": "non_idempotent", "timeoutMs": 2000,
             "targetLatencyMs": 200, "priority": 1, "backend": service, "maxAttempts": 2} for port, service in routes],
            "backends": [{"name": name, "healthCheckPath": "/healthz", "maxConnections": 2000, "protocol": "h1",
                          "tls": False} for name in sorted({service for _, service in routes} | set(more))],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms}}

    def route(self, port):
        return f"{self.block}.240.1", port

    # what clients and endpoints saw

    def new_attempt(self, flow):
        name = f"a-{len(self.attempts) + 1}"
        self.attempts[name] = time.time()
        self.note("sent", attempt=name, flow=flow_name(flow.key))
        return name

    def answered(self, name):
        self.done.add(name)
        self.note("answered", attempt=name)

    def on_endpoint_packet(self, endpoint, key, packet, flow):
        pass

    def on_syn(self, endpoint, key, flow):
        for hook in self.on_syn_hooks:
            hook(endpoint, key, flow)

    def on_open(self, endpoint, key, flow):
        self.note("open", machine=endpoint.machine, id=endpoint.id, flow=flow_name(key))
        for hook in self.on_open_hooks:
            hook(endpoint, key, flow)

    def on_run(self, endpoint, key, flow, name, packet):
        self.note("run", attempt=name, machine=endpoint.machine, id=endpoint.id)
        self.runs.setdefault(name, []).append((endpoint, time.time()))
        if name not in self.attempts:
            self.broken("UNASKED", f"{endpoint.machine} ran {name}, which no client sent")
        if len(self.runs[name]) > 1:
            self.broken("twice", f"{name} ran {len(self.runs[name])} times")
        for hook in self.on_run_hooks:
            hook(endpoint, key, flow, name)

    def on_reset(self, flow):
        holder = next((e for e in self.endpoints.values() if e.holds(flow.key)), None)
        self.note("reset", flow=flow_name(flow.key), holder=holder.machine if holder else None)
        for hook in self.on_reset_hooks:
            hook(flow, holder)
