"""Support for the scenarios: fault matrix, simulations, scripted servers and process fleets."""

from __future__ import annotations
