"""Failure injection on real processes: the reported outcome, and how often the order really ran."""
import random
import signal
import socket
import struct
import sys
import threading
import unittest

sys.path.insert(0, sys.argv.pop(1))
from cluster import Cluster, until  # noqa: E402

PROGRAMS = {"agent": sys.argv.pop(1), "balancer": sys.argv.pop(1)}
NET = "127.34"
ASK = "/.well-known/lychee/requests/"


class Hold:
    """A run at a backend server that lasts until the test releases it."""

    def __init__(self):
        self.released = threading.Event()
        self.started = threading.Semaphore(0)
        self.closed = threading.Event()

    def __call__(self, backend, key, connection):
        self.started.release()
        connection.settimeout(0.02)
        while not self.released.is_set():
            try:
                if connection.recv(1) == b"":
                    self.closed.set()
                    return True
            except socket.timeout:
                continue
            except OSError:
                self.closed.set()
                return True
        connection.settimeout(None)
        return False


def cut(backend, key, connection):
    connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part")
    return True


def cut_in_head(backend, key, connection):
    connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-le")
    return True


def unbounded(backend, key, connection):
    connection.sendall(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole or not?")
    return True


def shed(backend, key, connection):
    backend.runs[key] -= 1
    connection.sendall(b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
    return True


class Failures(unittest.TestCase):
    def setUp(self):
        self.cluster = None

    def tearDown(self):
        self.cluster.close()

    def make(self, **settings):
        self.cluster = Cluster(NET, PROGRAMS, **settings)
        return self.cluster

    def behave(self, how):
        for b in self.cluster.backends:
            b.behave = how

    def owner(self, key):
        return [b.runs.get(key, 0) for b in self.cluster.backends].index(1)

    def assert_logged(self, headers):
        """Guards against failed orders that no log line names, as soaks had."""
        lines = [line for b in self.cluster.balancers for line in b.events("request.failed")
                 if headers["lychee-request-id"] in (line.get("key"), line.get("request"))]
        self.assertIn((headers["lychee-reason"], headers["lychee-outcome"]),
                      [(line.get("why"), line.get("outcome")) for line in lines])

    def assert_unknown(self, answer, key):
        status, headers, _ = answer
        self.assert_logged(headers)
        self.assertIn(status, (502, 504))
        self.assertEqual(headers["lychee-outcome"], "unknown")
        self.assertIn("retry-after", headers)
        self.assertEqual(headers["lychee-ask"], ASK + headers["lychee-request-id"])
        self.assertLessEqual(self.cluster.runs_of(key), 1)

    def assert_not_run(self, answer, key):
        status, headers, _ = answer
        self.assert_logged(headers)
        self.assertIn(status, (503, 504))
        self.assertEqual(headers["lychee-outcome"], "not-run")
        self.assertIn("retry-after", headers)
        self.assertEqual(self.cluster.runs_of(key), 0)

    # --- the backend server's answer ---

    def test_answer_cut_short_is_never_a_success(self):
        c = self.make()
        for i, how in enumerate((cut, cut_in_head, unbounded)):
            key = "cut-%d" % i
            self.behave(how)
            self.assert_unknown(c.request(0, "POST", "/orders", key=key), key)
            self.behave(None)
            self.assert_unknown(c.request(1, "POST", "/orders", key=key), key)
            self.assert_unknown(c.request(1, "GET", ASK + "order-desk/" + key), key)
            self.assertEqual(c.runs_of(key), 1)

    def test_shed_is_not_run(self):
        c = self.make()
        self.behave(shed)
        self.assert_not_run(c.request(0, "POST", "/orders", key="shed"), "shed")
        self.behave(None)
        self.assertEqual(c.request(1, "POST", "/orders", key="shed")[0], 200)
        self.assertEqual(c.runs_of("shed"), 1)

    # --- copies of one order ---

    def test_same_key_through_two_balancers_at_once(self):
        c = self.make()
        for round_number in range(10):
            key = "twin-%d" % round_number
            copies = [c.in_background(i % 2, "POST", "/orders", key=key) for i in range(6)]
            for copy in copies:
                copy["thread"].join()
            bodies = {copy["answer"][2] for copy in copies if copy["answer"][0] == 200}
            self.assertEqual(c.runs_of(key), 1)
            self.assertEqual(len(bodies), 1)
            for copy in copies:
                if copy["answer"][0] != 200:
                    self.assert_unknown(copy["answer"], key)

    def test_key_reused_for_another_order(self):
        c = self.make()
        self.assertEqual(c.request(0, "POST", "/orders", key="k", body=b"a")[0], 200)
        status, headers, _ = c.request(1, "POST", "/orders", key="k", body=b"b")
        self.assertEqual((status, headers["lychee-outcome"]), (422, "not-run"))
        self.assertEqual(c.runs_of("k"), 1)

    # --- processes that die ---

    def test_balancer_killed_while_the_order_runs(self):
        c = self.make()
        hold = Hold()
        self.behave(hold)
        first = c.in_background(0, "POST", "/orders", key="k")
        hold.started.acquire()
        c.balancers[0].kill()
        second = c.in_background(1, "POST", "/orders", key="k")
        hold.released.set()
        second["thread"].join()
        self.assertEqual(second["answer"][0], 200)
        self.assertEqual(c.runs_of("k"), 1)
        first["thread"].join()
        self.assertIn("error", first)

    def test_agent_killed_while_the_order_runs(self):
        c = self.make()
        hold = Hold()
        self.behave(hold)
        first = c.in_background(0, "POST", "/orders", key="k")
        hold.started.acquire()
        owner = self.owner("k")
        c.agents[owner].kill()
        c.publish(c.endpoint(owner, 4))
        hold.released.set()
        first["thread"].join()
        self.assert_unknown(first["answer"], "k")
        for balancer in (0, 1):
            self.assert_unknown(c.request(balancer, "POST", "/orders", key="k"), "k")
        self.assert_unknown(c.request(1, "GET", ASK + "order-desk/k"), "k")
        self.assertEqual(c.runs_of("k"), 1)

    def test_agent_restarted_without_its_memory(self):
        c = self.make()
        self.assertEqual(c.request(0, "POST", "/orders", key="k")[0], 200)
        owner = self.owner("k")
        c.agents[owner].kill()
        c.publish(c.endpoint(owner, 4))
        c.restart(owner)
        c.publish(c.endpoint(owner, 2))
        until(lambda: c.request(0, "POST", "/orders", key="other")[0] == 200, "a claim by all homes")
        for balancer in (0, 1):
            self.assert_unknown(c.request(balancer, "POST", "/orders", key="k"), "k")
        self.assertEqual(c.runs_of("k"), 1)

    def test_two_agents_lost_right_after_another(self):
        c = self.make()
        self.assertEqual(c.request(0, "POST", "/orders", key="k")[0], 200)
        owner = self.owner("k")
        for i in [(owner + 1) % 3, (owner + 2) % 3]:
            c.agents[i].kill()
            c.publish(c.endpoint(i, 4))
        status, headers, _ = c.request(1, "POST", "/orders", key="k")
        self.assertEqual((status, headers.get("lychee-replayed")), (200, "1"))
        until(lambda: c.request(1, "POST", "/orders", key="new")[0] == 200, "a claim by one home")
        self.assertEqual(c.runs_of("k"), 1)

    def test_home_dies_before_the_claim(self):
        c = self.make()
        c.agents[2].kill()
        late = c.in_background(0, "POST", "/orders", key="k")
        self.assertEqual(c.request(0, "GET", "/orders/1")[0], 200)
        self.assertEqual(c.runs_of("k"), 0)
        c.publish(c.endpoint(2, 4))
        late["thread"].join()
        self.assertEqual(late["answer"][0], 200)
        self.assertEqual(c.runs_of("k"), 1)

    def test_agent_frozen_past_the_deadline(self):
        c = self.make(n_agents=1)
        hold = Hold()
        self.behave(hold)
        first = c.in_background(0, "POST", "/orders", key="k", headers={"Lychee-Timeout-Ms": "500"})
        hold.started.acquire()
        c.agents[0].send_signal(signal.SIGSTOP)
        first["thread"].join()
        self.assert_unknown(first["answer"], "k")
        c.agents[0].send_signal(signal.SIGCONT)
        until(hold.closed.is_set, "the run to be cancelled")
        self.behave(None)
        self.assert_unknown(c.request(1, "POST", "/orders", key="k"), "k")
        self.assertEqual(c.request(1, "POST", "/orders", key="next")[0], 200)

    # --- connections between balancers and agents that are cut ---

    def test_cut_within_the_request(self):
        c = self.make(has_proxies=True)
        for i, n_bytes in enumerate((5, 40, 200, 150000)):
            key = "cut-%d" % i
            for p in c.proxies:
                p.cut_up = n_bytes
            answer = c.request(0, "POST", "/orders", key=key, body=b"x" * 400000)
            self.assertGreaterEqual(sum(p.n_cuts for p in c.proxies), i + 1)
            if answer[0] != 200:
                self.assert_unknown(answer, key)
            for p in c.proxies:
                p.cut_up = None
            self.assertEqual(c.request(1, "POST", "/orders", key=key, body=b"x" * 400000)[0], 200)
            self.assertEqual(c.runs_of(key), 1)

    def test_cut_after_the_request(self):
        c = self.make(has_proxies=True)
        hold = Hold()
        self.behave(hold)
        first = c.in_background(0, "POST", "/orders", key="k")
        hold.started.acquire()
        for p in c.proxies:
            p.cut()
        hold.released.set()
        first["thread"].join()
        if first["answer"][0] != 200:
            self.assert_unknown(first["answer"], "k")
        self.assertEqual(c.request(1, "POST", "/orders", key="k")[0], 200)
        self.assertEqual(c.runs_of("k"), 1)

    def test_cut_within_the_answer(self):
        c = self.make(has_proxies=True)
        body = b"y" * 900000

        def large(backend, key, connection):
            connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
            return True

        self.behave(large)
        for i, n_bytes in enumerate((5, 300, 300000)):
            for method, key in (("POST", "cut-%d" % i), ("GET", None)):
                for p in c.proxies:
                    p.cut_down = n_bytes
                status, headers, got = c.request(0, method, "/orders", key=key)
                if status == 200:
                    self.assertEqual(got, body)
                else:
                    self.assertEqual(headers["lychee-outcome"], "unknown")
                for p in c.proxies:
                    p.cut_down = None
                if key is not None:
                    self.assertEqual(c.request(1, "POST", "/orders", key=key)[2], body)
                    self.assertEqual(c.runs_of(key), 1)

    # --- views that differ ---

    def test_view_changes_between_claim_and_run(self):
        c = self.make(slots=1, n_agents=3)
        hold = Hold()
        self.behave(hold)
        busy = [c.in_background(0, "GET", "/orders/%d" % i) for i in range(3)]
        for _ in busy:
            hold.started.acquire()
        queued = c.in_background(0, "POST", "/orders", key="k")
        until(lambda: sum(a.metric("lychee_request_runs_total") for a in c.agents) >= 3, "runs")
        c.publish(c.endpoint(1, 3))
        hold.released.set()
        queued["thread"].join()
        self.assertEqual(queued["answer"][0], 200)
        status, headers, _ = c.request(1, "POST", "/orders", key="k")
        self.assertEqual((status, headers["lychee-replayed"]), (200, "1"))
        self.assertEqual(c.runs_of("k"), 1)
        for b in busy:
            b["thread"].join()
            self.assertEqual(b["answer"][0], 200)

    def test_home_whose_view_is_behind_refuses(self):
        c = self.make()
        ahead = [c.agents[0], c.agents[2]] + c.balancers
        c.publish(c.endpoint(1, 3), to=ahead)
        c.publish(c.endpoint(1, 2), to=ahead)
        behind = c.lines[-2:]
        keys = iter("behind-%d" % i for i in range(1000))

        def refused():
            key = next(keys)
            status, _, _ = c.request(0, "POST", "/orders", key=key,
                                     headers={"Lychee-Timeout-Ms": "400"})
            return key if status != 200 else None

        key = until(refused, "the newer view at two of the three homes")
        self.assertEqual(c.runs_of(key), 0)
        c.agents[1].append(behind)
        until(lambda: c.request(0, "POST", "/orders", key=key)[0] == 200, "one view everywhere")
        self.assertEqual(c.runs_of(key), 1)

    # --- deadlines and callers ---

    def test_deadline_while_running_frees_the_slot(self):
        c = self.make(slots=1, n_agents=1)
        hold = Hold()
        self.behave(hold)
        answer = c.request(0, "POST", "/orders", key="k", headers={"Lychee-Timeout-Ms": "300"})
        self.assert_unknown(answer, "k")
        until(hold.closed.is_set, "the backend server to see the cancellation")
        self.behave(None)
        self.assertEqual(c.request(0, "GET", "/orders/1")[0], 200)

    def test_deadline_while_queued_is_not_run(self):
        c = self.make(slots=1, n_agents=1)
        hold = Hold()
        self.behave(hold)
        busy = c.in_background(0, "GET", "/orders/1")
        hold.started.acquire()
        answer = c.request(0, "POST", "/orders", key="k", headers={"Lychee-Timeout-Ms": "300"})
        self.assert_not_run(answer, "k")
        hold.released.set()
        busy["thread"].join()
        self.assertEqual(busy["answer"][0], 200)
        self.assertEqual(c.runs_of("k"), 0)

    def test_caller_gone_while_running(self):
        c = self.make(slots=1, n_agents=1)
        hold = Hold()
        self.behave(hold)
        s = socket.create_connection((c.balancers[0].ip, c.balancers[0].settings["http_port"]))
        s.sendall(b"GET /orders/1 HTTP/1.1\r\nhost: x\r\n\r\n")
        hold.started.acquire()
        s.close()
        until(hold.closed.is_set, "the backend server to see the cancellation")
        self.behave(None)
        self.assertEqual(c.request(0, "GET", "/orders/2")[0], 200)

    def test_caller_gone_within_its_request(self):
        c = self.make(n_agents=1)
        s = socket.create_connection((c.balancers[0].ip, c.balancers[0].settings["http_port"]))
        s.sendall(b"POST /orders HTTP/1.1\r\nhost: x\r\nidempotency-key: half\r\n"
                  b"content-length: 100\r\n\r\nonly a part")
        s.close()
        self.assertEqual(c.request(0, "POST", "/orders", key="whole")[0], 200)
        self.assertEqual(c.runs_of("half"), 0)

    # --- bad input ---

    def test_malformed_frames_do_no_harm(self):
        c = self.make()
        self.assertEqual(c.request(0, "POST", "/orders", key="before")[0], 200)
        chance = random.Random(20261202)
        before = [a.metric("lychee_request_malformed_total") for a in c.agents]
        for i in range(3000):
            agent = c.agents[i % 3]
            if i == 0:
                s = [socket.create_connection((a.ip, a.settings["peer_port"])) for a in c.agents]
            payload = bytearray(chance.randbytes(chance.randrange(0, 120)))
            for at in range(0, len(payload), 7):  # make field tags and small lengths likely
                payload[at] = chance.choice((0x09, 0x11, 0x18, 0x22, 0x28, 0x3A, 0x4A, 0x52, 0x6A))
            frame = struct.pack(">HBBHHI", 0x4C43, 1, 0, chance.choice(
                (400, 401, 402, 410, 411, 412, 413, 420, 421, 422, 423, 424, 450)), 0, len(payload))
            try:
                s[i % 3].sendall(frame + bytes(payload))
            except OSError:
                s[i % 3] = socket.create_connection((agent.ip, agent.settings["peer_port"]))
        for connection in s:
            connection.close()
        until(lambda: all(a.metric("lychee_request_malformed_total") > b
                          for a, b in zip(c.agents, before)), "the bad frames to be counted")
        for p in c.agents + c.balancers:
            self.assertIsNone(p.popen.poll())
        self.assertEqual(c.request(0, "POST", "/orders", key="after")[0], 200)
        self.assertEqual((c.runs_of("before"), c.runs_of("after")), (1, 1))

    # --- planned stops ---

    def test_planned_stop_of_an_agent_cuts_nothing(self):
        c = self.make()
        hold = Hold()
        self.behave(hold)
        first = c.in_background(0, "POST", "/orders", key="k")
        hold.started.acquire()
        owner = self.owner("k")
        c.publish(c.endpoint(owner, 3))
        c.agents[owner].send_signal(signal.SIGTERM)
        self.behave(None)
        self.assertEqual(c.request(1, "GET", "/orders/1")[0], 200)
        self.assertIsNone(c.agents[owner].popen.poll())
        hold.released.set()
        first["thread"].join()
        self.assertEqual(first["answer"][0], 200)
        # The flow plane waits for the previous set to settle; control would commit this.
        c.publish("settled %d" % c.revision)
        self.assertEqual(c.agents[owner].popen.wait(20), 0)

    def test_planned_stop_of_a_balancer_cuts_nothing(self):
        c = self.make()
        hold = Hold()
        self.behave(hold)
        first = c.in_background(0, "POST", "/orders", key="k")
        hold.started.acquire()
        c.balancers[0].send_signal(signal.SIGTERM)
        until(lambda: c.balancers[0].read_log().count("app.draining"), "the drain to begin")
        hold.released.set()
        first["thread"].join()
        self.assertEqual(first["answer"][0], 200)
        self.assertEqual(c.balancers[0].popen.wait(20), 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
