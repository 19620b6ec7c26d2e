"""Entries of upstreams, and the sources of configurations and entries."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from acaciasaddle.routing import Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamIncarnation:
    """One start of an upstream. A restarted process has no keys and no state of the previous one.

    ``started_ms`` is the time of day of its start in milliseconds. It is only compared with that
    of other incarnations of the same upstream, so a wrong clock does no harm unless it gives a
    later incarnation an earlier start.
    """

    upstream_id: str
    started_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEntry:
    """An upstream as it registered itself.

    ``slots`` is the number of requests that it runs at a time. It remains slow for ``cold_s``
    seconds, counted from its report of this entry. A ``draining`` upstream takes no new work.
    ``life`` is its incarnation; the field is sent to other hosts under this name.
    """

    life: UpstreamIncarnation
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    cold_s: float

    @property
    def upstream_id(self) -> str:
        """The id under which it registered."""
        return self.life.upstream_id


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """The newest configuration, or ``None`` if there is none to apply.

    The next read starts at ``revision``. ``problem`` is the reason why a configuration was
    rejected, or empty.
    """

    revision: int
    configuration: Configuration | None
    problem: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RegistryChange:
    """Entries changed since a revision, or all entries if ``complete`` is true.

    The value of a removed or unusable entry is ``None``. ``problems`` are the reasons why entries
    were unusable. ``restored`` names the entries that may be from the older copy from which the
    store came back: their upstreams have not been seen to write them again.
    """

    revision: int
    complete: bool
    entries: Mapping[str, UpstreamEntry | None]
    problems: tuple[str, ...] = ()
    restored: frozenset[str] = frozenset()


class ConfigurationFeed(ABC):
    """The source of the operators' configuration. Failures raise ``PlatformError``."""

    @abstractmethod
    async def changes(self, *, since: int, wait_s: float) -> ConfigurationChange:
        """Return what changed after a revision, waiting for a change for up to ``wait_s`` seconds.

        With revision 0, return the current configuration without waiting.
        """


class Registry(ABC):
    """The registry in which upstreams register. Failures raise ``PlatformError``."""

    @abstractmethod
    async def changes(self, *, since: int) -> RegistryChange:
        """Return what changed after a revision (0: everything)."""
