"""What a sender can know of booking servers from little: estimates with their errors (docs/sight.md)."""

from capershelf.sight.cold import Turns
from capershelf.sight.fleet import Sight, Terms
from capershelf.sight.quotas import Quotas
from capershelf.sight.rates import RATE_MS, Rate

__all__ = ["RATE_MS", "Quotas", "Rate", "Sight", "Terms", "Turns"]
