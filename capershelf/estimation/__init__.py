"""What a sender can know of booking servers from little: estimates with their errors (docs/estimation.md)."""

from capershelf.estimation.cold_budget import ColdTokens
from capershelf.estimation.fleet_estimates import FleetEstimates, Timing
from capershelf.estimation.quotas import Quotas
from capershelf.estimation.rates import RATE_MS, Rate

__all__ = ["RATE_MS", "Quotas", "Rate", "FleetEstimates", "Timing", "ColdTokens"]
