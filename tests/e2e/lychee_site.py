"""Runs a small site of real processes on loopback addresses, for failure tests.

Its data centre is a /24 of a random /16 of 127/8: control VMs from .10, balancers from .20, backend servers
with their agents from .30.  Processes are ended by process id only.
"""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

LIVENESS_S = 60  # long enough that only a hang reaches it
PORTS = (7000, 8000, 8001, 8080, 9100)


def wait_until(what, is_true, limit_s=LIVENESS_S):
    """Polls is_true() and returns its value; fails with `what` after limit_s."""
    deadline = time.monotonic() + limit_s
    while True:
        value = is_true()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {limit_s} s: {what}")
        time.sleep(0.05)


def free_block():
    while True:
        block = f"127.{random.randint(40, 250)}"
        try:
            for port in PORTS:
                for host in ("1.10", "1.20", "1.30"):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.{host}", port))
            return block
        except OSError:
            continue


def ask_or_raise(method, url, body=None, headers=None, timeout=20):
    """Returns status, headers and body; raises OSError (TimeoutError: no answer in time) or HTTPException."""
    address, _, path = url.partition("/")
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, "/" + path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def ask(method, url, body=None, headers=None, timeout=20):
    """As ask_or_raise; None if the connection failed or the answer was cut."""
    try:
        return ask_or_raise(method, url, body, headers, timeout)
    except (OSError, http.client.HTTPException):
        return None


class Site:
    def __init__(self, build, desks=3, vaults=0, controls=3, balancers=2, service_ms=5):
        self.build = build
        self.block = free_block()
        self.folder = tempfile.mkdtemp(prefix="lychee-e2e.")
        self.processes = {}
        self.service_ms = service_ms
        self.controls = [f"control-{i}" for i in range(controls)]
        self.balancers = [f"lb-{i}" for i in range(balancers)]
        self.servers = {f"desk-{i}": "order-desk" for i in range(desks)}
        self.servers |= {f"vault-{i}": "ticket-vault" for i in range(vaults)}
        self.address = {}
        for base, names in ((10, self.controls), (20, self.balancers), (30, self.servers)):
            for i, name in enumerate(names):
                self.address[name] = f"{self.block}.1.{base + i}"
        self.feed_address = f"{self.block}.100.1:5000"

    # --- processes ----------------------------------------------------------------------------

    def __enter__(self):
        try:
            for name in self.controls:
                self.start_control(name)
            for name in self.balancers:
                self.start_balancer(name)
            for name in self.servers:
                self.start_server(name)
                self.start_agent(name)
            self.open_market()
        except BaseException:
            self.__exit__(True)
            raise
        return self

    def __exit__(self, *failed):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if any(failed):
            print(f"settings and logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name, program, *args):
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            # Own session: the kernel sends SIGHUP to an orphaned process group if one of it is stopped.
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.build, program), *args], stdout=log, stderr=log, start_new_session=True)

    def settings(self, name, value):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(value, out)
        return path

    def peers(self, names):
        return [f"{self.address[name]}:7000" for name in names]

    def common(self, name):
        return {"name": name, "data_centre": "hall-atl", "address": self.address[name]}

    def data_folder(self, name):
        return os.path.join(self.folder, "data-" + name)

    def start_control(self, name, **more):
        data = self.data_folder(name)
        os.makedirs(data, exist_ok=True)
        path = self.settings(name, self.common(name) | {
            "data_folder": data, "members": self.peers(self.controls)} | more)
        self.start(name, "src/control/lychee-control", "--settings", path)

    def start_balancer(self, name):
        path = self.settings(name, self.common(name) | {"control": self.peers(self.controls)})
        self.start(name, "src/balancer/lychee-balancer", "--settings", path)

    def start_server(self, name):
        address = self.address[name]
        self.start("server-" + name, "demo/lychee-demo-backend", "--name", name, "--http", f"{address}:8000",
                   "--feed", f"{address}:8001", "--service-ms", str(self.service_ms),
                   "--journal", os.path.join(self.folder, "runs"))

    def backend_http(self, name):
        """Returns the address of a backend server for its agent."""
        return f"{self.address[name]}:8000"

    def balancer_http(self, name):
        """Returns the address of a balancer for callers."""
        return f"{self.address[name]}:8080"

    def journal_of_runs(self):
        """Returns the runs of each key, those of killed backend servers too."""
        runs = {}
        path = os.path.join(self.folder, "runs")
        if os.path.exists(path):
            with open(path, encoding="utf-8") as lines:
                for line in lines:
                    key = line.split()[0]
                    runs[key] = runs.get(key, 0) + 1
        return runs

    def start_agent(self, name):
        address = self.address[name]
        path = self.settings("agent-" + name, self.common(name) | {
            "service": self.servers[name], "balancers": self.peers(self.balancers), "ramp_ms": 200,
            "data_folder": self.data_folder("agent-" + name),
            "delivery": "inject" if can_send_raw() else "relay",
            "backend": {"http": self.backend_http(name), "feed": f"{address}:8001"}})
        self.start("agent-" + name, "src/agent/lychee-agent", "--settings", path)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self, name):
        """Sends SIGTERM; returns the exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(LIVENESS_S)

    # --- operators ----------------------------------------------------------------------------

    def control_list(self):
        return ",".join(f"{self.address[name]}:8080" for name in self.controls)

    def lychee(self, *args):
        return subprocess.run([os.path.join(self.build, "src/cli/lychee"), *args, "--control", self.control_list()],
                              capture_output=True, text=True, timeout=LIVENESS_S)

    def status(self):
        result = self.lychee("status", "--json")
        return json.loads(result.stdout) if result.returncode == 0 else {}

    def plan(self, *args):
        result = self.lychee("plan", *args, "--json")
        assert result.returncode == 0, f"lychee plan {args}: {result.stderr}"
        return str(json.loads(result.stdout)["plan_id"])

    def carry_out(self, *args):
        plan = self.plan(*args)
        result = self.lychee("confirm", plan, "--wait")
        assert result.returncode == 0, f"lychee confirm {plan} of {args}: {result.stderr}"

    def open_market(self):
        services = {
            "order-desk": {"addresses": [self.feed_address + "/udp"],
                           "routes": [{"path_prefix": "/orders"}]},
            "ticket-vault": {"routes": [{"path_prefix": "/tickets"}]},
        }
        declared = {"data_centres": [{"name": "hall-atl", "region": "southeast"}],
                    "services": [{"name": name} | value for name, value in services.items()]}
        wait_until("control has a leader", lambda: self.status().get("leader"))
        self.carry_out("open-market", "--file", self.settings("market", declared), "--allow-empty")
        wait_until("all endpoints are active", lambda: self.n_active() == len(self.servers))
        wait_until("all balancers are ready", lambda: all(
            (ask("GET", f"{self.address[name]}:9100/readyz") or [0])[0] == 200 for name in self.balancers))

    def endpoints(self):
        return {one["name"]: one["state"] for one in self.status().get("endpoints", [])}

    def n_active(self):
        return sum(state == "active" for state in self.endpoints().values())

    # --- callers ------------------------------------------------------------------------------

    def order(self, key, balancer, timeout=20):
        try:
            return self.order_or_raise(key, balancer, timeout)
        except (OSError, http.client.HTTPException):
            return None

    def order_or_raise(self, key, balancer, timeout=20, headers=None):
        return ask_or_raise("POST", f"{self.balancer_http(balancer)}/orders", b'{"uplift_l":4200}',
                            {"Idempotency-Key": key} | (headers or {}), timeout)

    def runs(self, key=""):
        """Returns the runs of a key (or of all) on the running backend servers."""
        total = 0
        for name in self.servers:
            answer = ask("GET", f"{self.address[name]}:8000/runs/{key}", timeout=5)
            if answer:
                total += json.loads(answer[2])["runs" if key else "total"]
        return total

    def most_runs(self):
        answers = [ask("GET", f"{self.address[name]}:8000/runs", timeout=5) for name in self.servers]
        return max(json.loads(answer[2])["most_runs_of_a_key"] for answer in answers if answer)

    def start_feed(self, flows=30, seconds=60):
        self.write_balancers(self.balancers)
        path = os.path.join(self.folder, "feed.out")
        with open(path, "wb") as out:
            self.processes["feed"] = subprocess.Popen(
                [os.path.join(self.build, "demo/lychee-demo-feed"), "--service", self.feed_address, "--source",
                 f"{self.block}.200.1", "--balancers", os.path.join(self.folder, "flow-balancers"), "--flows",
                 str(flows), "--interval-ms", "50", "--seconds", str(seconds), "--seed", "3"], stdout=out,
                stderr=subprocess.STDOUT)
        wait_until("the feed has an answer on each flow", lambda: sum(self.feed().get("servers", {}).values()) == flows)

    def write_balancers(self, names):
        path = os.path.join(self.folder, "flow-balancers")
        with open(path + ".new", "w", encoding="utf-8") as out:
            out.writelines(f"{self.address[name]}:7100\n" for name in names)
        os.replace(path + ".new", path)

    def feed(self):
        with open(os.path.join(self.folder, "feed.out"), encoding="utf-8") as lines:
            whole = [line for line in lines if line.startswith("{") and line.endswith("}\n")]
        return json.loads(whole[-1]) if whole else {}

    def end_feed(self):
        self.processes["feed"].send_signal(signal.SIGTERM)
        self.processes["feed"].wait(LIVENESS_S)
        return self.feed()


def can_send_raw():
    try:
        socket.socket(socket.AF_INET, socket.SOCK_RAW, socket.IPPROTO_RAW).close()
        return True
    except OSError:
        return False
