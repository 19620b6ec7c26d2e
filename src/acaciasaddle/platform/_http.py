"""Client of the platform over HTTP."""

from __future__ import annotations


class HttpPlatform:
    """Client of the platform over HTTP."""
