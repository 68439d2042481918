"""A list whose open watch falls silent without a close: given up at an absolute time, then asked anew."""

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
    """Takes a watch and never finishes its answer; notes each connection's watch, and when it is given up."""

    def __init__(self, says: bytes, trickles: bool) -> None:
        self.says, self.trickles = says, trickles
        self.asked: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.given_up: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        self.asked.put(sock.recv(4096).decode().split("watch=")[1].split("&")[0])
        with contextlib.suppress(OSError):
            sock.sendall(self.says)
            pause = threading.Event()
            while self.trickles:  # something comes all the time: each wait by itself is short
                sock.sendall(b" ")
                pause.wait(0.02)
            while sock.recv(4096):
                pass
        self.given_up.put(True)
        sock.close()


@pytest.mark.parametrize(
    ("says", "trickles"),
    [
        (b"", False),
        (b"HTTP/1.1 2", False),
        (HEAD + b'{"rev":', False),
        (HEAD, True),
        (b"HTTP/1.1 100 Continue\r\n\r\n", False),
    ],
    ids=["nothing", "half a head", "half a body", "a byte now and then", "only that it goes on"],
)
def test_a_watch_that_falls_silent_is_given_up_and_asked_for_on_a_new_connection(
    says: bytes, trickles: bool
) -> None:
    board = SilentBoard(says, trickles)
    clock = SystemClock()
    watcher = Board(board.address, {"rev": 7, "notices": []}, clock, lambda news: None)
    thread = threading.Thread(target=watcher.run, daemon=True)
    began_ms = clock.now_ms()
    thread.start()
    assert [board.asked.get(timeout=PATIENCE_S) for _ in range(2)] == ["7", "7"]
    assert board.given_up.get(timeout=PATIENCE_S)
    assert clock.now_ms() - began_ms >= LINGER_MS + ANSWER_GRACE_MS - 1.0, "before the board's time was over"
    watcher.stop()
    board.listener.close()
