"""The book of one proxy in its folder: the newest whole generation is read, the older one written over."""

from __future__ import annotations

from dataclasses import dataclass

from capershelf.memory.disk import Disk
from capershelf.memory.format import decode, encode
from capershelf.memory.generations import Generations, NewerError, RefusedError, SpoiltError
from capershelf.memory.records import Book


@dataclass(frozen=True, slots=True)
class Found:
    """What lies under one of the two names; book, or why there is none."""

    name: str
    book: Book | None
    problem: str = ""
    kind: str = ""  # spoilt, refused or newer


class Store:
    """One thread at a time; with a proxy's name only its own book is taken."""

    def __init__(self, disk: Disk, proxy: str, key: bytes | None) -> None:
        self._files, self._proxy, self._key = Generations(disk, "memory"), proxy, key

    def look(self) -> list[Found]:
        """Both generations as they are, newest first among the whole ones; nothing is changed."""
        found = []
        for name, data in self._files.read():
            try:
                book = decode(data, self._key)
                if self._proxy and book.proxy != self._proxy:
                    raise RefusedError(f"it is the memory of {book.proxy!r}")
                found.append(Found(name, book))
            except NewerError as problem:
                found.append(Found(name, None, str(problem), "newer"))
            except SpoiltError as problem:
                found.append(Found(name, None, str(problem), "spoilt"))
            except RefusedError as problem:
                found.append(Found(name, None, str(problem), "refused"))
        return sorted(found, key=lambda one: -1 if one.book is None else one.book.generation, reverse=True)

    def load(self) -> tuple[Book | None, list[str]]:
        """The newest whole book, and a line for each file that was set aside.

        NewerError where a later release has written here: then this one must neither read nor write.
        """
        said = []
        found = self.look()
        for one in found:
            if one.kind == "newer":
                raise NewerError(f"{one.name}: {one.problem}")
        for one in found:
            if one.book is None:
                kept = self._files.set_aside(one.name, one.kind)
                said.append(f"{one.name}: {one.problem}; kept as {kept}")
        return next((one.book for one in found if one.book is not None), None), said

    def save(self, book: Book) -> int:
        """Write it in place of the older generation; the bytes written.  OSError leaves both readable."""
        data = encode(book, self._key)
        self._files.write(book.generation, data)
        return len(data)
