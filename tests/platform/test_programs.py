#!/usr/bin/env python3
"""Command line of every program: exit codes, output, settings, reload and a stop by SIGTERM.

Usage: test_programs.py BUILD_DIR
"""
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

FOLDERS = {
    "lychee-agent": "src/agent",
    "lychee-balancer": "src/balancer",
    "lychee-bench": "bench",
    "lychee-control": "src/control",
    "lychee": "src/cli",
}
PROGRAMS = {name: os.path.join(sys.argv[1], folder, name) for name, folder in FOLDERS.items()}
DAEMONS = [name for name in PROGRAMS if name in ("lychee-agent", "lychee-balancer", "lychee-control")]
LIVENESS_S = 60


def free_address():
    """An address of 127.0.0.0/8 on which the daemons' ports are free."""
    while True:
        address = f"127.{random.randint(40, 250)}.{random.randint(0, 255)}.{random.randint(1, 254)}"
        try:
            for port in (7000, 7100, 8080, 9100):
                with socket.socket() as probe:
                    probe.bind((address, port))
            return address
        except OSError:
            continue


def settings(name, folder):
    address = free_address()
    common = {"name": "vm-1", "data_centre": "hall-atl", "address": address}
    if name == "lychee-agent":
        return common | {
            "service": "order-desk",
            "balancers": [f"{address}:7001"],
            "backend": {"http": f"{address}:8000", "feed": f"{address}:8001"},
        }
    if name == "lychee-balancer":
        return common | {"control": [f"{address}:7002"]}
    return common | {"data_folder": folder, "members": [f"{address}:7000"]}


def run(name, *args):
    return subprocess.run([PROGRAMS[name], *args], capture_output=True, text=True, timeout=LIVENESS_S)


class CommandLine(unittest.TestCase):
    # arguments, exit code, part of standard output, part of standard error
    CASES = [
        (["--help"], 0, "Usage: ", ""),
        (["--version"], 0, "0.1.0", ""),
        (["--no-such-option"], 2, "", ""),
    ]
    DAEMON_CASES = [
        (["--print-settings"], 0, "| field | type | range | unit | default | meaning |", ""),
        ([], 2, "", "remedy: give --settings"),
        (["--settings", "/nonexistent.json"], 2, "", "/nonexistent.json"),
        (["--settings", "/nonexistent.json", "--log-level", "loud"], 2, "", "debug, info, warn or error"),
    ]

    def check(self, name, case):
        args, code, out, err = case
        with self.subTest(program=name, args=args):
            result = run(name, *args)
            self.assertEqual(result.returncode, code, result.stderr)
            self.assertIn(out, result.stdout)
            self.assertIn(err, result.stderr)
            if code == 2:
                self.assertNotEqual(result.stderr, "")

    def test_all(self):
        for name in PROGRAMS:
            for case in self.CASES:
                self.check(name, case)

    def test_daemons(self):
        for name in DAEMONS:
            for case in self.DAEMON_CASES:
                self.check(name, case)


class Settings(unittest.TestCase):
    # change to valid settings, and the JSON path that the error must contain
    CASES = [
        (lambda s: s.update(colour="red"), "$.colour"),
        (lambda s: s.update(name=7), "$.name"),
        (lambda s: s.update(address="127.0.0"), "$.address"),
        (lambda s: s.update(peer_port=70000), "$.peer_port"),
        (lambda s: s.update(peer_port="7000"), "$.peer_port"),
        (lambda s: s.pop("name"), "$.name"),
    ]

    def write(self, folder, value):
        path = os.path.join(folder, "settings.json")
        with open(path, "w", encoding="utf-8") as out:
            out.write(value if isinstance(value, str) else json.dumps(value))
        return path

    def test_valid_settings_pass_the_check(self):
        for name in DAEMONS:
            with self.subTest(program=name), tempfile.TemporaryDirectory() as folder:
                result = run(name, "--settings", self.write(folder, settings(name, folder)), "--check")
                self.assertEqual((result.returncode, result.stderr), (0, ""))

    def test_invalid_settings_start_nothing(self):
        for name in DAEMONS:
            for change, path in self.CASES:
                with self.subTest(program=name, path=path), tempfile.TemporaryDirectory() as folder:
                    value = settings(name, folder)
                    change(value)
                    file = self.write(folder, value)
                    result = run(name, "--settings", file)
                    self.assertEqual(result.returncode, 2, result.stderr)
                    for part in (file, path, "remedy: "):
                        self.assertIn(part, result.stderr)
                    self.assertNotIn("app.started", result.stdout)

    def test_duplicate_name(self):
        for name in DAEMONS:
            with self.subTest(program=name), tempfile.TemporaryDirectory() as folder:
                text = json.dumps(settings(name, folder))
                file = self.write(folder, '{"name": "twice", ' + text[1:])
                result = run(name, "--settings", file)
                self.assertEqual(result.returncode, 2)
                self.assertIn("duplicate", result.stderr)


class Stop(unittest.TestCase):
    def test_sigterm_ends_with_0_and_log_is_json(self):
        for name in DAEMONS:
            with self.subTest(program=name), tempfile.TemporaryDirectory() as folder:
                file = os.path.join(folder, "settings.json")
                with open(file, "w", encoding="utf-8") as out:
                    json.dump(settings(name, folder) | {"drain_limit_ms": 2000}, out)
                with subprocess.Popen([PROGRAMS[name], "--settings", file], stdout=subprocess.PIPE, text=True) as p:
                    events = [json.loads(p.stdout.readline())["event"]]
                    while events[-1] != "app.started":
                        events.append(json.loads(p.stdout.readline())["event"])
                    p.send_signal(signal.SIGTERM)
                    rest, _ = p.communicate(timeout=LIVENESS_S)
                    lines = [json.loads(line) for line in rest.splitlines()]
                self.assertEqual(p.returncode, 0, rest)
                self.assertIn("app.draining", [line["event"] for line in lines])
                self.assertTrue(all(line["program"] == name for line in lines))


class Reload(unittest.TestCase):
    def wait_for(self, p, *wanted):
        for line in p.stdout:
            event = json.loads(line)["event"]
            if event in wanted:
                return event
        return None

    def test_reload_is_applied_whole_or_refused(self):
        for name in DAEMONS:
            with self.subTest(program=name), tempfile.TemporaryDirectory() as folder:
                file = os.path.join(folder, "settings.json")
                good = settings(name, folder) | {"drain_limit_ms": 2000}

                def write(text):
                    with open(file + ".new", "w", encoding="utf-8") as out:
                        out.write(text)
                    os.replace(file + ".new", file)

                write(json.dumps(good))
                with subprocess.Popen([PROGRAMS[name], "--settings", file], stdout=subprocess.PIPE, text=True) as p:
                    results = ("app.reloaded", "app.reload-refused")
                    self.wait_for(p, "app.started")
                    p.send_signal(signal.SIGHUP)
                    self.assertEqual(self.wait_for(p, *results), "app.reloaded")
                    write('{"name": 5}')
                    p.send_signal(signal.SIGHUP)
                    self.assertEqual(self.wait_for(p, *results), "app.reload-refused")
                    write(json.dumps(good | {"drain_limit_ms": 3000}))  # found without a signal
                    self.assertEqual(self.wait_for(p, *results), "app.reloaded")
                    p.send_signal(signal.SIGTERM)
                    p.communicate(timeout=LIVENESS_S)
                self.assertEqual(p.returncode, 0)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])
