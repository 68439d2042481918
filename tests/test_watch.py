"""A notice board that goes silent during a watch without closing the connection.

The watch must be given up at an absolute deadline and repeated on a new connection.
"""

from __future__ import annotations

import contextlib
import queue
import socket
import threading

import pytest

from capershelf.core.clock import SystemClock
from capershelf.registry.board import ANSWER_GRACE_MS, LINGER_MS, Board
from tests.peers import PATIENCE_S

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"


class SilentBoard:
    """Accepts watches but never completes a response; records each watch and each closed connection."""

    def __init__(self, response: bytes, keeps_sending: bool) -> None:
        self.response, self.keeps_sending = response, keeps_sending
        self.watches: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.closed: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        self.watches.put(sock.recv(4096).decode().split("watch=")[1].split("&")[0])
        with contextlib.suppress(OSError):
            sock.sendall(self.response)
            pause = threading.Event()
            while self.keeps_sending:  # keeps every single read short
                sock.sendall(b" ")
                pause.wait(0.02)
            while sock.recv(4096):
                pass
        self.closed.put(True)
        sock.close()


@pytest.mark.parametrize(
    ("response", "keeps_sending"),
    [
        (b"", False),
        (b"HTTP/1.1 2", False),
        (HEAD + b'{"rev":', False),
        (HEAD, True),
        (b"HTTP/1.1 100 Continue\r\n\r\n", False),
    ],
    ids=["nothing", "half a head", "half a body", "a byte now and then", "only that it goes on"],
)
def test_a_silent_watch_is_given_up_and_repeated_on_a_new_connection(
    response: bytes, keeps_sending: bool
) -> None:
    board = SilentBoard(response, keeps_sending)
    clock = SystemClock()
    watcher = Board(board.address, {"rev": 7, "notices": []}, clock, lambda news: None)
    thread = threading.Thread(target=watcher.run, daemon=True)
    start_ms = clock.now_ms()
    thread.start()
    assert [board.watches.get(timeout=PATIENCE_S) for _ in range(2)] == ["7", "7"]
    assert board.closed.get(timeout=PATIENCE_S)
    assert clock.now_ms() - start_ms >= LINGER_MS + ANSWER_GRACE_MS - 1.0, (
        "given up before the board's time was over"
    )
    watcher.stop()
    board.listener.close()
