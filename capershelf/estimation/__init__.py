"""One sender's estimates of booking servers: capacity, load, waits and quotas (docs/estimation.md)."""

from capershelf.estimation.cold_budget import ColdTokens
from capershelf.estimation.fleet_estimates import FleetEstimates, Timing
from capershelf.estimation.quotas import Quotas
from capershelf.estimation.rates import RATE_FADE_MS, Rate

__all__ = ["RATE_FADE_MS", "Quotas", "Rate", "FleetEstimates", "Timing", "ColdTokens"]
