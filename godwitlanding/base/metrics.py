"""OpenTelemetry counters, gauges and histograms, exported to Prometheus.

Every refusal and retry is counted with its reason, so that operators can
see from the counters alone why requests were refused. The metrics are
listed in ``docs/metrics.rst``.
"""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

# Upper bounds in seconds: a request occupies a slot for 5 ms to 30 s.
LATENCY_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 30)


class Counters:
    """The metrics of the process, created on first use and kept by name.

    >>> counters = Counters(make_meter("maz-a1", "entry"))
    >>> counters.add("requests_refused", code="QUEUE_FULL")
    >>> counters.get("requests_refused", code="QUEUE_FULL")
    1
    """

    def __init__(self, meter=None):
        self._meter = meter
        self._instrument_by_name = {}
        self._value_by_key = {}

    def add(self, name, amount=1, **labels):
        """Add ``amount`` to a counter with the given labels."""
        key = (name, tuple(sorted(labels.items())))
        self._value_by_key[key] = self._value_by_key.get(key, 0) + amount
        if self._meter:
            self._get(name, self._meter.create_counter).add(amount, labels)

    def record(self, name, value_s, **labels):
        """Record a duration in seconds in a histogram."""
        if self._meter:
            self._get(name, self._create_histogram).record(value_s, labels)

    def observe(self, name, read):
        """Create a gauge of ``read()``: a number, or a dict by label."""
        if not self._meter:
            return

        def callback(_):
            value = read()
            if isinstance(value, dict):
                return [Observation(v, {"of": k}) for k, v in value.items()]
            return [Observation(value)]

        self._meter.create_observable_gauge(name, [callback])

    def get(self, name, **labels):
        """Return the value of a counter, 0 if it was never incremented."""
        return self._value_by_key.get((name, tuple(sorted(labels.items()))), 0)

    def get_all(self):
        """Return the values of all counters by ``name{label=value,...}``."""
        result = {}
        for (name, labels), value in sorted(self._value_by_key.items()):
            inner = ",".join(f"{key}={label}" for key, label in labels)
            result[f"{name}{{{inner}}}"] = value
        return result

    def _get(self, name, create):
        if name not in self._instrument_by_name:
            self._instrument_by_name[name] = create(name)
        return self._instrument_by_name[name]

    def _create_histogram(self, name):
        return self._meter.create_histogram(
            name, unit="s", explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S
        )


def make_meter(vm, role):
    """Return a meter whose values ``render_metrics`` exports."""
    resource = Resource.create({"service.name": f"godwit-{role}", "host.name": vm})
    provider = MeterProvider([PrometheusMetricReader()], resource=resource)
    return provider.get_meter("godwitlanding")


def render_metrics():
    """Return all metrics of the process as Prometheus text (bytes)."""
    return generate_latest(REGISTRY)
