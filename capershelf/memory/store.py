"""Reads and writes one proxy's checkpoints: the newest valid generation is read, the older overwritten."""

from __future__ import annotations

from dataclasses import dataclass

from capershelf.memory.disk import Disk
from capershelf.memory.format import decode, encode
from capershelf.memory.generations import Generations, NewerFormatError, RejectedFileError, CorruptFileError
from capershelf.memory.records import Checkpoint


@dataclass(frozen=True, slots=True)
class FoundFile:
    """One of the two files: its checkpoint, or why it is unusable."""

    name: str
    checkpoint: Checkpoint | None
    problem: str = ""
    kind: str = ""  # spoilt, refused or newer


class Store:
    """Loads and saves the checkpoints of one proxy; not thread-safe.

    With a proxy's name only that proxy's checkpoints are accepted.
    """

    def __init__(self, disk: Disk, proxy: str, key: bytes | None) -> None:
        self._files, self._proxy, self._key = Generations(disk, "memory"), proxy, key

    def inspect(self) -> list[FoundFile]:
        """Read both generations without changing them, the newest valid one first."""
        files = []
        for name, data in self._files.read():
            try:
                checkpoint = decode(data, self._key)
                if self._proxy and checkpoint.proxy != self._proxy:
                    raise RejectedFileError(f"it is the memory of {checkpoint.proxy!r}")
                files.append(FoundFile(name, checkpoint))
            except NewerFormatError as problem:
                files.append(FoundFile(name, None, str(problem), "newer"))
            except CorruptFileError as problem:
                files.append(FoundFile(name, None, str(problem), "spoilt"))
            except RejectedFileError as problem:
                files.append(FoundFile(name, None, str(problem), "refused"))
        return sorted(
            files, key=lambda one: -1 if one.checkpoint is None else one.checkpoint.generation, reverse=True
        )

    def load(self) -> tuple[Checkpoint | None, list[str]]:
        """Return the newest valid checkpoint and a message for each quarantined file.

        Raises NewerFormatError if a later release wrote here: this one must then neither read nor write.
        """
        messages = []
        found = self.inspect()
        for one in found:
            if one.kind == "newer":
                raise NewerFormatError(f"{one.name}: {one.problem}")
        for one in found:
            if one.checkpoint is None:
                quarantined = self._files.quarantine(one.name, one.kind)
                messages.append(f"{one.name}: {one.problem}; kept as {quarantined}")
        return next((one.checkpoint for one in found if one.checkpoint is not None), None), messages

    def save(self, checkpoint: Checkpoint) -> int:
        """Replace the older generation; return the number of bytes.  After an OSError both are readable."""
        data = encode(checkpoint, self._key)
        self._files.write(checkpoint.generation, data)
        return len(data)
