"""HTTP client that reads counters and sets faults of running stand-ins."""

import aiohttp

PLATFORM_PORT = 8000
CONTROL_PORT = 8001
_CALL_TIMEOUT_S = 5.0


class StandinClient:
    """Controls the stand-ins of one cluster, which listen on ``host``."""

    def __init__(self, host):
        self.platform_url = f"http://{host}:{PLATFORM_PORT}"
        self.control_url = f"http://{host}:{CONTROL_PORT}"
        self._session = None

    async def call(self, method, url, body=None):
        """Return status and JSON body of a URL; status 0 if unreachable."""
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._session.request(method, url, json=body) as response:
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None

    async def close(self):
        """Close all connections."""
        if self._session:
            await self._session.close()

    async def are_up(self):
        """Tell whether both stand-ins respond."""
        urls = (self.platform_url, self.control_url)
        responses = [await self.call("GET", f"{url}/standin/stats") for url in urls]
        return all(status == 200 for status, _ in responses)

    async def set_vms(self, rows):
        """Set the platform's actual list of VMs."""
        await self._put(f"{self.platform_url}/standin/vms", {"vms": rows})

    async def set_faults(self, **faults):
        """Set faults of the platform."""
        await self._put(f"{self.platform_url}/standin/faults", faults)

    async def take_snapshot(self):
        """Let the platform save its current state."""
        await self.call("POST", f"{self.platform_url}/standin/snapshot")

    async def restore(self):
        """Restore the platform to the state saved by ``take_snapshot``."""
        await self.call("POST", f"{self.platform_url}/standin/restore")

    async def get_platform_stats(self):
        """Return the platform's call counters."""
        return (await self.call("GET", f"{self.platform_url}/standin/stats"))[1]

    async def change_upstream(self, upstream_id, **faults):
        """Set faults of an upstream, or of all with the id ``all``."""
        url = f"{self.control_url}/standin/upstreams/{upstream_id}"
        if not (await self._put(url, faults))["changed"]:
            raise ValueError(f"no upstream with id {upstream_id!r}")

    async def crash_upstream(self, upstream_id, down_s):
        """Crash an upstream, which stays down for ``down_s``."""
        url = f"{self.control_url}/standin/upstreams/{upstream_id}/crash"
        await self.call("POST", f"{url}?down_s={down_s}")

    async def get_upstream_stats(self):
        """Return the counters of each upstream by id."""
        return (await self.call("GET", f"{self.control_url}/standin/stats"))[1]

    async def get_executions(self):
        """Return how often each non-idempotent request ran, by id."""
        url = f"{self.control_url}/standin/executions"
        return (await self.call("GET", url))[1]["by_id"]

    async def _put(self, url, body):
        status, response = await self.call("PUT", url, body)
        if status != 200:
            raise ValueError(response)
        return response
