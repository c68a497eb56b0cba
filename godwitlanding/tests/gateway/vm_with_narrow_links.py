"""A ``godwit-vm`` whose peers reach it through a ``NarrowLink``.

It listens for peers on another port, and connects from its own address, so
that the links know which VM connects.
"""

import asyncio
import sys
import tomllib
from pathlib import Path

from godwitlanding import vm
from godwitlanding.base.wire import Server
from godwitlanding.tests.gateway.narrow_links import PORT_OFFSET

STORE_PORT = 8541


def install(ip):
    """Let connections from and to peers and the store pass their links."""
    original_start = Server.start
    original_open = asyncio.open_connection
    original_connect = asyncio.BaseEventLoop.create_connection

    async def start(self, host, port):
        await original_start(self, host, port + PORT_OFFSET)

    async def open_connection(host, port, **options):
        return await original_open(host, port, local_addr=(ip, 0), **options)

    async def create_connection(self, factory, host=None, port=None, **options):
        if port == STORE_PORT:
            options["local_addr"] = (ip, 0)
        return await original_connect(self, factory, host, port, **options)

    Server.start = start
    asyncio.open_connection = open_connection
    asyncio.BaseEventLoop.create_connection = create_connection


def main():
    """Run the program behind its links."""
    path = Path(sys.argv[sys.argv.index("--settings") + 1])
    install(tomllib.loads(path.read_text())["self"]["ip"])
    return vm.main()


if __name__ == "__main__":
    sys.exit(main())
