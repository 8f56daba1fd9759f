"""Runs real balancers and agents of the request plane on loopback, with a view that the test writes.

The backend servers run in the test's process, so that a test can delay, cut or repeat answers and
count runs.  Waits poll a condition with a long timeout; no result depends on how long a step took.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

WAIT_S = 20.0


drawn = set()


# Below the ephemeral range (32768 on), whose ports an outgoing connection or unbound socket can
# take before the program binds them.
PORTS = range(10000, 32768)


def is_free(ip, port):
    """Whether the port can be bound for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as s:
            try:
                s.bind((ip, port))
            except OSError:
                return False
    return True


def free_port(ip):
    """Returns a port that is free and that this process has not returned before."""
    while True:
        port = random.choice(PORTS)
        if (ip, port) not in drawn and is_free(ip, port):
            drawn.add((ip, port))
            return port


def until(condition, what):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError("timed out after %g s waiting for %s" % (WAIT_S, what))


class Backend:
    """HTTP/1.1 backend server that counts runs by idempotency key.

    behave(backend, key, connection) may delay, cut or answer a request; it returns True if it has
    answered.
    """

    def __init__(self, ip):
        self.ip = ip
        self.runs = {}
        self.order = []
        self.closed_early = 0
        self.behave = None
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                part = connection.recv(65536)
                if not part:
                    return
                data += part
            head, body = data.split(b"\r\n\r\n", 1)
            fields = dict(re.findall(rb"(?m)^([^:\r\n]+): ([^\r\n]*)", head.lower()))
            while len(body) < int(fields.get(b"content-length", b"0")):
                body += connection.recv(65536)
            key = fields.get(b"idempotency-key", b"").decode()
            with self.lock:
                self.runs[key] = self.runs.get(key, 0) + 1
                self.order.append(key)
            if self.behave is None or not self.behave(self, key, connection):
                self.answer(connection, key, head.split(b" ")[1].decode(), body)
        except OSError:
            pass
        finally:
            connection.close()

    def answer(self, connection, key, path, body):
        text = json.dumps({"key": key, "path": path, "run": self.runs[key], "len": len(body),
                           "server": self.ip}).encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                           b"content-length: %d\r\n\r\n%s" % (len(text), text))

    def total(self):
        with self.lock:
            return sum(self.runs.values())

    def most(self):
        with self.lock:
            return max([n for key, n in self.runs.items() if key], default=0)

    def close(self):
        self.listener.close()


class Proxy:
    """TCP proxy between balancers and one agent; can cut connections after a number of bytes."""

    def __init__(self, ip, to):
        self.to = to
        self.cut_up = None    # bytes to forward to the agent before one cut of all; None: no cut
        self.cut_down = None  # the same to the balancer
        self.n_cuts = 0
        self.open = []
        self.listener = socket.socket()
        self.listener.bind((ip, 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.to)
            except OSError:
                return
            self.open += [near, far]
            for a, b, name in ((near, far, "cut_up"), (far, near, "cut_down")):
                threading.Thread(target=self._pump, args=(a, b, name), daemon=True).start()

    def _pump(self, a, b, name):
        try:
            while True:
                data = a.recv(65536)
                left = getattr(self, name)
                if left is not None and len(data) >= left:
                    setattr(self, name, None)
                    self.n_cuts += 1
                    b.sendall(data[:left])
                    self.cut()
                    return
                if left is not None:
                    setattr(self, name, left - len(data))
                if not data:
                    break
                b.sendall(data)
        except OSError:
            pass
        for s in (a, b):
            s.close()

    def cut(self):
        """Cuts all open connections."""
        for s in self.open:
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.open = []


class Process:
    def __init__(self, cluster, kind, name, ip, settings):
        self.cluster, self.kind, self.name, self.ip = cluster, kind, name, ip
        self.view = os.path.join(cluster.dir, name + ".view")
        self.announce = os.path.join(cluster.dir, name + ".announce")
        self.settings_path = os.path.join(cluster.dir, name + ".json")
        self.settings = settings
        self.popen = None
        self.n_starts = 0
        with open(self.settings_path, "w") as f:
            json.dump(settings, f)

    def start(self, lines):
        self.n_starts += 1
        self.view += "x"
        with open(self.view, "w") as f:
            f.writelines(lines)
        if os.path.exists(self.announce):
            os.unlink(self.announce)
        env = dict(os.environ, LC_FAKE_VIEW=self.view, LC_FAKE_ANNOUNCE=self.announce)
        with open(os.path.join(self.cluster.dir, self.name + ".log"), "ab") as log:
            self.popen = subprocess.Popen([self.cluster.program[self.kind], "--settings",
                                           self.settings_path], stdout=log, stderr=log,
                                          env=env)
        self.instance = until(self._instance, self.name + " to start")

    def _instance(self):
        if self.popen.poll() is not None:
            raise AssertionError("%s exited with code %d: %s"
                                 % (self.name, self.popen.returncode, self.read_log()))
        try:
            with open(self.announce) as f:
                text = f.read()
            return text.strip() if text.endswith("\n") else None
        except FileNotFoundError:
            return None

    def read_log(self):
        with open(os.path.join(self.cluster.dir, self.name + ".log"), errors="replace") as f:
            return f.read()[-2000:]

    def events(self, name):
        """Returns all log lines of one event."""
        with open(os.path.join(self.cluster.dir, self.name + ".log"), errors="replace") as f:
            lines = [json.loads(line) for line in f if line.startswith("{") and line.endswith("}\n")]
        return [line for line in lines if line["event"] == name]

    def append(self, lines):
        with open(self.view, "a") as f:
            f.write("".join(lines))

    def send_signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def stop(self):
        """Sends SIGTERM; returns the exit code."""
        self.popen.terminate()
        return self.popen.wait(WAIT_S)

    def is_ready(self):
        c = http.client.HTTPConnection(self.ip, self.settings["admin_port"], timeout=WAIT_S)
        c.request("GET", "/readyz")
        status = c.getresponse().status
        c.close()
        return status == 200

    def metric(self, name):
        c = http.client.HTTPConnection(self.ip, self.settings["admin_port"], timeout=WAIT_S)
        c.request("GET", "/metrics")
        text = c.getresponse().read().decode()
        c.close()
        found = re.search(r"(?m)^%s(?:\{[^}]*\})? (\d+)" % re.escape(name), text)
        return int(found.group(1)) if found else 0


class Cluster:
    """Balancers and agents of one service, `order-desk`, each with a backend server."""

    def __init__(self, net, programs, n_agents=3, n_balancers=2, timeout_ms=20000, slots=4,
                 drain_ms=15000, make_backend=Backend, has_proxies=False):
        self.dir = tempfile.mkdtemp(prefix="lychee-request-")
        self.program = programs
        self.revision = 0
        self.lines = []
        self.agents, self.balancers, self.backends = [], [], []
        self.slots = slots
        for i in range(n_agents):
            ip = "%s.1.%d" % (net, i + 1)
            backend = make_backend(ip)
            self.backends.append(backend)
            self.agents.append(Process(self, "agent", "order-%d" % (i + 1), ip, {
                "name": "order-%d" % (i + 1), "data_centre": "hall-atl", "service": "order-desk",
                "address": ip, "peer_port": free_port(ip), "flow_port": free_port(ip),
                "admin_port": free_port(ip), "balancers": ["%s.0.1:7000" % net],
                "backend": {"http": "%s:%d" % (ip, backend.port), "feed": "%s:9" % ip},
                "slots": slots, "drain_limit_ms": drain_ms}))
        for i in range(n_balancers):
            ip = "%s.0.%d" % (net, i + 1)
            self.balancers.append(Process(self, "balancer", "lb-%d" % (i + 1), ip, {
                "name": "lb-%d" % (i + 1), "data_centre": "hall-atl", "address": ip,
                "peer_port": free_port(ip), "flow_port": free_port(ip),
                "http_port": free_port(ip), "admin_port": free_port(ip),
                "control": ["%s.2.1:7000" % net], "drain_limit_ms": drain_ms}))
        self.proxies = [Proxy(a.ip, (a.ip, a.settings["peer_port"]))
                        for a in self.agents] if has_proxies else []
        self.note("dc 1 hall-atl")
        self.note("service 1 order-desk %d 0 0" % timeout_ms)
        self.note("route 1 1 /orders")
        for agent in self.agents:
            agent.start(self.lines)
        for i in range(n_agents):
            self.note(self.endpoint(i, 2))
        for balancer in self.balancers:
            balancer.start([self.seen_by(balancer, line) for line in self.lines])
        for agent in self.agents:
            agent.append(self.lines[3:])
        for p in self.agents + self.balancers:
            until(p.is_ready, p.name + " to have a view")

    def note(self, text):
        self.revision += 1
        line = "%d %s\n" % (self.revision, text)
        self.lines.append(line)
        return line

    def endpoint(self, i, state):
        a = self.agents[i]
        return "endpoint %d 1 %s 1 %d %s %d %d %s" % (
            i + 1, a.instance, state, a.ip, a.settings["peer_port"], self.slots, a.name)

    def seen_by(self, process, line):
        """Returns the line as the process gets it: to balancers, an agent has its proxy's port."""
        for agent, proxy in zip(self.agents, self.proxies):
            if process.kind == "balancer":
                line = line.replace(" %s %d " % (agent.ip, agent.settings["peer_port"]),
                                    " %s %d " % (agent.ip, proxy.port))
        return line

    def publish(self, text, to=None):
        """Appends an operation to the view of all running processes, or of those in `to`."""
        line = self.note(text)
        for p in self.agents + self.balancers if to is None else to:
            if p.popen.poll() is None:
                p.append([self.seen_by(p, line)])

    def restart(self, i):
        """Starts agent i again with the whole view, without publishing its new instance."""
        self.agents[i].start(self.lines)

    def request(self, balancer, method, path, key=None, body=b"", headers=None, timeout=WAIT_S):
        p = self.balancers[balancer]
        c = http.client.HTTPConnection(p.ip, p.settings["http_port"], timeout=timeout)
        fields = dict(headers or {})
        if key is not None:
            fields["Idempotency-Key"] = key
        try:
            c.request(method, path, body=body, headers=fields)
            r = c.getresponse()
            return r.status, {k.lower(): v for k, v in r.getheaders()}, r.read()
        finally:
            c.close()

    def in_background(self, *args, **fields):
        result = {}

        def run():
            try:
                result["answer"] = self.request(*args, **fields)
            except Exception as e:  # noqa: BLE001
                result["error"] = e

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        result["thread"] = thread
        return result

    def runs_of(self, key):
        return sum(b.runs.get(key, 0) for b in self.backends)

    def close(self):
        for p in self.agents + self.balancers:
            if p.popen is not None and p.popen.poll() is None:
                p.popen.send_signal(signal.SIGCONT)
                p.popen.kill()
                p.popen.wait()
        for b in self.backends:
            b.close()
        shutil.rmtree(self.dir, ignore_errors=True)
