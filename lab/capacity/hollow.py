"""Hollow peers in processes of their own, asked over a pipe.

A peer answers a command with a value; commands and answers are dataclasses of the module that defines the
peer.  The process ends when its pipe is closed, so none outlives the experiment.
"""

from __future__ import annotations

import multiprocessing
import resource
import time
from collections.abc import Callable
from multiprocessing.connection import Connection as Pipe
from multiprocessing.process import BaseProcess
from typing import Any, Protocol

from lab.capacity.event_loop import EventLoop
from lab.capacity.process_stats import ProcessStats, process_stats

ANSWER_S = 120.0  # a peer that has not answered a command by then has failed
READ_MASK = 1  # EPOLLIN


class HollowPeerError(RuntimeError):
    """A hollow peer ended or did not answer: see its output above; fewer peers may be needed."""


class Peer(Protocol):
    """What lives in the process."""

    def command(self, command: Any) -> Any:
        """Carry it out; the answer must be pickled."""


def raise_descriptor_limit() -> None:
    """Take as many descriptors as the system lets this process have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def _process(pipe: Pipe, make: Callable[[EventLoop, Any], Peer], options: Any) -> None:
    raise_descriptor_limit()
    loop = EventLoop()
    peer = make(loop, options)

    def commanded(mask: int) -> None:
        try:
            pipe.send(peer.command(pipe.recv()))
        except (EOFError, BrokenPipeError):
            loop.stopped = True

    loop.watch(pipe.fileno(), READ_MASK, commanded)
    while not loop.stopped:
        loop.step(time.monotonic() + 1.0)


class HollowProcess:
    """A running process of hollow peers, from the experiment's side."""

    def __init__(self, make: Callable[[EventLoop, Any], Peer], options: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self._process: BaseProcess = context.Process(
            target=_process, args=(theirs, make, options), daemon=True
        )
        self._process.start()
        theirs.close()

    def ask(self, command: Any) -> Any:
        """Have a command carried out; HollowPeerError if the peer has failed."""
        try:
            self._pipe.send(command)
            if not self._pipe.poll(ANSWER_S):
                raise HollowPeerError(f"no answer to {type(command).__name__} in {ANSWER_S:.0f} s")
            return self._pipe.recv()
        except (EOFError, OSError) as problem:
            raise HollowPeerError(f"{type(command).__name__}: the process has ended") from problem

    def stats(self) -> ProcessStats:
        assert self._process.pid is not None
        return process_stats(self._process.pid)

    def end(self) -> None:
        self._pipe.close()
        self._process.join(5.0)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()
