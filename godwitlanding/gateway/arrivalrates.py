"""How many requests a second callers send to this VM, by service."""

# Weight of the newest second: about the last three count, a twelfth of the
# waves that the load comes in.
_WEIGHT = 0.3


class ArrivalRates:
    """A running mean; ``update`` is called once a second."""

    def __init__(self):
        self._count_by_service = {}
        self.rate_by_service = {}

    def note(self, service):
        """Count a request."""
        self._count_by_service[service] = self._count_by_service.get(service, 0) + 1

    def get_total_rate(self):
        """Return the rate of all services together."""
        return sum(self.rate_by_service.values())

    def update(self):
        """Take what was counted since the last call as that of a second."""
        rate_by_service = {}
        for service in self._count_by_service.keys() | self.rate_by_service.keys():
            seen = self._count_by_service.get(service, 0)
            held = self.rate_by_service.get(service, seen)
            rate_by_service[service] = held + _WEIGHT * (seen - held)
        self.rate_by_service = rate_by_service
        self._count_by_service = {}
