"""Deterministic subsetting: each proxy links to a bounded, even, stable part of each service's servers.

Pure: nothing here reads a clock or touches a socket.  docs/subset.md has the design.
"""

from capershelf.subset.membership import Membership, Update
from capershelf.subset.selection import Candidate, SubsetSizeError, check_size

__all__ = ["Candidate", "Membership", "SubsetSizeError", "Update", "check_size"]
