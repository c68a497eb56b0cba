"""The switches and counts of running stand-ins, over HTTP."""

import aiohttp

PLATFORM_PORT = 8000
CONTROL_PORT = 8001
_CALL_TIMEOUT_S = 5.0


class StandinClient:
    """Speaks to the stand-ins of one cluster at their control address."""

    def __init__(self, host):
        self.platform_url = f"http://{host}:{PLATFORM_PORT}"
        self.control_url = f"http://{host}:{CONTROL_PORT}"
        self._session = None

    async def call(self, method, url, body=None):
        """Return status and JSON body of any URL; 0 where none answers."""
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._session.request(method, url, json=body) as answer:
                return answer.status, await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None

    async def close(self):
        """Close every connection."""
        if self._session:
            await self._session.close()

    async def are_up(self):
        """Tell whether both stand-ins answer."""
        urls = (self.platform_url, self.control_url)
        answers = [await self.call("GET", f"{url}/standin/stats") for url in urls]
        return all(status == 200 for status, _ in answers)

    async def set_vms(self, rows):
        """Set the platform's true list of VMs."""
        await self._change(f"{self.platform_url}/standin/vms", {"vms": rows})

    async def set_faults(self, **faults):
        """Turn switches of the platform."""
        await self._change(f"{self.platform_url}/standin/faults", faults)

    async def take_snapshot(self):
        """Keep the platform's present state."""
        await self.call("POST", f"{self.platform_url}/standin/snapshot")

    async def restore(self):
        """Let the platform go back to the state kept."""
        await self.call("POST", f"{self.platform_url}/standin/restore")

    async def get_platform_stats(self):
        """Return how often the platform was called."""
        return (await self.call("GET", f"{self.platform_url}/standin/stats"))[1]

    async def change_upstream(self, upstream_id, **switches):
        """Turn switches of an upstream, or of ``all``."""
        url = f"{self.control_url}/standin/upstreams/{upstream_id}"
        if not (await self._change(url, switches))["changed"]:
            raise ValueError(f"no upstream {upstream_id}")

    async def crash_upstream(self, upstream_id, down_s):
        """Crash an upstream; it is away for ``down_s``."""
        url = f"{self.control_url}/standin/upstreams/{upstream_id}/crash"
        await self.call("POST", f"{url}?down_s={down_s}")

    async def get_upstream_stats(self):
        """Return each upstream's counts by its id."""
        return (await self.call("GET", f"{self.control_url}/standin/stats"))[1]

    async def get_executions(self):
        """Return how often each piece of non-idempotent work ran, by id."""
        url = f"{self.control_url}/standin/executions"
        return (await self.call("GET", url))[1]["by_id"]

    async def _change(self, url, body):
        status, answer = await self.call("PUT", url, body)
        if status != 200:
            raise ValueError(answer)
        return answer
