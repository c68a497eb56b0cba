"""Measures the rate of requests that callers send to this VM, by service."""

# Weight of the latest second in the moving average, which covers about the
# last three seconds: a twelfth of the period of the load's waves.
_WEIGHT = 0.3


class ArrivalRates:
    """Exponential moving averages; ``update`` is called once a second."""

    def __init__(self):
        self._count_by_service = {}
        self.rate_by_service = {}

    def note(self, service):
        """Count a request for ``service``."""
        self._count_by_service[service] = self._count_by_service.get(service, 0) + 1

    def get_total_rate(self):
        """Return the total rate of all services, in requests per second."""
        return sum(self.rate_by_service.values())

    def update(self):
        """Update the averages with the requests since the last call."""
        rate_by_service = {}
        for service in self._count_by_service.keys() | self.rate_by_service.keys():
            count = self._count_by_service.get(service, 0)
            mean = self.rate_by_service.get(service, count)
            rate_by_service[service] = mean + _WEIGHT * (count - mean)
        self.rate_by_service = rate_by_service
        self._count_by_service = {}
