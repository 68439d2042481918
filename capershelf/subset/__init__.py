"""Deterministic subsetting: each proxy connects to a bounded, even and stable part of each service's servers.

Pure: no clock is read and no socket used.  docs/subset.md describes the design.
"""

from capershelf.subset.membership import Membership, MembershipUpdate
from capershelf.subset.selection import Candidate, SubsetSizeError, check_size

__all__ = ["Candidate", "Membership", "MembershipUpdate", "SubsetSizeError", "check_size"]
