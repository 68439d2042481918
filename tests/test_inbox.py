"""An inbox returns at its deadline, also where a signal reaches its thread while the process is stopped."""

from __future__ import annotations

import ctypes
import math
import os
import queue
import signal
import subprocess
import sys
import threading
import time

from capershelf.core.clock import Inbox, SystemClock
from tests.peers import PATIENCE_S

WAIT_MS = 300.0
CHILD = f"""
import signal, threading
from capershelf.core.clock import Inbox, SystemClock
from capershelf.signals import Signals

signals, clock = Signals([signal.SIGHUP]), SystemClock()
inbox = Inbox(clock)

def wait():
    print(threading.get_native_id(), flush=True)
    inbox.take(clock.now_ms() + {WAIT_MS})
    print("over", flush=True)

threading.Thread(target=wait).start()
signals.take()
"""


def test_a_wait_ends_though_its_deadline_passes_while_a_stopped_thread_is_signalled() -> None:
    child = subprocess.Popen([sys.executable, "-c", CHILD], stdout=subprocess.PIPE, text=True)
    try:
        assert child.stdout is not None
        thread = int(child.stdout.readline())
        time.sleep(0.3 * WAIT_MS / 1000.0)  # it waits by now
        os.kill(child.pid, signal.SIGSTOP)
        assert ctypes.CDLL(None).tgkill(child.pid, thread, int(signal.SIGHUP)) == 0
        time.sleep(2.0 * WAIT_MS / 1000.0)
        os.kill(child.pid, signal.SIGCONT)
        assert child.wait(PATIENCE_S) == 0 and child.stdout.readline() == "over\n"
    finally:
        child.kill()
        child.wait()


def test_every_item_of_several_threads_is_taken_once_and_in_their_order() -> None:
    inbox, count = Inbox[tuple[int, int]](SystemClock()), 2000

    def put_all(sender: int) -> None:
        for number in range(count):
            inbox.put((sender, number))

    threads = [threading.Thread(target=put_all, args=(sender,)) for sender in range(4)]
    for thread in threads:
        thread.start()
    taken: dict[int, list[int]] = {sender: [] for sender in range(4)}
    for _ in range(4 * count):
        item = inbox.take(SystemClock().now_ms() + 1000.0 * PATIENCE_S)
        assert item is not None
        taken[item[0]].append(item[1])
    assert all(numbers == list(range(count)) for numbers in taken.values()) and inbox.empty()


def test_a_wait_ends_at_its_deadline_or_when_woken() -> None:
    clock = SystemClock()
    inbox = Inbox[int](clock)
    inbox.put(1)
    assert inbox.take(-math.inf) == 1 and inbox.take(-math.inf) is None
    began_ms = clock.now_ms()
    assert inbox.take(began_ms + 30.0) is None and clock.now_ms() >= began_ms + 29.0
    woken: queue.SimpleQueue[int | None] = queue.SimpleQueue()
    threading.Thread(target=lambda: woken.put(inbox.take(math.inf)), daemon=True).start()
    inbox.wake()
    assert woken.get(timeout=PATIENCE_S) is None
