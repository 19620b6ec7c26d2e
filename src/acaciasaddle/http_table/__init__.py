"""HTTP client of the project's own platform: table, object store and host list."""

from __future__ import annotations

from acaciasaddle.http_table._client import HttpPlatform

__all__ = ["HttpPlatform"]
