#!/usr/bin/env python3
"""Fault tests with real lychee-control processes: killed, frozen and lost VMs, racing operators.

Each test runs three control VMs on loopback addresses of its own and free ports, with folders that
are removed at the end.  Waiting is bounded; durations are printed, never asserted.
"""
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from cluster import free_port  # noqa: E402

BUILD = sys.argv.pop(1)
CONTROL = os.path.join(BUILD, "src/control/lychee-control")
CLI = os.path.join(BUILD, "src/cli/lychee")
BALANCER = os.path.join(BUILD, "src/balancer/lychee-balancer")
LIMIT_S = 30

MARKET = {
    "data_centres": [{"name": "hall-atl", "region": "southeast"}],
    "services": [{
        "name": "order-desk",
        "addresses": ["127.31.9.9:7000/udp"],
        "routes": [{"path_prefix": "/orders"}],
        "limits": {"caller_limit": 32},
    }],
}


class Vm:
    """One control VM: its settings, folder and process."""

    def __init__(self, folder, number, net):
        self.name = f"control-{number}"
        self.address = f"127.31.{net}.{number}"
        self.peer, self.http, self.admin = (free_port(self.address) for _ in range(3))
        self.data = os.path.join(folder, f"data-{number}")
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.process = None

    def configure(self, members, has_disk=True, **more):
        disk = {"data_folder": self.data} if has_disk else {}
        with open(self.settings, "w", encoding="utf-8") as out:
            json.dump({"name": self.name, "data_centre": "hall-atl", "address": self.address,
                       "peer_port": self.peer, "http_port": self.http, "admin_port": self.admin,
                       "snapshot_every": 64, **disk, **more,
                       "members": [f"{m.address}:{m.peer}" for m in members]}, out)

    def start(self):
        self.started_at = os.path.getsize(self.log.name)
        self.process = subprocess.Popen([CONTROL, "--settings", self.settings], stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def status(self):
        url = f"http://{self.address}:{self.http}/v1/status"
        with urllib.request.urlopen(url, timeout=2) as answer:
            return json.load(answer)


class Balancer:
    """A balancer with only some of the control VMs in its settings."""

    def __init__(self, folder, net, control):
        self.address = f"127.31.{net}.9"
        peer, flow, http, self.admin = (free_port(self.address) for _ in range(4))
        settings = os.path.join(folder, "lb-1.json")
        with open(settings, "w", encoding="utf-8") as out:
            json.dump({"name": "lb-1", "data_centre": "hall-atl", "address": self.address,
                       "peer_port": peer, "flow_port": flow, "http_port": http,
                       "admin_port": self.admin,
                       "control": [f"{vm.address}:{vm.peer}" for vm in control]}, out)
        self.log = open(os.path.join(folder, "lb-1.log"), "ab")
        self.process = subprocess.Popen([BALANCER, "--settings", settings], stdout=self.log, stderr=self.log)

    def revision(self):
        """The revision of its view; 0 before it has one."""
        url = f"http://{self.address}:{self.admin}/metrics"
        with urllib.request.urlopen(url, timeout=2) as answer:
            for line in answer.read().decode().splitlines():
                if line.startswith("lychee_view_revision"):
                    return int(line.split()[-1])
        return 0

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.log.close()


class Cluster(unittest.TestCase):
    """Three control VMs, and helpers for the tests."""

    net = random.randrange(20, 250)

    def setUp(self):
        Cluster.net = Cluster.net % 249 + 1
        self.folder = tempfile.mkdtemp(prefix="lychee-control-")
        self.vms = [Vm(self.folder, i, Cluster.net) for i in (1, 2, 3)]
        self.start_all()
        self.market = os.path.join(self.folder, "market.json")
        self.write_market(32)
        self.leader()

    def start_all(self):
        for vm in self.vms:
            vm.configure(self.vms)
            vm.start()

    def tearDown(self):
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.signal(signal.SIGCONT)
                vm.kill()
            vm.log.close()
        shutil.rmtree(self.folder)

    def write_market(self, caller_limit):
        MARKET["services"][0]["limits"]["caller_limit"] = caller_limit
        with open(self.market, "w", encoding="utf-8") as out:
            json.dump(MARKET, out)

    def wait(self, what, check):
        """Waits until `check` returns a true value, and returns it."""
        deadline = time.monotonic() + LIMIT_S
        while time.monotonic() < deadline:
            try:
                result = check()
                if result:
                    return result
            except OSError:
                pass
            time.sleep(0.02)
        for vm in self.vms:
            print(vm.name, self.log_of(vm)[-2000:])
        self.fail(f"timed out: {what}")

    def leader(self, among=None):
        """The VM that leads and holds the read lease."""
        def look():
            for vm in among or self.vms:
                if vm.process.poll() is None and vm.status()["is_newest"]:
                    return vm
            return None
        return self.wait("a leader", look)

    def lychee(self, *arguments, vms=None):
        control = ",".join(f"{vm.address}:{vm.http}" for vm in vms or self.vms)
        run = subprocess.run([CLI, *arguments, "--json", "--control", control],
                             capture_output=True, text=True, timeout=LIMIT_S, check=False)
        return run.returncode, json.loads(run.stdout) if run.stdout else run.stderr

    def open_market(self):
        code, plan = self.lychee("plan", "open-market", "--file", self.market)
        self.assertEqual(code, 0, plan)
        code, done = self.lychee("confirm", str(plan["plan_id"]), "--wait")
        self.assertEqual(code, 0, done)
        return done["revision"]

    @staticmethod
    def log_of(vm, start=0):
        with open(vm.log.name, encoding="utf-8") as log:
            log.seek(start)
            return log.read()

    def others(self, vm):
        return [one for one in self.vms if one is not vm]

    def change(self, caller_limit, vms=None):
        """Plans and confirms one more change."""
        self.write_market(caller_limit)
        code, plan = self.lychee("plan", "apply", "--file", self.market, vms=vms)
        self.assertEqual(code, 0, plan)
        code, done = self.lychee("confirm", str(plan["plan_id"]), vms=vms)
        self.assertEqual(code, 0, done)
        return done["revision"]


class ControlTest(Cluster):
    def test_killed_leader(self):
        revision = self.open_market()
        took = []
        for round_number in range(2):
            old = self.leader()
            old.kill()
            start = time.monotonic()
            new = self.leader(self.others(old))
            took.append(time.monotonic() - start)
            self.assertGreaterEqual(new.status()["config_revision"], revision)
            revision = self.change(40 + round_number, self.others(old))
            old.start()
            self.wait("the old leader catches up",
                      lambda vm=old, want=revision: vm.status()["config_revision"] >= want)
        print("new leader after kill -9, s:", [round(t, 3) for t in took])

    def test_frozen_leader(self):
        """A frozen leader must be replaced, and must not serve stale reads when it continues."""
        self.open_market()
        old = self.leader()
        old.signal(signal.SIGSTOP)
        start = time.monotonic()
        rest = self.others(old)
        self.leader(rest)
        print("new leader after a freeze, s:", round(time.monotonic() - start, 3))
        revision = self.change(50, rest)
        old.signal(signal.SIGCONT)
        first = old.status()
        self.assertFalse(first["is_newest"] and first["config_revision"] < revision)
        self.wait("the frozen one catches up", lambda: old.status()["config_revision"] >= revision)

    def test_all_killed(self):
        revision = self.change_many(8)
        for vm in self.vms:
            vm.kill()
        for vm in self.vms:
            vm.start()
        self.leader()
        for vm in self.vms:
            self.wait("the log comes back", lambda vm=vm: vm.status()["config_revision"] == revision)

    def change_many(self, count):
        revision = self.open_market()
        for number in range(count):
            revision = self.change(100 + number)
        return revision

    def evacuated(self, vm):
        return [dc["name"] for dc in vm.status()["data_centres"] if "evacuated_for_ms" in dc]

    def order(self, vm, method, data_centre):
        """Sends an evacuation order over HTTP; the status of the response after redirects."""
        request = urllib.request.Request(f"http://{vm.address}:{vm.http}/evacuations/{data_centre}", method=method)
        try:
            with urllib.request.urlopen(request, timeout=LIMIT_S) as answer:
                return answer.status, json.load(answer)
        except urllib.error.HTTPError as error:
            with error:
                return error.code, json.load(error)

    def test_evacuation(self):
        """Orders work at any VM, survive a kill of all and a lost disk, and take effect once."""
        self.open_market()
        leader = self.leader()
        follower = self.others(leader)[0]
        balancer = Balancer(self.folder, Cluster.net, self.vms)
        try:
            self.wait("the data centre is known", lambda: leader.status()["balancers"])
            code, answer = self.lychee("evacuate", "hall-xyz", vms=[follower])
            self.assertEqual((code, answer["error"]["code"]), (1, "not-found"), answer)
            self.assertIn("lychee status", answer["error"]["remedy"])
            for vm in (follower, leader, follower):  # the last two are resends
                self.assertEqual(self.order(vm, "POST", "hall-atl")[0], 200)
            self.wait("it is in force", lambda: self.evacuated(leader) == ["hall-atl"])
            self.assertEqual(self.order(follower, "POST", "hall-xyz")[0], 404)
            for vm in self.vms:
                vm.kill()
            lost = follower
            shutil.rmtree(lost.data)
            for vm in self.others(lost):
                vm.start()
            leader = self.leader(self.others(lost))
            self.assertEqual(self.evacuated(leader), ["hall-atl"])
            code, answer = self.lychee("evacuate", "--end", "hall-atl", vms=self.others(lost))
            self.assertEqual(code, 0, answer)
            self.assertEqual(self.order(leader, "DELETE", "hall-atl")[0], 200)
            self.assertEqual(self.evacuated(leader), [])
            code, answer = self.lychee("history", vms=[leader])
            done = [one["summary"] for one in answer["history"] if one["action"] == "evacuate"]
            self.assertEqual(done, ["begin the evacuation of hall-atl"]
                             + ["begin the evacuation of hall-atl: in force already"] * 2
                             + ["end the evacuation of hall-atl", "end the evacuation of hall-atl: in force already"])
        finally:
            balancer.stop()

    def test_lost_disk_and_second_loss(self):
        """A VM that restarts with an empty folder is replaced, then a second one is lost."""
        revision = self.open_market()
        leader = self.leader()
        lost, third = self.others(leader)
        lost.kill()
        shutil.rmtree(lost.data)
        lost.start()
        self.wait("it asks to be added", lambda: "control.waiting" in self.log_of(lost))
        code, plan = self.lychee("plan", "replace-control-vm", lost.name, "--with",
                                 f"{lost.name}={lost.address}:{lost.peer}", vms=[leader])
        self.assertEqual(code, 0, plan)
        code, done = self.lychee("confirm", str(plan["plan_id"]), vms=[leader])
        self.assertEqual(code, 0, done)
        start = time.monotonic()
        self.wait("the replacement is done", lambda: not leader.status()["work"]
                  and len(leader.status()["members"]) == 3)
        print("replaced after, s:", round(time.monotonic() - start, 3))
        third.kill()
        revision = self.change(60, [leader, lost])
        self.wait("the new one has it", lambda: lost.status()["config_revision"] >= revision)

    def test_return_to_unknown_members(self):
        """A VM that was down while another was replaced must still reach the new one."""
        self.open_market()
        leader = self.leader()
        away, lost = self.others(leader)
        away.kill()
        new = Vm(self.folder, 4, Cluster.net)
        new.configure(self.vms)
        new.start()
        self.vms.append(new)
        code, plan = self.lychee("plan", "replace-control-vm", lost.name, "--with",
                                 f"{new.name}={new.address}:{new.peer}", vms=[leader])
        self.assertEqual(code, 0, plan)
        code, done = self.lychee("confirm", str(plan["plan_id"]), vms=[leader])
        self.assertEqual(code, 0, done)
        self.wait("the replacement is done", lambda: not leader.status()["work"])
        lost.kill()
        leader.kill()
        away.start()
        self.leader([new, away])
        self.change(61, [new, away])

    def test_balancer_learns_control_vms(self):
        """A balancer must learn the other control VMs, for when the only configured one stops."""
        self.open_market()
        leader = self.leader()
        seed = self.others(leader)[0]
        balancer = Balancer(self.folder, Cluster.net, [seed])
        try:
            before = self.wait("the balancer has a view", balancer.revision)
            seed.kill()
            for number in range(2):
                self.change(200 + number, self.others(seed))
                before = self.wait("the balancer has the change",
                                   lambda old=before: balancer.revision() > old and balancer.revision())
        finally:
            balancer.stop()

    def test_far_behind(self):
        """A VM that is further behind than the kept log must receive a snapshot."""
        self.open_market()
        leader = self.leader()
        away = self.others(leader)[0]
        away.kill()
        for number in range(1300):
            body = json.dumps({"request_id": f"far-{number}", "who": "test", "intent": "drain",
                               "target": "nobody"}).encode()
            try:
                urllib.request.urlopen(
                    f"http://{leader.address}:{leader.http}/v1/plan", body, LIMIT_S).close()
            except urllib.error.HTTPError as error:
                self.assertEqual(error.code, 404)
                error.close()
        revision = self.change(62, [leader])
        away.start()
        start = time.monotonic()
        self.wait("it catches up", lambda: away.status()["config_revision"] >= revision)
        print("far behind, caught up after s:", round(time.monotonic() - start, 3))
        self.assertIn("control.snapshot-loaded", self.log_of(away))

    def test_racing_operators(self):
        self.open_market()
        plans = []
        for limit in (70, 71):
            self.write_market(limit)
            plans.append(self.lychee("plan", "apply", "--file", self.market)[1]["plan_id"])
        runs = [subprocess.Popen([CLI, "confirm", str(plan), "--json", "--control",
                                  f"{vm.address}:{vm.http}"], stdout=subprocess.PIPE)
                for plan, vm in zip(plans, self.vms)]
        outputs = [json.loads(run.communicate(timeout=LIMIT_S)[0]) for run in runs]
        self.assertEqual(sorted(run.returncode for run in runs), [0, 3], outputs)
        loser = next(out for out in outputs if "error" in out)
        self.assertTrue(loser["error"]["remedy"])

    def test_lost_answer(self):
        """A request resent to every VM must take effect once and get the same answer."""
        self.open_market()
        self.write_market(80)
        _, plan = self.lychee("plan", "apply", "--file", self.market)
        answers = []
        for vm in self.vms * 2:
            code, answer = self.lychee("confirm", str(plan["plan_id"]), "--request-id", "lost-1",
                                       vms=[vm])
            self.assertEqual(code, 0, answer)
            answers.append(answer["revision"])
        self.assertEqual(len(set(answers)), 1)
        _, history = self.lychee("history")
        confirms = [h for h in history["history"]
                    if h["action"] == "confirm" and h["plan_id"] == plan["plan_id"]]
        self.assertEqual(len(confirms), 1)

    def test_lost_quorum(self):
        """A VM without a quorum must refuse changes and report since when it has no leader."""
        self.open_market()
        survivor = self.leader()
        for vm in self.others(survivor):
            vm.kill()
        self.wait("it steps down", lambda: not survivor.status()["is_leader"])
        code, answer = self.lychee("plan", "drain", "order-1", "--timeout-s", "2", vms=[survivor])
        self.assertEqual(code, 1, answer)
        self.assertTrue(answer["error"]["remedy"])
        self.assertGreater(survivor.status()["silent_ms"], 0)

    def test_planned_stop_hands_over(self):
        revision = self.open_market()
        old = self.leader()
        start = time.monotonic()
        old.signal(signal.SIGTERM)
        self.leader(self.others(old))
        print("new leader after a planned stop, s:", round(time.monotonic() - start, 3))
        self.assertEqual(old.process.wait(LIMIT_S), 0)
        self.assertGreater(self.change(90, self.others(old)), revision)
        old.start()

    def test_corrupt_log(self):
        """A flipped bit must be reported at the next start; the other VMs continue."""
        self.change_many(3)
        leader = self.leader()
        bad = self.others(leader)[0]
        bad.kill()
        segment = sorted(n for n in os.listdir(bad.data) if n.startswith("wal-"))[-1]
        path = os.path.join(bad.data, segment)
        with open(path, "r+b") as log:
            log.seek(os.path.getsize(path) // 2)
            byte = log.read(1)
            log.seek(-1, os.SEEK_CUR)
            log.write(bytes([byte[0] ^ 1]))
        bad.start()
        self.assertEqual(bad.process.wait(LIMIT_S), 1)
        self.assertIn("replace this control VM", self.log_of(bad))
        self.change(95, self.others(bad))
        bad.start()


class Healing(Cluster):
    """Automatic member replacement: `n_voters` of `n_vms` VMs vote; three form the cluster."""

    n_vms = 6
    more = {"heals": True, "disks_lost_at_once": 2}
    n_voters = 5

    def start_all(self):
        founders = self.vms[:]
        http = founders[0].http  # calls are redirected to the same port
        self.vms += [Vm(self.folder, i, Cluster.net) for i in range(4, self.n_vms + 1)]
        for vm in self.vms:
            vm.http = http
            vm.configure(founders, may_form=vm in founders, **self.more)
            vm.start()

    def voters(self, vm):
        return [m["name"] for m in vm.status()["members"] if m["role"] in ("leader", "voter")]

    def settled(self, without=()):
        """The leader, once there are `n_voters` voters and none of them is in `without`."""
        gone = {vm.name for vm in without}

        def look():
            for vm in self.vms:
                if vm.process.poll() is None and vm not in without and vm.status()["is_newest"]:
                    names = self.voters(vm)
                    return vm if len(names) == self.n_voters and not gone & set(names) else None
            return None
        return self.wait(f"{self.n_voters} voters", look)

    def relays(self, numbers, members=None):
        """Starts control VMs without disks; their settings name `members`, or only each other."""
        relays = [Vm(self.folder, number, Cluster.net) for number in numbers]
        for relay in relays:
            relay.http = self.vms[0].http
        for relay in relays:
            relay.configure(members or relays, has_disk=False, **self.more)
            relay.start()
        self.vms += relays
        return relays

    def wait_passed_on(self, relay):
        url = f"http://{relay.address}:{relay.http}/config"

        def passed_on():
            try:
                urllib.request.urlopen(url, timeout=2)
            except urllib.error.HTTPError as error:
                # 404 after a redirect to the leader, which has no numbered declaration yet.
                return error.code == 404 and error.url != url
            return False

        self.wait("it passes calls on", passed_on)

    def check_no_disk(self):
        """A control VM without a disk must never vote, and must redirect operators to a voter."""
        self.settled()
        relay = self.relays([7], self.vms[:3])[0]
        self.wait_passed_on(relay)
        self.assertNotIn(relay.name, self.voters(self.settled()))

    def check_settings_name_only_vms_without_disks(self):
        """They must learn the others, which send hellos to the VMs of their settings: at a start,
        and when the settings change."""
        self.settled()
        relays = self.relays([7, 8])
        for vm in self.vms[:self.n_vms]:
            vm.configure(relays, may_form=False, **self.more)
            vm.signal(signal.SIGHUP)
        self.wait_passed_on(relays[0])
        for vm in self.vms:
            vm.kill()
        for vm in self.vms:
            vm.start()
        self.wait_passed_on(relays[1])


class HealingTest(Healing):
    """Five of six VMs vote, one is a standby."""

    def test_no_disk(self):
        self.check_no_disk()

    def test_settings_name_only_vms_without_disks(self):
        self.check_settings_name_only_vms_without_disks()

    def test_two_lost_disks(self):
        """Confirmed changes must survive when two of five lose their disks at once, twice."""
        self.settled()
        revision = self.open_market()
        for _ in range(2):
            leader = self.settled()
            lost = [vm for vm in self.vms if vm is not leader and vm.name in self.voters(leader)][:2]
            for vm in lost:
                vm.kill()
                shutil.rmtree(vm.data)
            self.leader([vm for vm in self.vms if vm not in lost])
            for vm in lost:
                vm.start()
            # Each has a new id: two more may fail only after the old ids are removed.
            self.wait("the lost ids are gone", lambda lost=lost: self.have_no_old_ids(lost))
            leader = self.settled()
            self.assertGreaterEqual(leader.status()["config_revision"], revision)

    def have_no_old_ids(self, lost):
        """Five vote, and each of `lost` among them has joined again; the standby may have replaced
        one."""
        members = [m["name"] for m in self.settled().status()["members"]]
        return len(members) == len(set(members)) == 5 and all(
            vm.name not in members or "control.joined" in self.log_of(vm, vm.started_at) for vm in lost)

    def test_removed_while_frozen(self):
        """A voter that was replaced while frozen must become a standby, and a voter again later."""
        self.open_market()
        leader = self.settled()
        frozen = [vm for vm in self.vms if vm is not leader and vm.name in self.voters(leader)][0]
        frozen.signal(signal.SIGSTOP)
        leader = self.settled([frozen])
        frozen.signal(signal.SIGCONT)
        self.wait("it stands by", lambda: "control.stands-by" in self.log_of(frozen))
        dead = [vm for vm in self.vms if vm is not leader and vm is not frozen][0]
        dead.kill()
        leader = self.settled([dead])
        self.assertIn(frozen.name, self.voters(leader))


class HealingOfThreeTest(Healing):
    """Three VMs that formed the cluster, with no standby and no configuration change in the log."""

    n_vms = 3
    more = {"heals": True}
    n_voters = 3

    def test_no_disk(self):
        self.check_no_disk()

    def test_settings_name_only_vms_without_disks(self):
        self.check_settings_name_only_vms_without_disks()


if __name__ == "__main__":
    unittest.main(verbosity=1)
