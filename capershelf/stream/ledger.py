"""Which version may follow which, whichever service tells of it.  Pure.

Versions are numbered within an epoch.  A service whose numbers begin again must begin a new epoch; a
number under one already acknowledged is refused, and so is another text under a number that was seen:
neither is believed over the last good version.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

REMEMBERED = 64  # versions seen, refused or put back


@dataclass(frozen=True, slots=True, order=True)
class Number:
    """A version's place: versions are counted within an epoch."""

    epoch: int
    version: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.version}"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of an offer: fetch it, or a code and a text for a refusal; have: it is in force here."""

    fetch: bool = False
    have: bool = False
    code: str = ""
    text: str = ""


class Ledger:
    """What this proxy has acknowledged, refused and put back."""

    def __init__(self, good: Number | None = None, digest: str = "") -> None:
        self.good, self.digest = good, digest
        self._seen: OrderedDict[Number, tuple[str, str]] = OrderedDict()  # digest, and who told of it
        self._bad: OrderedDict[tuple[Number, str], tuple[str, str]] = OrderedDict()

    def judge(self, number: Number, digest: str, service: str) -> Verdict:
        """What to do about an offer of this number with this digest."""
        if self.good is not None:
            if number.epoch < self.good.epoch:
                return Verdict(code="old-epoch", text=f"{number} is older than {self.good}")
            if number == self.good and digest == self.digest:
                return Verdict(have=True)
            if number == self.good:
                text = f"{number} of {service} is not the text that was acknowledged under that number"
                return Verdict(code="disagree", text=text)
            if number < self.good:
                return Verdict(code="old-version", text=f"{number} is older than {self.good}")
        if (bad := self._bad.get((number, digest))) is not None:
            return Verdict(code=bad[0], text=bad[1])
        known = self._seen.get(number)
        if known is not None and known[0] != digest:
            text = f"{known[1]} and {service} tell of two texts under {number}"
            self._note(number, known[0], "disagree", text)
            self._note(number, digest, "disagree", text)
            return Verdict(code="disagree", text=text)
        self._seen[number] = (digest, service)
        self._trim()
        return Verdict(fetch=True)

    def taken(self, number: Number, digest: str) -> None:
        """It is in force here."""
        self.good, self.digest = number, digest

    def refused(self, number: Number, digest: str, code: str, text: str) -> None:
        """It is not taken, now or later."""
        self._note(number, digest, code, text)

    def put_back(
        self, number: Number, digest: str, before: Number | None, before_digest: str, text: str
    ) -> None:
        """It was in force and did harm: the one before is in force again, and it is not taken once more."""
        self.good, self.digest = before, before_digest
        self._note(number, digest, "put-back", text)

    def _note(self, number: Number, digest: str, code: str, text: str) -> None:
        self._bad[number, digest] = code, text
        self._trim()

    def _trim(self) -> None:
        for table in (self._seen, self._bad):
            while len(table) > REMEMBERED:
                table.popitem(last=False)
