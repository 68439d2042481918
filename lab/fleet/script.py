"""Fault scripts: the steps of each day, drawn from a seed.  Pure functions."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from capershelf.subset.selection import Candidate, fixed_order


@dataclass(frozen=True, slots=True)
class Shape:
    """The size of a day.  Proxies and booking servers are assigned to zones round-robin."""

    proxies: int = 8
    servers: int = 4
    zones: int = 2
    spares: int = 2  # booking servers that only start when the script adds them
    seconds: float = 8.0

    def zone_proxies(self, zone: int) -> tuple[int, ...]:
        return tuple(range(zone, self.proxies, self.zones))

    def zone_servers(self, zone: int) -> tuple[int, ...]:
        return tuple(range(zone, self.servers, self.zones))


def uid(server: int) -> str:
    """Return a booking server's uid."""
    return f"s-{server:04x}"


@dataclass(frozen=True, slots=True)
class Step:
    """An action on proxies, booking servers or links at a time in ms from the first call.

    Proxies: kill, term, start, stop, cont, hold and show (queue and publish server list updates).  Booking
    servers: drain, die, back (restart), slow, fail, hang, add, over (the last server takes over the first
    one's addresses).  Links: dark (partition), light (heal), delay, cut (reset), lose; links of all proxies
    or all servers if none are named.
    """

    at_ms: float
    action: str
    proxies: tuple[int, ...] = ()
    servers: tuple[int, ...] = ()
    value: float = 0.0


def calm(shape: Shape, rng: random.Random) -> list[Step]:
    """No faults."""
    return []


def roll(shape: Shape, rng: random.Random) -> list[Step]:
    """All proxies are restarted, a tenth at a time, while half of the booking servers are replaced."""
    order = list(range(shape.proxies))
    rng.shuffle(order)
    batch = max(1, shape.proxies // 10)
    batches = [tuple(order[n : n + batch]) for n in range(0, len(order), batch)]
    end_ms = 1000.0 * shape.seconds
    steps = [Step(500.0 + n * 0.6 * end_ms / len(batches), "term", who) for n, who in enumerate(batches)]
    drained = sorted(rng.sample(range(shape.servers), min(shape.servers // 2, shape.spares)))
    for n, server in enumerate(drained):
        at_ms = 1000.0 + n * 0.4 * end_ms / max(1, len(drained))
        new = shape.servers + n
        steps += [
            Step(at_ms, "add", servers=(new,)),
            Step(at_ms + 300.0, "drain", servers=(server,)),
            Step(at_ms + 300.0 + 1000.0 * rng.uniform(2.2, 3.0), "die", servers=(server,)),
        ]
    return steps


def herd(shape: Shape, rng: random.Random) -> list[Step]:
    """An eighth of the booking servers fail fast; 70% of the proxies are killed at once and restarted."""
    bad = tuple(rng.sample(range(shape.servers), max(1, shape.servers // 8)))
    killed = tuple(sorted(rng.sample(range(shape.proxies), math.ceil(0.7 * shape.proxies))))
    at_ms = 300.0 * shape.seconds
    return [
        Step(0.5 * at_ms, "fail", servers=bad, value=0.9),
        Step(at_ms, "kill", killed),
        Step(at_ms + 700.0, "start", killed),
        Step(2.6 * at_ms, "fail", servers=bad, value=0.0),
    ]


def stall(shape: Shape, rng: random.Random) -> list[Step]:
    """One proxy is stopped for 3 s during calls; a booking server drains meanwhile and dies later."""
    one = rng.randrange(shape.proxies)
    server = rng.randrange(shape.servers)
    at_ms = 200.0 * shape.seconds
    return [
        Step(at_ms, "stop", (one,)),
        Step(at_ms + 200.0, "drain", servers=(server,)),
        Step(at_ms + 3000.0, "cont", (one,)),
        Step(at_ms + 5000.0, "die", servers=(server,)),
    ]


def late(shape: Shape, rng: random.Random) -> list[Step]:
    """Half of the proxies get list updates late; one booking server drains, another starts cold."""
    half = tuple(sorted(rng.sample(range(shape.proxies), shape.proxies // 2)))
    server = rng.randrange(shape.servers)
    at_ms = 150.0 * shape.seconds
    return [
        Step(at_ms, "hold", half),
        Step(at_ms + 200.0, "drain", servers=(server,)),
        Step(at_ms + 600.0, "add", servers=(shape.servers,)),
        Step(at_ms + 3000.0, "die", servers=(server,)),
        Step(at_ms + 3500.0, "show", half),
    ]


def zone(shape: Shape, rng: random.Random) -> list[Step]:
    """A zone's booking servers vanish silently and return cold; another zone is partitioned."""
    lost, cut = rng.sample(range(shape.zones), 2) if shape.zones > 1 else (0, 0)
    servers = shape.zone_servers(lost)
    at_ms = 150.0 * shape.seconds
    others = tuple(n for n in range(shape.servers) if n % shape.zones != cut)
    return [
        Step(at_ms, "dark", servers=servers),
        Step(at_ms, "die", servers=servers),
        Step(at_ms + 0.3e3 * shape.seconds, "back", servers=servers),
        Step(at_ms + 0.3e3 * shape.seconds, "light", servers=servers),
        Step(at_ms + 0.45e3 * shape.seconds, "dark", shape.zone_proxies(cut), others),
        Step(at_ms + 0.6e3 * shape.seconds, "light", shape.zone_proxies(cut), others),
    ]


def split(shape: Shape, rng: random.Random) -> list[Step]:
    """Ways are slow, cut and lose answers, and one booking server hangs."""
    one, other = rng.sample(range(shape.servers), 2) if shape.servers > 1 else (0, 0)
    proxies = tuple(sorted(rng.sample(range(shape.proxies), max(1, shape.proxies // 2))))
    at_ms = 150.0 * shape.seconds
    steps = [
        Step(at_ms, "delay", proxies, (one,), 300.0),
        Step(at_ms, "lose", servers=(other,), value=0.2),
        Step(0.55e3 * shape.seconds, "delay", proxies, (one,), 0.0),
        Step(0.55e3 * shape.seconds, "lose", servers=(other,)),
        Step(0.6e3 * shape.seconds, "hang", servers=(one,), value=1.0),
        Step(0.8e3 * shape.seconds, "hang", servers=(one,)),
    ]
    cuts = [
        Step(rng.uniform(at_ms, 0.9e3 * shape.seconds), "cut", (rng.randrange(shape.proxies),))
        for _ in range(2 * shape.proxies)
    ]
    return sorted(steps + cuts, key=lambda step: step.at_ms)


def join(shape: Shape, rng: random.Random) -> list[Step]:
    """Booking servers die with established calls, and new ones take over their addresses within 300 ms."""
    steps: list[Step] = []
    gone = rng.sample(range(shape.servers), min(shape.spares, max(1, int(0.6 * shape.servers))))
    for n, server in enumerate(gone):
        at_ms = 1000.0 * shape.seconds * (0.2 + 0.4 * n / len(gone))
        steps += [
            Step(at_ms, "die", servers=(server,)),
            Step(at_ms + rng.choice((0.0, 20.0, 300.0)), "over", servers=(server, shape.servers + n)),
        ]
    return steps


def cold(shape: Shape, rng: random.Random) -> list[Step]:
    """All booking servers drain in favour of newly started ones; 70% of the proxies are killed and restarted
    meanwhile."""
    at_ms = 250.0 * shape.seconds
    old, new = range(shape.servers), range(shape.servers, shape.servers + shape.spares)
    killed = tuple(sorted(rng.sample(range(shape.proxies), math.ceil(0.7 * shape.proxies))))
    return [
        Step(at_ms, "add", servers=tuple(new)),
        Step(at_ms + 300.0, "drain", servers=tuple(old)),
        Step(at_ms + 1000.0, "kill", killed),
        Step(at_ms + 1300.0, "start", killed),
        Step(at_ms + 4000.0, "die", servers=tuple(old)),
    ]


def subset(shape: Shape, rng: random.Random) -> list[Step]:
    """Proxies with subsets: a zone is partitioned, one proxy is stopped, a third of the booking servers are
    replaced, and finally every member of one proxy's subset drains within a second."""
    length_ms = 1000.0 * shape.seconds
    lost, one = rng.randrange(shape.zones), rng.randrange(shape.proxies)
    steps = [
        Step(0.10 * length_ms, "dark", servers=shape.zone_servers(lost)),
        Step(0.15 * length_ms, "stop", (one,)),
        Step(0.15 * length_ms + 3000.0, "cont", (one,)),
        Step(0.35 * length_ms, "light", servers=shape.zone_servers(lost)),
    ]
    listed = set(range(shape.servers))
    replaced = rng.sample(range(shape.servers), min(shape.spares, shape.servers // 3))
    for n, server in enumerate(replaced):
        at_ms = (0.4 + 0.3 * n / len(replaced)) * length_ms
        steps += [
            Step(at_ms, "add", servers=(shape.servers + n,)),
            Step(at_ms + 300.0, "drain", servers=(server,)),
            Step(at_ms + 300.0 + 1000.0 * rng.uniform(2.2, 3.0), "die", servers=(server,)),
        ]
        listed = (listed - {server}) | {shape.servers + n}
    order = fixed_order(one, subset_size(shape), [Candidate(uid(n), f"z{n % shape.zones}") for n in listed])
    drained = [n for n in sorted(listed) if uid(n) in order[: subset_size(shape)]]
    at_ms = 0.85 * length_ms
    return [*steps, *(Step(at_ms + 900.0 * rng.random(), "drain", servers=(n,)) for n in drained)]


def subset_size(shape: Shape) -> int:
    """Return the subset size of each proxy on the day `subset`."""
    return max(4, shape.servers // 4)


def extra_config(name: str, shape: Shape) -> dict[str, Any]:
    """Return the day's additions to the proxies' configuration."""
    return {"subset": {"size": subset_size(shape)}} if name == "subset" else {}


SCRIPTS: dict[str, Callable[[Shape, random.Random], list[Step]]] = {
    one.__name__: one for one in (calm, roll, herd, stall, late, zone, split, join, cold, subset)
}


def script(name: str, shape: Shape, seed: int) -> list[Step]:
    """Return a day's steps in order of time."""
    return sorted(SCRIPTS[name](shape, random.Random(f"{name} {seed}")), key=lambda step: step.at_ms)
