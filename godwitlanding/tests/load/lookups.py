"""Measures steer look-ups over persistent connections.

It runs as a separate process, so that the process under test has a CPU core
of its own: ``python -m godwitlanding.tests.load.lookups --help``.
"""

import argparse
import asyncio
import json
import random
import sys
import time


class Connection(asyncio.Protocol):
    """A persistent connection that sends one request at a time."""

    def __init__(self, requests, latencies):
        self.answered = 0
        self.bad = 0
        self._requests = requests
        self._latencies = latencies
        self._data = b""
        self._sent_at = 0.0

    def connection_made(self, transport):
        self._transport = transport
        self._send()

    def data_received(self, data):
        self._data += data
        head, separator, body = self._data.partition(b"\r\n\r\n")
        if not separator or len(body) < _parse_content_length(head):
            return
        self._data = b""
        self._latencies.append(time.perf_counter() - self._sent_at)
        self.answered += 1
        self.bad += not head.startswith(b"HTTP/1.1 200")
        self._send()

    def _send(self):
        self._sent_at = time.perf_counter()
        self._transport.write(next(self._requests))


def _parse_content_length(head):
    _, _, rest = head.lower().partition(b"content-length:")
    return int(rest.split(b"\r\n")[0])


def make_requests(services, seed):
    """Yield look-ups from callers with random IPv4 addresses."""
    rng = random.Random(seed)
    prepared = []
    for _ in range(20_000):
        address = ".".join(map(str, rng.randrange(1 << 24, 1 << 32).to_bytes(4)))
        service = rng.choice(services)
        prepared.append(
            f"GET /v1/steer/{service} HTTP/1.1\r\nHost: steer\r\n"
            f"X-Caller: {address}\r\n\r\n".encode()
        )
    while True:
        yield from prepared


async def measure(arguments):
    """Send look-ups for the given time; return counts and latencies."""
    loop = asyncio.get_running_loop()
    latencies = []
    requests = make_requests(arguments.services.split(","), arguments.seed)
    connections = []
    for _ in range(arguments.connections):
        _, connection = await loop.create_connection(
            lambda: Connection(requests, latencies), arguments.host, arguments.port
        )
        connections.append(connection)
    await asyncio.sleep(arguments.warm_s)
    answered_before = sum(c.answered for c in connections)
    latencies.clear()
    started = time.perf_counter()
    await asyncio.sleep(arguments.seconds)
    took_s = time.perf_counter() - started
    answered = sum(c.answered for c in connections) - answered_before
    ordered = sorted(latencies)
    return {
        "answered": answered,
        "in_all": sum(c.answered for c in connections),
        "bad": sum(c.bad for c in connections),
        "per_s": answered / took_s,
        "p50_ms": ordered[len(ordered) // 2] * 1000,
        "p99_ms": ordered[len(ordered) * 99 // 100] * 1000,
    }


def parse_arguments(argv=None):
    """Return the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument(
        "--services", required=True, help="Comma-separated service names"
    )
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--warm-s", type=float, default=2.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(argv)


def main(argv=None):
    """Print the counts and latencies as a line of JSON."""
    print(json.dumps(asyncio.run(measure(parse_arguments(argv)))))


if __name__ == "__main__":
    sys.exit(main())
