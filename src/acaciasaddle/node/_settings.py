"""Settings of a routing node: JSON with comment lines, validated when the node starts."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import ConfigError
from acaciasaddle.json_comments import strip_comment_lines

if TYPE_CHECKING:
    import os

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
"""``ip:port`` with a numeric IPv4 address."""
Seconds = Annotated[float, msgspec.Meta(gt=0)]


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform guarantees or requires; times are in seconds.

    ``grace_s`` is the time between the signal to stop and a kill, ``max_lease_s`` the longest lease
    that a grant may give. Repeats of requests to a service are limited to ``repeat_ratio`` of the
    requests and ``repeat_slack`` more for all hosts in any ``repeat_window_s`` seconds.
    """

    grace_s: Seconds = 6.0
    max_lease_s: Seconds = 10.0
    repeat_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    repeat_window_s: Seconds = 10.0
    repeat_slack: Annotated[float, msgspec.Meta(ge=0)] = 64.0


COORDINATOR_BANDWIDTH_MBPS = 50.0
COORDINATOR_CORES = 0.6
"""Hosts with less bandwidth or fewer cores leave a free coordinator role to others for some time.
While many keys move, a coordinator of 70 hosts and 300 upstreams needs this much to spare: it sends
its state to all hosts several times per second, and an order for each of up to 1,200 spans every
0.8 s."""
WEAK_HOST_DELAY_S = 0.5
"""Time for which a host with less capacity leaves a free coordinator role to others."""


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of the host: processor time in cores, the bandwidth of its network link, and memory.

    A process that exceeds ``memory_mb``, in MB of 10^6 bytes, may be killed.
    """

    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    bandwidth_mbps: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 200.0

    @property
    def takeover_delay_s(self) -> float:
        """Time for which the host leaves a free coordinator role to stronger hosts."""
        strong = (
            self.cores >= COORDINATOR_CORES and self.bandwidth_mbps >= COORDINATOR_BANDWIDTH_MBPS
        )
        return 0.0 if strong else WEAK_HOST_DELAY_S


class Statsd(msgspec.Struct, frozen=True, kw_only=True):
    """A statsd daemon that also receives the counters and timers, but not the gauges.

    Lost datagrams are not detected.
    """

    host: str = "127.0.0.1"
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)] = 8125
    prefix: str = "acaciasaddle"


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one node.

    ``ports`` are the first and the last port reserved for messages between nodes; the first one is
    used. Metrics are served on ``metrics_address``, if it is given.
    """

    host_id: str
    data_centre: str
    caller_address: Address
    readiness_address: Address
    ip: str
    ports: tuple[int, int]
    platform_address: Address
    metrics_address: Address | None = None
    statsd: Statsd | None = None
    bounds: Bounds = Bounds()
    capacity: Capacity = Capacity()
    log_level: Literal["debug", "info", "warning"] = "info"


_MISSING_VALUE = re.compile(r'("[a-z_]+":)(?=\s*[,}])')


def load_node_settings(path: str | os.PathLike[str]) -> NodeSettings:
    """Read the settings of a node; unknown fields are ignored.

    A field that has a default may be ``null`` or lack its value: the template renders nothing for a
    limit that a deployment does not set.

    Raises ``ConfigError`` if the file cannot be read or a field is not valid.
    """
    source = str(path)
    try:
        text = strip_comment_lines(Path(path).read_text(encoding="utf-8"))
        fields = msgspec.json.decode(_MISSING_VALUE.sub(r"\1 null", text))
        return msgspec.convert(_without_nulls(fields, NodeSettings), type=NodeSettings)
    except OSError as exc:
        reason = exc.strerror or str(exc)
    except DECODING_ERRORS as exc:
        reason = str(exc)
    raise ConfigError(
        f"the settings cannot be loaded: {reason}",
        problems=(f"{source}: {reason}",),
        step="settings.load",
        peer=source,
    )


def _without_nulls(fields: Any, struct: type[msgspec.Struct]) -> Any:
    """Return the fields of a struct without those that are ``None`` and have a default."""
    if not isinstance(fields, dict):
        return fields
    kept = dict(fields)
    for field in msgspec.structs.fields(struct):
        value = kept.get(field.name)
        if value is None and not field.required:
            kept.pop(field.name, None)
        elif isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            kept[field.name] = _without_nulls(value, field.type)
    return kept
