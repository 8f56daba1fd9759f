"""Stand-ins of a small installation: clients, endpoints, an operator, and the project's own processes.

Everything runs on loopback addresses of one random /16 of 127/8.  The stand-ins speak what the users' pages
say: packets with a head of 34 bytes, status reports by HTTP, manifests by PUT /config.  The project's programs
are started with the commands of deploy/system.toml and with settings rendered from its templates.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import zlib

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")

# Ports of a day: the same on all machines.
DATAGRAM_PORT, READINESS_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT = 8172, 8167, 8166, 8162, 8165
INTERNAL_PORTS = [7720, 7735]

HEARTBEAT_S = 1.2
CLIENT_COPIES_S = (0.2, 0.6)  # copies of a SYN after the first one
CLIENT_GIVES_UP_S = 1.4
RESEND_FIRST_S, RESEND_MAX_S = 0.2, 1.6

SYN, ACK, FIN, RST, BOUNCED = 128, 1, 8, 16, 4
HEAD = struct.Struct(">B3sHIIIIIHHI")  # flags pad len seq ack echo dst src sport dport sum
SUM_KEY = b"known to the two ends only"


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """One packet of a flow."""

    def __init__(self, flags, src, sport, dst, dport, seq, ack, data=b"", echo=0, checksum=None):
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq & 0xffffffff, ack & 0xffffffff, data, echo
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.sum = self.right_sum() if checksum is None else checksum

    def right_sum(self):
        fields = struct.pack(">BHIIIIHH", self.flags & ~BOUNCED, len(self.data), self.seq, self.ack,
                             ip_number(self.dst), ip_number(self.src), self.sport, self.dport)
        return zlib.crc32(SUM_KEY + fields + self.data)

    def is_intact(self):
        return self.sum == self.right_sum()

    def pack(self):
        return HEAD.pack(self.flags, b"\0\0\0", len(self.data), self.seq, self.ack, self.echo, ip_number(self.dst),
                         ip_number(self.src), self.sport, self.dport, self.sum) + self.data

    @staticmethod
    def unpack(raw):
        flags, _, length, seq, ack, echo, dst, src, sport, dport, checksum = HEAD.unpack_from(raw)
        assert len(raw) == HEAD.size + length, "a packet of a wrong length"
        return Packet(flags, ip_text(src), sport, ip_text(dst), dport, seq, ack, raw[HEAD.size:], echo, checksum)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.on_datagram = on_datagram

    def datagram_received(self, data, addr):
        self.on_datagram(data, addr)


async def bind_udp(address, port, on_datagram):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(on_datagram), local_addr=(address, port))
    return transport


# === record =====================================================================================

class Record:
    """Writes what was sent, answered and run; times are seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():9.3f}  {text}", flush=True)


# === HTTP =======================================================================================

def http_request(method, path, host, body):
    data = json.dumps(body).encode() if body is not None else b""
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
    if data:
        head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
    return head.encode() + b"\r\n" + data


async def http_call(method, address, path, body=None, source=None, timeout=1.0):
    """Returns status and body; (0, b"") without a clear response."""
    host, port = address.split(":")
    local = (source, 0) if source else None
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
            writer.write(http_request(method, path, address, body))
            await writer.drain()
            answer = await reader.read()
        head, _, rest = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), rest
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# === the project's processes ====================================================================

def look_up(fields, path):
    if path == ".":
        return fields["."]
    value = fields
    for step in path.split("."):
        if isinstance(value, list):
            value = value[int(step)] if int(step) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(step)
        else:
            return None
    return value


SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
FIELD = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render_section(match, fields):
    kind, path, inner = match.groups()
    value = look_up(fields, path)
    if kind == "^":
        return "" if value else render(inner, fields)
    if not value:
        return ""
    entries = list(value.values()) if isinstance(value, dict) else value if isinstance(value, list) else [None]
    parts = []
    for i, entry in enumerate(entries):
        text = inner.replace("{{,}}", "," if i + 1 < len(entries) else "")
        parts.append(render(text, fields | {".": entry}))
    return "".join(parts)


def render_field(match, fields):
    value = look_up(fields, match.group(1))
    if match.group(2):
        return json.dumps(value)
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value)


def render(template, fields):
    """Fills in a template of deploy/ as DEPLOY.md says."""
    return FIELD.sub(lambda m: render_field(m, fields), SECTION.sub(lambda m: render_section(m, fields), template))


class Machine:
    """One machine: an address, and the settings that the infrastructure gives to its processes."""

    def __init__(self, site, name, zone, address, machine_class, **more):
        self.site, self.name, self.zone, self.address = site, name, zone, address
        self.fields = {
            "nodeName": name, "machineClass": machine_class, "ip": address, "zone": zone, "region": "southeast",
            "zones": {one: "southeast" for one in site.zones},
            "bindAddresses": {"datagramAddress": f"{address}:{DATAGRAM_PORT}", "outbound": f"{address}:{OUTBOUND_PORT}",
                              "readiness": f"{address}:{READINESS_PORT}", "control": f"{address}:{CONTROL_PORT}"},
            "internalPortRange": INTERNAL_PORTS, "seedNodes": site.seeds, "firstStart": True,
            "limits": {"bandwidthMbps": 1000.0}, "heartbeatIntervalMs": int(HEARTBEAT_S * 1000),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "dataDir": None,
        } | more


class Site:
    """The processes of the system, each as deploy/system.toml says."""

    def __init__(self, record, zones=("hall-atl", "hall-bhm", "hall-jax"), edges_per_zone=1):
        self.record, self.zones = record, zones
        self.folder = tempfile.mkdtemp(prefix="lychee-review.")
        self.block = self.free_block()
        self.processes = {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as text:
            self.roles = tomllib.load(text)["roles"]
        self.seeds = [f"{self.block}.{i + 1}.10:{CONTROL_PORT}" for i in range(len(zones))]
        self.edges, self.sides = [], {}
        for i, zone in enumerate(zones):
            for k in range(edges_per_zone):
                self.edges.append(Machine(self, f"edge-{zone}-{k + 1}", zone, f"{self.block}.{i + 1}.{10 + k}", "edge"))

    @staticmethod
    def free_block():
        for _ in range(100):
            block = f"127.{random.randint(40, 250)}"
            try:
                for port in (DATAGRAM_PORT, READINESS_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT, *INTERNAL_PORTS):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.1.10", port))
                return block
            except OSError:
                continue
        raise OSError("no free addresses")

    def side_address(self, zone, number):
        return f"{self.block}.{self.zones.index(zone) + 1}.{30 + number}"

    def add_side(self, zone, number, service):
        """A side machine with its agent; returns it."""
        address = self.side_address(zone, number)
        name = f"side-{zone}-{number + 1}"
        self.sides[name] = Machine(self, name, zone, address, "side", backend=service, app=f"{address}:{APP_PORT}")
        return self.sides[name]

    def start(self, machine, role, first=False):
        """Starts a role's process on a machine."""
        key = f"{machine.name}/{role}"
        fields = dict(machine.fields, firstStart=first)
        if role == "control":
            fields["dataDir"] = os.path.join(self.folder, f"data-{machine.name}")
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as text:
            settings = render(text.read(), fields)
        path = os.path.join(self.folder, key.replace("/", "-") + ".json")
        with open(path, "w", encoding="utf-8") as out:
            out.write(settings)
        words = self.roles[role]["run"].split()
        words = [path if word.startswith("/etc/") else word for word in words]
        with open(os.path.join(self.folder, key.replace("/", "-") + ".log"), "ab") as log:
            self.processes[key] = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                   start_new_session=True, env={"PATH": os.environ["PATH"]})
        self.record.write(f"process started: {key}")

    def start_all(self):
        for machine in self.edges:
            self.start(machine, "control", first=True)
            self.start(machine, "balancer", first=True)
        for machine in self.sides.values():
            self.start(machine, "agent", first=True)

    def send_signal(self, key, number):
        self.record.write(f"signal {signal.Signals(number).name} to {key}")
        self.processes[key].send_signal(number)

    async def wait_exit(self, key, limit_s=10):
        deadline = time.monotonic() + limit_s
        while self.processes[key].poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.005)
        return self.processes[key].poll()

    def ended_by_themselves(self, expected=()):
        return [key for key, process in self.processes.items() if process.poll() is not None and key not in expected]

    def end(self, keep):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if keep:
            print(f"settings and logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- the operator ---------------------------------------------------------------------------

    async def put_config(self, manifest, limit_s=20):
        """Sends a manifest until it is acknowledged; returns whether it was."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            edge = random.choice(self.edges)
            status, _ = await http_call("PUT", f"{edge.address}:{CONTROL_PORT}", "/config", manifest, timeout=1.0)
            self.record.write(f"PUT /config version {manifest['version']} at {edge.name}: {status or 'no response'}")
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_ready(self, limit_s=20):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            answers = [await http_call("GET", f"{edge.address}:{READINESS_PORT}", "/readyz") for edge in self.edges]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.1)
        return False


def manifest(version, services, routes, **limits):
    """`routes`: (name, host, port, service, type, time limit in ms)."""
    return {"version": version,
            "routes": [{"name": name, "host": host, "pathPrefix": f"/{port}/", "type": kind, "timeoutMs": limit_ms,
                        "targetLatencyMs": 200, "priority": 1, "backend": service, "maxAttempts": 2}
                       for name, host, port, service, kind, limit_ms in routes],
            "backends": [{"name": name, "healthCheckPath": "/healthz", "maxConnections": 2000, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000} | limits}


# === what a flow carries ========================================================================

def request_text(attempt, host):
    return (f"POST /work HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n"
            "Content-Length: 0\r\n\r\n").encode()


def attempt_of(request):
    return re.search(rb"X-Attempt-Id: (\S+)", request).group(1).decode()


def answer_text(body):
    signature = f"{zlib.crc32(body.encode()):08x}"
    return (f"HTTP/1.1 200 OK\r\nX-Response-Signature: {signature}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


# === endpoints ==================================================================================

class ServerFlow:
    """A flow as its endpoint holds it."""

    def __init__(self, packet, iss):
        self.key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.iss, self.next_seq = iss, iss + 1
        self.received = packet.seq + 1
        self.is_open = False
        self.is_closed = False
        self.answers = {}  # end of a request -> seq and bytes of its answer; None: at work


class Endpoint:
    """One incarnation of an endpoint beside an agent.

    A request is one packet, and so is its answer, whose body is "done ATTEMPT by ENDPOINT".
    """

    def __init__(self, site, machine, name, service, work_s=0.039, concurrency=4):
        self.site, self.machine, self.id, self.service = site, machine, name, service
        self.record, self.work_s, self.concurrency = site.record, work_s, concurrency
        self.slots = asyncio.Semaphore(concurrency)
        self.flows, self.runs, self.taken = {}, [], []
        self.sequence, self.state, self.transport, self.health, self.beat = 0, "ready", None, None, None
        self.acked = {}  # state -> time of its first acknowledgement
        self.returned = 0
        self.tasks = set()

    async def start(self):
        self.transport = await bind_udp(self.machine.address, APP_PORT, self.on_datagram)
        self.health = await asyncio.start_server(self.on_health_check, self.machine.address, APP_PORT)
        self.record.write(f"endpoint {self.id} of {self.service} starts on {self.machine.name}")

    def crash(self):
        """Ends at once: its flows are discarded."""
        self.record.write(f"endpoint {self.id} ends")
        if self.beat is not None:
            self.beat.cancel()
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.health.close()
        self.flows = {}

    async def on_health_check(self, reader, writer):
        await reader.read(65536)
        status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
        writer.write(f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    # --- status reports -------------------------------------------------------------------------

    def report_body(self):
        self.sequence += 1
        return {"backend": self.service, "address": f"{self.machine.address}:{APP_PORT}", "zone": self.machine.zone,
                "version": "v1", "concurrency": self.concurrency, "state": self.state, "warmupLeftMs": 0,
                "sequence": self.sequence}

    def control(self):
        return f"{self.machine.address}:{CONTROL_PORT}"

    async def report(self):
        body = self.report_body()
        status, _ = await http_call("PUT", self.control(), f"/instances/{self.id}", body, self.machine.address)
        self.record.write(f"report of {self.id}: {body['state']}, sequence {body['sequence']}: "
                          f"{status or 'no response'}")
        if status // 100 == 2:
            self.acked.setdefault(body["state"], self.record.now())
        return status

    async def report_forever(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def begin_reports(self):
        self.beat = asyncio.create_task(self.report_forever())

    async def drain(self):
        """Reports `draining` until it is acknowledged; the later reports go on."""
        self.beat.cancel()
        self.state = "draining"
        while "draining" not in self.acked:
            if await self.report() // 100 != 2:
                await asyncio.sleep(0.2)
        self.begin_reports_later()

    def begin_reports_later(self):
        async def later():
            await asyncio.sleep(HEARTBEAT_S)
            await self.report_forever()
        self.beat = asyncio.create_task(later())

    async def leave(self):
        """Sends DELETE and exits."""
        self.beat.cancel()
        status, _ = await http_call("DELETE", self.control(), f"/instances/{self.id}", None, self.machine.address)
        self.record.write(f"DELETE of {self.id}: {status or 'no response'}")
        self.crash()

    # --- packets --------------------------------------------------------------------------------

    def send(self, raw):
        self.transport.sendto(raw, (self.machine.address, OUTBOUND_PORT))

    def reply(self, flow, flags, seq, data=b""):
        src, sport, dst, dport = flow.key
        self.send(Packet(flags, dst, dport, src, sport, seq, flow.received, data).pack())

    def bounce(self, raw):
        """Returns a packet as it came, with BOUNCED set and pad 0."""
        self.returned += 1
        self.send(bytes([raw[0] | BOUNCED]) + b"\0\0\0" + raw[4:])

    def on_datagram(self, raw, _addr):
        packet = Packet.unpack(raw)
        if not packet.is_intact():
            self.record.say(f"endpoint {self.id} got a packet that its sender did not write so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.on_syn(packet, flow)
        elif flow is None or (not flow.is_open and packet.ack != (flow.iss + 1) & 0xffffffff):
            self.bounce(raw)
        elif flow.is_closed:
            if packet.flags & FIN:
                self.reply(flow, ACK, flow.next_seq)
        else:
            self.on_packet(packet, flow)

    def on_syn(self, packet, flow):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if flow is None:
            flow = self.flows[key] = ServerFlow(packet, random.getrandbits(31))
            self.taken.append((self.record.now(), key))
        if not flow.is_open:
            self.reply(flow, SYN | ACK, flow.iss)

    def on_packet(self, packet, flow):
        flow.is_open = True
        if packet.flags & FIN:
            flow.received = packet.seq + len(packet.data) + 1
            flow.is_closed = True
            self.reply(flow, ACK | FIN, flow.next_seq)
            return
        if not packet.data:
            return
        end = packet.seq + len(packet.data)
        if end in flow.answers:
            if flow.answers[end] is not None:
                self.reply(flow, ACK, *flow.answers[end])
            else:
                self.reply(flow, ACK, flow.next_seq)
            return
        if packet.seq != flow.received:
            return
        flow.received = end
        flow.answers[end] = None
        self.reply(flow, ACK, flow.next_seq)
        task = asyncio.create_task(self.work(flow, end, attempt_of(packet.data)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def work(self, flow, end, attempt):
        async with self.slots:
            self.runs.append((self.record.now(), attempt, flow.key))
            self.record.write(f"endpoint {self.id} runs {attempt}")
            await asyncio.sleep(self.work_s)
        data = answer_text(f"done {attempt} by {self.id}")
        flow.answers[end] = (flow.next_seq, data)
        flow.next_seq += len(data)
        self.reply(flow, ACK, *flow.answers[end])
        if self.state == "draining":  # closes each flow after its next response
            self.reply(flow, FIN | ACK, flow.next_seq)


# === clients ====================================================================================

class ClientFlow:
    """A flow as its client sees it: opened by a SYN, then requests one after the other."""

    def __init__(self, client, target, sport, edge):
        self.client, self.target, self.sport, self.edge = client, target, sport, edge
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.opened = asyncio.Event()
        self.answered = asyncio.Event()
        self.answer = None
        self.reset_at = None  # time of a reset that no endpoint sent
        self.sent_at = None

    def send(self, flags, data=b"", ack=None):
        dst, dport = self.target
        packet = Packet(flags, self.client.address, self.sport, dst, dport, self.seq, self.ack if ack is None else ack,
                        data)
        self.client.send(packet.pack(), self.edge)

    async def open(self):
        """Sends a SYN and its copies; returns whether a SYN+ACK came."""
        self.sent_at = self.client.record.now()
        for copy, wait_s in enumerate((CLIENT_COPIES_S[0], CLIENT_COPIES_S[1] - CLIENT_COPIES_S[0],
                                       CLIENT_GIVES_UP_S - CLIENT_COPIES_S[1])):
            self.send(SYN, ack=copy)
            try:
                await asyncio.wait_for(self.opened.wait(), wait_s)
                break
            except TimeoutError:
                continue
        if self.reset_at is not None or not self.opened.is_set():
            return False
        self.seq += 1
        self.send(ACK)
        return True

    async def request(self, attempt, limit_s):
        """Sends a request and resends it until the answer; returns the answer's body, or None."""
        data = request_text(attempt, self.target[0])
        self.answered.clear()
        self.answer = None
        deadline = time.monotonic() + limit_s
        pause_s = RESEND_FIRST_S
        while time.monotonic() < deadline and self.reset_at is None:
            self.send(ACK, data)
            try:
                await asyncio.wait_for(self.answered.wait(), min(pause_s, max(deadline - time.monotonic(), 0.001)))
                break
            except TimeoutError:
                pause_s = min(pause_s * 2, RESEND_MAX_S)
        if self.answer is None:
            return None
        self.seq += len(data)
        self.send(ACK)
        return self.answer

    def close(self):
        self.send(FIN | ACK)

    def on_packet(self, packet):
        if packet.flags & RST:
            is_near = (packet.seq - self.ack) & 0xffffffff < 76800 or (self.ack - packet.seq) & 0xffffffff < 76800
            if packet.sum == 0 and (is_near or not self.opened.is_set()):
                self.reset_at = self.client.record.now()
                self.opened.set()
                self.answered.set()
            return
        if not packet.is_intact():
            self.client.record.say(f"client {self.client.address} got a packet that its sender did not write so")
            return
        if packet.flags & SYN:
            if not self.opened.is_set():
                self.ack = packet.seq + 1
                self.opened.set()
            return
        if packet.data and packet.seq == self.ack:
            self.ack += len(packet.data)
            self.answer = packet.data.decode().partition("\r\n\r\n")[2]
            self.answered.set()


class Client:
    """One client address, behind routers that hand its packets to the entry machine of its choice."""

    def __init__(self, site, address):
        self.site, self.address, self.record = site, address, site.record
        self.flows, self.next_port, self.transport = {}, 1024, None

    async def start(self):
        self.transport = await bind_udp(self.address, DATAGRAM_PORT, self.on_datagram)

    def send(self, raw, edge):
        self.transport.sendto(raw, (edge.address, DATAGRAM_PORT))

    def new_flow(self, target, edge):
        self.next_port += 1
        flow = self.flows[self.next_port] = ClientFlow(self, target, self.next_port, edge)
        return flow

    def on_datagram(self, raw, _addr):
        packet = Packet.unpack(raw)
        flow = self.flows.get(packet.dport)
        if flow is not None and packet.src == flow.target[0] and packet.sport == flow.target[1]:
            flow.on_packet(packet)


# === a case =====================================================================================

async def run_with_site(play, record, limit_s):
    """Plays a case on a new site; 2 if it could not run.  Ends all processes in any case."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    site, result = None, 2
    try:
        site = Site(record)
        async with asyncio.timeout(limit_s):
            result = await play(site, record)
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, it is no verdict
        record.say(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        if site is not None:
            site.end(keep=result == 2)
    return result


def run(play, limit_s=110):
    """Runs `play (site, record)` and exits with its result: 1 if the rule was broken, 0 if it held, else 2."""
    sys.exit(asyncio.run(run_with_site(play, Record("record.txt"), limit_s)))
