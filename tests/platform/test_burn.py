#!/usr/bin/env python3
"""Tests `lychee burn` against fake control and processes, each on its own address.

Usage: test_burn.py PATH_OF_LYCHEE
"""
import html.parser
import http.server
import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import unittest

LYCHEE = sys.argv[1]
COUNTERS = ["good", "late", "refused", "unknown", "failed", "flow_opened", "flow_ended", "flow_broken", "flow_refused"]
SECOND = 1_000_000


class FakeServer(http.server.ThreadingHTTPServer):
    """Serves each path of `pages` as JSON (or raw bytes) on one address."""

    daemon_threads = True

    def __init__(self, address, pages):
        self.pages = pages
        super().__init__((address, 0 if not pages.get("port") else pages["port"]), Handler)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()


class Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        page = self.server.pages.get(self.path)
        body = page if isinstance(page, bytes) else json.dumps(page).encode()
        self.send_response(404 if page is None else 200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


def sample(uptime_s, **counts):
    return [uptime_s * SECOND] + [counts.get(name, 0) for name in COUNTERS]


def history(process, data_centre, samples, instance=1, weight=0, service="order-desk", uptime_s=600):
    return {
        "instance": f"{instance:016x}", "process": process, "data_centre": data_centre,
        "weight_percent": weight, "uptime_us": uptime_s * SECOND, "counters": COUNTERS,
        "services": [{"name": service, "samples": samples}],
    }


class Site:
    """Fake control and processes; `processes` maps a name to its answer, None if it is down."""

    def __init__(self, processes):
        block = f"127.{random.randint(40, 250)}.{random.randint(0, 255)}"
        self.servers = []
        first = FakeServer(f"{block}.1", {})
        self.port = first.server_address[1]  # all processes share one admin port
        first.shutdown()
        first.server_close()
        listed = []
        self.fakes = {}
        for i, (name, answer) in enumerate(processes.items()):
            address = f"{block}.{i + 10}"
            listed.append({"name": name, "address": f"{address}:7000"})
            if answer is not None:
                self.fakes[name] = FakeServer(address, {"port": self.port, "/v1/burn": answer})
                self.servers.append(self.fakes[name])
        status = {
            "data_centres": [{"name": "hall-atl"}, {"name": "hall-bhm"}],
            "services": [{"name": "order-desk", "objective_ppm": 999000, "objective_latency_ms": 500}],
            "balancers": listed, "endpoints": [],
        }
        control = FakeServer(f"{block}.2", {"/v1/status": status})
        self.servers.append(control)
        self.control = "%s:%d" % control.server_address

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def burn(self, *args):
        return subprocess.run(
            [LYCHEE, "burn", "--control", self.control, "--admin-port", str(self.port), *args],
            capture_output=True, text=True, timeout=60)

    def report(self, data_centre=None, *args):
        result = self.burn("--json", *args)
        assert result.returncode == 0, result.stderr
        answer = json.loads(result.stdout)
        one = [r for r in answer["reports"] if r["data_centre"] == data_centre][0]
        one["by_window"] = {w["window"]: w for w in one["windows"]}
        return answer, one


class Burn(unittest.TestCase):
    def test_sums_over_processes_and_data_centres(self):
        with Site({
            "lb-1": history("lb-1", "hall-atl", [sample(0), sample(600, good=700, failed=7)], 1),
            "lb-2": history("lb-2", "hall-bhm", [sample(0), sample(600, good=300)], 2),
        }) as site:
            _, whole = site.report()
            self.assertEqual(whole["by_window"]["1h"]["counts"]["good"], 1000)
            self.assertAlmostEqual(whole["by_window"]["1h"]["request_burn_rate"], 7 / 1007 / 0.001, places=3)
            self.assertEqual(site.report("hall-bhm")[1]["by_window"]["3d"]["counts"]["good"], 300)

    def test_a_restart_is_neither_negative_nor_counted_twice(self):
        with tempfile.TemporaryDirectory() as folder:
            kept = os.path.join(folder, "history")
            with Site({"lb-1": history("lb-1", "hall-atl", [sample(0), sample(600, good=500)], 1)}) as site:
                site.report(None, "--history", kept)
                _, again = site.report(None, "--history", kept)
                self.assertEqual(again["by_window"]["1h"]["counts"]["good"], 500)
                # The process has restarted: new instance, counts from zero.
                site.fakes["lb-1"].pages["/v1/burn"] = history(
                    "lb-1", "hall-atl", [sample(0), sample(5, good=20)], 9, uptime_s=5)
                _, after = site.report(None, "--history", kept)
                self.assertEqual(after["by_window"]["1h"]["counts"]["good"], 520)
                for window in after["windows"]:
                    self.assertTrue(all(n >= 0 for n in window["counts"].values()), window)

    def test_urgency_and_fail_on_page(self):
        with Site({"lb-1": history("lb-1", "hall-atl", [sample(0), sample(600, good=900, refused=100)])}) as site:
            self.assertEqual(site.report()[1]["requests"], "page")
            self.assertEqual(site.burn().returncode, 0)
            self.assertEqual(site.burn("--fail-on-page").returncode, 1)
            self.assertIn("page", site.burn().stdout)

    def test_flows_and_imbalance(self):
        with Site({
            f"desk-{i}": history(f"desk-{i}", "hall-atl", [sample(0), sample(600, flow_opened=n)], i + 1, 100)
            for i, n in enumerate((30, 10, 20))
        }) as site:
            _, whole = site.report()
            self.assertEqual(whole["flows"], "quiet")
            self.assertAlmostEqual(whole["imbalance_mean"], 1.5, places=2)

    def test_unanswered_and_malformed_are_reported(self):
        bad = [b"not JSON", {"instance": 5}, {"instance": "1", "process": "x", "data_centre": "y", "counters": []},
               history("x", "hall-atl", [["a"]]), history("x", "hall-atl", [[1, -1] + [0] * 8])]
        processes = {f"bad-{i}": answer for i, answer in enumerate(bad)}
        processes |= {"lb-1": history("lb-1", "hall-atl", [sample(0), sample(600, good=10)]), "down": None}
        with Site(processes) as site:
            answer, whole = site.report()
            self.assertEqual(whole["by_window"]["1h"]["counts"]["good"], 10)
            self.assertEqual(answer["malformed"], len(bad) - 1)
            self.assertEqual([text.split()[0] for text in answer["unheard"]], ["bad-0", "down"])

    def test_html_is_well_formed_and_loads_nothing(self):
        with tempfile.TemporaryDirectory() as folder, Site({
            "lb-<1>&": history("lb-<1>&", "hall-atl", [sample(0), sample(600, good=90, late=3)])
        }) as site:
            page = os.path.join(folder, "burn.html")
            self.assertEqual(site.burn("--html", page).returncode, 0)
            with open(page, encoding="utf-8") as file:
                text = file.read()
            open_tags = []

            class Tags(html.parser.HTMLParser):
                def handle_starttag(self, tag, attrs):
                    assert tag not in ("script", "link", "img", "iframe"), tag
                    assert not any(value and "://" in value for _, value in attrs), attrs
                    if tag != "meta":
                        open_tags.append(tag)

                def handle_endtag(self, tag):
                    assert open_tags.pop() == tag, tag

            Tags().feed(text)
            self.assertEqual(open_tags, [])
            self.assertEqual(text.count("<svg"), 3)

    def test_wrong_arguments(self):
        with Site({}) as site:
            cases = [(["--service", "no-such"], 1, "lychee status"), (["--history", "/nonexistent/h"], 1, "--history"),
                     (["--html", "/nonexistent/h"], 1, "--html"), (["--no-such"], 2, "")]
            for args, code, text in cases:
                with self.subTest(args=args):
                    result = site.burn(*args)
                    self.assertEqual(result.returncode, code, result.stderr)
                    self.assertIn(text, result.stderr)

    def test_malformed_history_file(self):
        with tempfile.TemporaryDirectory() as folder, Site({}) as site:
            path = os.path.join(folder, "history")
            with open(path, "w", encoding="utf-8") as file:
                file.write("nonsense\n")
            result = site.burn("--history", path)
            self.assertEqual(result.returncode, 1)
            self.assertIn("line 1", result.stderr)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])
