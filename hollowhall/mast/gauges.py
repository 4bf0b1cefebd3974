"""A mast's figures, kept with prometheus_client in a registry of its own."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest


class Gauges:
    def __init__(self):
        self.reg = CollectorRegistry()
        self.asks = Counter("hollowhall_asks", "Asks answered", ["method", "status"], registry=self.reg)
        self.shed_n = Counter("hollowhall_shed", "Asks shed under a crowd", registry=self.reg)
        self.inflight = Gauge("hollowhall_in_flight", "Asks in the slab", registry=self.reg)
        self.lag = Gauge("hollowhall_loop_lag_seconds", "How late the loop comes round", registry=self.reg)
        self.version = Gauge("hollowhall_charter_version", "Charter held", registry=self.reg)
        self.admitted_n = Counter(
            "hollowhall_tenant_admitted", "Jobs of a tenant admitted here", ["tenant"], registry=self.reg
        )
        self.refused_n = Counter(
            "hollowhall_tenant_refused", "Jobs refused for a tenant's budget", ["tenant"], registry=self.reg
        )
        self.unauthorized_n = Counter(
            "hollowhall_unauthorized", "Calls without a key that a tenant has", registry=self.reg
        )
        self.secs = Histogram(
            "hollowhall_ask_seconds",
            "From ask to outcome",
            registry=self.reg,
            buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5),
        )

    def count(self, method, status, secs):
        self.asks.labels(method, str(status)).inc()
        self.secs.observe(secs)

    def admitted(self, tenant):
        self.admitted_n.labels(tenant).inc()

    def refused(self, tenant):
        self.refused_n.labels(tenant).inc()

    def unauthorized(self):
        self.unauthorized_n.inc()

    def shed(self, lane):
        self.shed_n.inc()

    def flight(self, *, n, lag):
        self.inflight.set(n)
        self.lag.set(lag)

    def text(self, *, version):
        self.version.set(version)
        return generate_latest(self.reg).decode()
