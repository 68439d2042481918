"""The one thread of the stand-ins, and the ways between proxies and booking servers with their faults.

All of a day's stand-ins live on one Poller, so what they see has one order and one clock and needs no lock.
Every way (one proxy, one booking server) has a listener on an address of its own, in 127.0.0.0/8: who comes
is known by where it came to, and a fault can be laid on one way, one zone, one proxy or one booking server.
"""

from __future__ import annotations

import contextlib
import itertools
import select
import socket
import struct
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from capershelf.core.clock import SystemClock
from capershelf.net.poller import Poller

CHUNK = 65536
BEAT_MS = 10.0
BACKLOG, FILLERS = 64, 4
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing sends a reset


class StagePoller(Poller):
    """A stand-in that fails is the rig's fault: it must not pass for a proxy's."""

    def __init__(self, clock: SystemClock) -> None:
        super().__init__(clock, "stage")
        self.faults: list[str] = []

    def _run_logged(self, what: Callable[[], None]) -> None:
        try:
            what()
        except Exception:
            self.faults.append(traceback.format_exc())


class Stage:
    """The thread, its clock, and how late it was itself."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.poller = StagePoller(self.clock)
        self.late_ms = 0.0  # the most that a beat came after its time, since the last reset
        self.late_at_ms = 0.0
        self._beat_ms = self.now_ms
        self._beats = False

    @property
    def now_ms(self) -> float:
        return self.clock.now_ms()

    def after(self, delay_ms: float, what: Callable[..., None], *args: Any) -> None:
        self.poller.call_at(self.now_ms + delay_ms, lambda: what(*args))

    def watch_itself(self) -> None:
        """From here on note how late the thread is."""
        self._beats = True
        self._next_beat()

    def _next_beat(self) -> None:
        due_ms = self.now_ms + BEAT_MS

        def beat() -> None:
            if (late_ms := self.now_ms - due_ms) > self.late_ms:
                self.late_ms, self.late_at_ms = late_ms, self.now_ms
            self._next_beat()

        if self._beats:
            self.poller.call_at(due_ms, beat)


class Wire:
    """A connection of a stand-in: whole lines in, with the time of their first byte, and bytes out.

    Every line that came from a proxy is stamped when it was read, whatever the way then does with it.
    """

    def __init__(
        self,
        stage: Stage,
        sock: socket.socket,
        came: Callable[[bytes, float], None],
        ended: Callable[[], None],
    ) -> None:
        self.stage, self.sock, self._came, self._ended = stage, sock, came, ended
        self.open = True
        self._in = bytearray()
        self._first_ms = 0.0  # of what is in there
        self._out = bytearray()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stage.poller.register(sock, select.POLLIN, self._ready)

    def _ready(self, what: int) -> None:
        if self._out and what & select.POLLOUT:
            self._flush()
        if not self.open or not what & (select.POLLIN | select.POLLHUP | select.POLLERR):
            return
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            self._ended()
            return
        now_ms = self.stage.now_ms
        if not self._in:
            self._first_ms = now_ms
        self._in += data
        while self.open and (end := self._in.find(b"\n")) >= 0:
            line = bytes(self._in[:end])
            del self._in[: end + 1]
            first_ms, self._first_ms = self._first_ms, now_ms
            self._came(line, first_ms)

    def write(self, data: bytes) -> bool:
        """Whether all of it has been taken by the machine at once."""
        if not self.open:
            return False
        waits = bool(self._out)
        self._out += data
        if not waits:
            self._flush()
        return self.open and not self._out

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # its end is seen on reading
        waited = len(self._out) > sent
        del self._out[:sent]
        self.stage.poller.register(self.sock, select.POLLIN | (select.POLLOUT if waited else 0), self._ready)

    def close(self, reset: bool = False) -> None:
        """Without a word to the owner."""
        if self.open:
            self.open = False
            self.stage.poller.unregister(self.sock)
            if reset:
                with contextlib.suppress(OSError):
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.sock.close()


class Way:
    """Between one proxy and one booking server: a listener, its connections, and the fault laid on it.

    dark: cut off, and no sign of it: what is written is heard only once it is light again, new connections
    never come up.  delay_ms: each way.  lost: share of the booking server's messages that get lost, drawn by
    chance().  shut: nobody listens, as where a process has ended.
    """

    def __init__(
        self,
        stage: Stage,
        host: str,
        proxy: int,
        chance: Callable[[], float],
        life_of: Callable[[], int],
        arrived: Callable[[Passage], None],
    ) -> None:
        self.stage, self.proxy, self._chance, self._arrived = stage, proxy, chance, arrived
        self.life_of = life_of  # the proxy's life at this time
        self.dark, self.delay_ms, self.lost = False, 0.0, 0.0
        self.passages: list[Passage] = []
        self._fillers: list[socket.socket] = []
        self._doomed: list[Wire] = []  # whose other end is gone, which nobody has heard yet
        self._listens = True
        self._listener: socket.socket | None = socket.create_server((host, 0), backlog=BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._port = self._listener.getsockname()[1]
        self._host = host
        self._watch()

    def _watch(self) -> None:
        assert self._listener is not None
        self._listener.setblocking(False)
        self.stage.poller.register(self._listener, select.POLLIN, self._accept)

    def _accept(self, what: int) -> None:
        if self._listener is None:
            return
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        passage = Passage(self, sock)
        self.passages.append(passage)
        self._arrived(passage)

    def darken(self) -> None:
        """Cut off.  A queue that is full has the machine drop what knocks, as a lost machine would."""
        if self.dark:
            return
        self.dark = True
        if self._listener is None:
            return
        self.stage.poller.unregister(self._listener)
        self._listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)

    def lighten(self) -> None:
        if not self.dark:
            return
        self.dark = False
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        for wire in self._doomed:
            wire.close(reset=True)
        self._doomed.clear()
        if self._listener is not None:
            with contextlib.suppress(OSError):
                while True:  # the fillers, whose ends are gone
                    self._listener.accept()[0].close()
            self._listener.listen(BACKLOG)
            self._watch()
            if not self._listens:
                self.shut()
        for passage in list(self.passages):
            passage.go_on()

    def cut(self) -> None:
        """Reset every connection; in the dark nobody hears of it before it is light again."""
        for passage in list(self.passages):
            if self.dark:
                passage.orphan()
                self._doomed.append(passage.wire)
            else:
                passage.close(reset=True)

    def shut(self) -> None:
        """Nobody listens any more: what knocks is refused, in the dark once it is light again."""
        self._listens = False
        if self._listener is not None and not self.dark:
            self.stage.poller.unregister(self._listener)
            self._listener.close()
            self._listener = None

    def listen(self, arrived: Callable[[Passage], None] | None = None) -> None:
        """Listen again at the same address, for this booking server if another has taken it over."""
        self._arrived = arrived or self._arrived
        self._listens = True
        if self._listener is None:
            self._listener = socket.create_server((self._host, self._port), backlog=BACKLOG)
            self._watch()
            if self.dark:
                self.dark = False
                self.darken()

    def end(self) -> None:
        """The day is over."""
        self.lighten()
        self.shut()
        for passage in list(self.passages):
            passage.close()

    def lose(self) -> bool:
        return self.lost > 0.0 and self._chance() < self.lost


class Passage:
    """One connection on a way, as its booking server holds it."""

    def __init__(self, way: Way, sock: socket.socket) -> None:
        self.way, self.stage = way, way.stage
        self.came: Callable[[bytes, float, float], None] = lambda line, first_ms, read_ms: None
        self.ended: Callable[[float], None] = lambda at_ms: None
        self.life = 0
        self.stands_open = True
        self._in: deque[tuple[float, Callable[[], None]]] = deque()  # what is on its way, and until when
        self._out: deque[tuple[float, bytes, Callable[[bool], None] | None]] = deque()
        self._armed = False
        self.wire = Wire(self.stage, sock, self._line, self._over)

    @property
    def open(self) -> bool:
        return self.wire.open and self.stands_open

    def _line(self, line: bytes, first_ms: float) -> None:
        read_ms = self.stage.now_ms
        self._in.append((read_ms + self.way.delay_ms, lambda: self.came(line, first_ms, read_ms)))
        self.go_on()

    def _over(self) -> None:
        at_ms = self.stage.now_ms
        self._in.append((at_ms + self.way.delay_ms, lambda: self._gone(at_ms)))
        self.go_on()

    def _gone(self, at_ms: float) -> None:
        if self in self.way.passages:
            self.way.passages.remove(self)
            self.ended(at_ms)
        undone, self._out = self._out, deque()
        for _, _, done in undone:
            if done is not None:
                done(False)

    def say(self, data: bytes, done: Callable[[bool], None] | None = None, may_lose: bool = False) -> None:
        """Towards the proxy; done: told once whether the machine has taken it for the proxy."""
        if may_lose and self.way.lose():
            return
        self._out.append((self.stage.now_ms + self.way.delay_ms, data, done))
        self.go_on()

    def go_on(self) -> None:
        """Deliver what is due, both ways, in order."""
        if self.way.dark:
            return
        while self._in and self._in[0][0] <= self.stage.now_ms:
            self._in.popleft()[1]()
        while self._out and self._out[0][0] <= self.stage.now_ms:
            _, data, done = self._out.popleft()
            taken = self.open
            self.wire.write(data)
            if done is not None:
                done(taken)
        dues = [
            *(one[0] for one in itertools.islice(self._in, 1)),
            *(one[0] for one in itertools.islice(self._out, 1)),
        ]
        if dues and not self._armed:
            self._armed = True
            self.stage.poller.call_at(min(dues), self._due)

    def _due(self) -> None:
        self._armed = False
        self.go_on()

    def orphan(self) -> None:
        """The booking server's end is gone, which its proxy can't hear yet."""
        self.came, self.stands_open = (lambda line, first_ms, read_ms: None), False
        self._in.clear()
        self._gone(self.stage.now_ms)

    def close(self, reset: bool = False) -> None:
        """The booking server's end closes it; what was on its way to the server is lost."""
        self.wire.close(reset)
        self._in.clear()
        self._gone(self.stage.now_ms)
