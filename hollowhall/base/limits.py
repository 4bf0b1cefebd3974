"""Resource limits of a process. The memory and descriptors that its settings allow are divided among the
connections of its HTTP listeners, the bodies of requests in flight and the record; the rest is for the
process itself. 0 means no limit. The operator's configuration may set how long a listener waits for a
client and how much it accepts from one."""

from dataclasses import dataclass, replace

from . import constants

MB = 1 << 20


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Bounds of one listener. `clients`: connections for any client; `priority`: further ones for requests with
    priority, which are workers' reports and operators' requests; `bodies`: bytes of bodies in flight, and as
    many again for requests with priority."""

    clients: int = 0
    priority: int = 0
    bodies: int = 0


@dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """Limits for one client, in seconds and bytes; 0 means no limit. `header_s`: from the connection or the
    first byte of a request, until its header is complete; `body_s`: from then until its body is;
    `idle_s`: between two requests."""

    header_s: float = 0.0
    body_s: float = 0.0
    idle_s: float = 0.0
    head_bytes: int = 0
    body_bytes: int = 0


def connection_bounds(settings):
    """The bounds of a daemon's listener, from its settings."""
    limits, bodies = [], 0
    if settings.descriptors:
        limits.append(
            settings.descriptors
            - max(constants.OWN_DESCRIPTORS, int(settings.descriptors * constants.OWN_DESCRIPTORS_FRACTION))
        )
    if settings.memory_mb:
        limits.append(
            int(settings.memory_mb * MB * constants.CONNECTIONS_MEMORY_FRACTION) // constants.CONNECTION_BYTES
        )
        bodies = int(settings.memory_mb * MB * constants.BODIES_MEMORY_FRACTION)
    total = max(constants.LISTENER_CONNECTIONS_MIN, min(limits)) if limits else 0
    spare = int(total * constants.PRIORITY_CONNECTIONS_FRACTION)
    return Bounds(clients=total - spare, priority=spare, bodies=bodies)


def bounds_for_one_kind(bounds):
    """The bounds of a listener whose clients are all of one kind: nearly all connections are for any client,
    the rest for answering those that are refused."""
    reserved = min(bounds.priority, max(constants.REFUSAL_CONNECTIONS, bounds.priority // 4))
    return replace(bounds, clients=bounds.clients + bounds.priority - reserved, priority=reserved)


def client_limits(*, settings, limits):
    """The limits for clients: the operator's `limits` (milliseconds and bytes), or defaults for a process
    with resource limits."""
    limited = bool(settings.descriptors or settings.memory_mb)
    header = limits.get("headerMs", 0) / 1000 or limited * constants.HEADER_TIMEOUT
    idle = limits.get("idleMs", 0) / 1000 or limited * constants.IDLE_TIMEOUT
    return ClientLimits(
        header_s=header,
        body_s=max(header, limited * constants.BODY_TIMEOUT),
        idle_s=idle,
        head_bytes=limits.get("headerBytes", 0),
        body_bytes=limits.get("bodyBytes", 0),
    )


def record_bytes(settings):
    """Bytes; size of the record from which new jobs are refused. 0: no limit."""
    return int(settings.memory_mb * MB * constants.RECORD_MEMORY_FRACTION)
