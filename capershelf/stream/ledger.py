"""Decides which version may replace the one in force, whichever service offers it.  No I/O.

Versions are numbered within an epoch.  A service that restarts its numbering must start a new epoch.  A
number lower than the acknowledged one is refused, and so is different content under a number already
seen: neither overrides the last good version.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_REMEMBERED = 64  # offers kept in each table (seen, rejected)


@dataclass(frozen=True, slots=True, order=True)
class VersionNumber:
    """The number of a version: a counter within an epoch."""

    epoch: int
    version: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.version}"


@dataclass(frozen=True, slots=True)
class OfferDecision:
    """What to do with an offer: fetch it, acknowledge it because it is in force, or refuse it.

    A refusal has a code and a text.
    """

    fetch: bool = False
    in_force: bool = False
    code: str = ""
    text: str = ""


class VersionHistory:
    """The versions that this proxy has acknowledged, refused and rolled back."""

    def __init__(self, good: VersionNumber | None = None, digest: str = "") -> None:
        self.good, self.digest = good, digest
        self._seen: OrderedDict[VersionNumber, tuple[str, str]] = OrderedDict()  # digest, offering service
        self._rejected: OrderedDict[tuple[VersionNumber, str], tuple[str, str]] = OrderedDict()

    def evaluate_offer(self, number: VersionNumber, digest: str, service: str) -> OfferDecision:
        """Decide what to do with an offer of this number and digest."""
        if self.good is not None:
            if number.epoch < self.good.epoch:
                return OfferDecision(code="old-epoch", text=f"{number} is older than {self.good}")
            if number == self.good and digest == self.digest:
                return OfferDecision(in_force=True)
            if number == self.good:
                text = f"{number} of {service} is not the text that was acknowledged under that number"
                return OfferDecision(code="disagree", text=text)
            if number < self.good:
                return OfferDecision(code="old-version", text=f"{number} is older than {self.good}")
        if (rejected := self._rejected.get((number, digest))) is not None:
            return OfferDecision(code=rejected[0], text=rejected[1])
        known = self._seen.get(number)
        if known is not None and known[0] != digest:
            text = f"{known[1]} and {service} tell of two texts under {number}"
            self._reject(number, known[0], "disagree", text)
            self._reject(number, digest, "disagree", text)
            return OfferDecision(code="disagree", text=text)
        self._seen[number] = (digest, service)
        self._evict_oldest()
        return OfferDecision(fetch=True)

    def mark_accepted(self, number: VersionNumber, digest: str) -> None:
        """Record that the version is in force here."""
        self.good, self.digest = number, digest

    def mark_refused(self, number: VersionNumber, digest: str, code: str, text: str) -> None:
        """Record a refusal: the version stays refused when it is offered again."""
        self._reject(number, digest, code, text)

    def roll_back(
        self,
        number: VersionNumber,
        digest: str,
        previous: VersionNumber | None,
        previous_digest: str,
        text: str,
    ) -> None:
        """Return to the previous version and refuse the harmful one from here on."""
        self.good, self.digest = previous, previous_digest
        self._reject(number, digest, "put-back", text)

    def _reject(self, number: VersionNumber, digest: str, code: str, text: str) -> None:
        self._rejected[number, digest] = code, text
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        for table in (self._seen, self._rejected):
            while len(table) > MAX_REMEMBERED:
                table.popitem(last=False)
