"""The gateway's metrics, kept with prometheus_client in a separate registry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest


class Gauges:
    """The gateway's counters, gauges and latency histogram."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.answered = Counter(
            "hollowhall_asks", "Asks answered", ["method", "status"], registry=self.registry
        )
        self.shed_requests = Counter("hollowhall_shed", "Asks shed under a crowd", registry=self.registry)
        self.in_flight = Gauge("hollowhall_in_flight", "Asks in the slab", registry=self.registry)
        self.lag = Gauge(
            "hollowhall_loop_lag_seconds", "How late the loop comes round", registry=self.registry
        )
        self.version = Gauge("hollowhall_charter_version", "Charter held", registry=self.registry)
        self.admitted_jobs = Counter(
            "hollowhall_tenant_admitted", "Jobs of a tenant admitted here", ["tenant"], registry=self.registry
        )
        self.refused_jobs = Counter(
            "hollowhall_tenant_refused",
            "Jobs refused for a tenant's budget",
            ["tenant"],
            registry=self.registry,
        )
        self.unauthorized_calls = Counter(
            "hollowhall_unauthorized", "Calls without a key that a tenant has", registry=self.registry
        )
        self.seconds = Histogram(
            "hollowhall_ask_seconds",
            "From ask to outcome",
            registry=self.registry,
            buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5),
        )

    def count(self, method, status, seconds):
        self.answered.labels(method, str(status)).inc()
        self.seconds.observe(seconds)

    def admitted(self, tenant):
        self.admitted_jobs.labels(tenant).inc()

    def refused(self, tenant):
        self.refused_jobs.labels(tenant).inc()

    def unauthorized(self):
        self.unauthorized_calls.inc()

    def shed(self, lane):
        self.shed_requests.inc()

    def set_load(self, *, n, lag):
        self.in_flight.set(n)
        self.lag.set(lag)

    def text(self, *, version):
        """All metrics in the Prometheus text format. version: of the configuration held."""
        self.version.set(version)
        return generate_latest(self.registry).decode()
