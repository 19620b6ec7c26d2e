"""Support of the fault matrix: entry hosts, upstreams and a table in one trio program."""

from __future__ import annotations
