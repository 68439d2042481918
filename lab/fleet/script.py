"""Fault scripts: the steps of each day, drawn from a seed.  Pure functions."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from capershelf.subset.selection import Candidate, fixed_order


HANGS_WITH_REPORTS = 2.0  # value of `hang`: load reports go on


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

    Proxies: kill, term, start, stop, cont, hold and show (queue and publish server list updates), down and
    up (the notice board refuses connections), mute and unmute (it does not answer), reload (a new
    configuration), move (also a new address of the board), crowd and rough (misbehaving callers).  Booking
    servers: drain, die, back (restart), vanish and return (likewise, but the notice board is not told), slow,
    fail, hang, deaf (refuse connections), spoil (unreadable messages), add, over (the last server takes over
    the first one's addresses).  Links: dark (partition), light (heal), delay, cut (reset), lose, late
    (connections do not come up), pieces; links of all proxies or all servers if none are named.
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


def storm(shape: Shape, rng: random.Random) -> list[Step]:
    """Short and dense: faults of booking servers, links, boards and callers while proxies are restarted."""
    end_ms = 1000.0 * shape.seconds
    proxies, servers = range(shape.proxies), range(shape.servers)
    steps: list[Step] = [Step(0.0, "rough", tuple(proxies), value=rng.choice((2.0, 5.0)))]
    server_faults = (
        _silent_server,
        _silent_server,
        _lost_machine,
        _replaced_server,
        _disturbed_server,
        _disturbed_links,
    )
    for server in servers:
        steps += rng.choice(server_faults)(server, shape, rng, end_ms)
        if rng.random() < 0.4:
            steps += rng.choice((_disturbed_server, _disturbed_links))(server, shape, rng, end_ms)
    for _ in range(rng.randrange(2, 5)):
        steps += _reset_links(rng, shape, end_ms)
    for _ in range(rng.randrange(1, 3)):
        steps += rng.choice((_unreachable_board, _reloads))(shape, rng, end_ms)
    restarts = rng.choice((_restart_series, _restart_series, _kills, _pauses))
    steps += restarts(shape, rng, end_ms)
    if rng.random() < 0.4:
        who = tuple(rng.sample(proxies, max(1, shape.proxies // 2)))
        steps.append(Step(rng.uniform(0.0, 0.6 * end_ms), "crowd", who, value=300.0))
    return steps


def _silent_server(server: int, shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """A server falls silent, often so early that nothing is known of it, and perhaps for good."""
    at_ms = rng.choice((rng.uniform(100.0, 1200.0), rng.uniform(0.0, 0.7 * end_ms)))
    until_ms = at_ms + rng.choice((rng.uniform(200.0, 3000.0), rng.uniform(3000.0, 9000.0), end_ms))
    begin, end = rng.choice((("dark", "light"), ("hang", "hang"), ("deaf", "deaf")))
    chosen = tuple(rng.sample(range(shape.proxies), rng.randrange(1, shape.proxies + 1)))
    who = chosen if begin == "dark" else ()
    value = rng.choice((1.0, HANGS_WITH_REPORTS)) if begin == "hang" else 1.0
    return [Step(at_ms, begin, who, (server,), value), Step(until_ms, end, who, (server,))]


def _lost_machine(server: int, shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """A machine vanishes; another process is at its address early, late or twice, and the list is silent."""
    at_ms = rng.uniform(0.1, 0.5) * end_ms
    steps: list[Step] = []
    for _ in range(rng.choice((1, 1, 2))):
        back_ms = at_ms + rng.choice(
            (rng.uniform(0.0, 100.0), rng.uniform(200.0, 1500.0), rng.uniform(3000.0, 6000.0))
        )
        steps += [
            Step(at_ms, "dark", servers=(server,)),
            Step(at_ms, "vanish", servers=(server,)),
            Step(back_ms, "return", servers=(server,)),
            Step(back_ms, "light", servers=(server,)),
        ]
        at_ms = back_ms + rng.uniform(300.0, 2500.0)
    if rng.random() < 0.3:
        steps.append(Step(steps[0].at_ms - rng.uniform(0.0, 300.0), "drain", servers=(server,)))
    return steps


def _replaced_server(server: int, shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """A server is replaced: drained, dead or hung first, at its own or at its successor's address."""
    if server >= shape.spares:
        return []
    new, at_ms = shape.servers + server, rng.uniform(0.1, 0.6) * end_ms
    match rng.randrange(3):
        case 0:
            return [
                Step(at_ms, "drain", servers=(server,)),
                Step(at_ms + rng.uniform(0.0, 1500.0), "add", servers=(new,)),
                Step(at_ms + rng.uniform(2200.0, 6000.0), "die", servers=(server,)),
            ]
        case 1:
            return [
                Step(at_ms, "die", servers=(server,)),
                Step(at_ms + rng.choice((0.0, 20.0, 300.0)), "over", servers=(server, new)),
            ]
        case _:
            return [
                Step(at_ms, "hang", servers=(server,), value=1.0),
                Step(at_ms + rng.uniform(0.0, 1000.0), "add", servers=(new,)),
                Step(at_ms + rng.uniform(500.0, 2000.0), "drain", servers=(server,)),
                Step(at_ms + rng.uniform(3000.0, 6000.0), "die", servers=(server,)),
            ]


def _disturbed_server(server: int, shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """A server sends unreadable messages, fails, or dies and comes back several times."""
    times_ms = sorted(rng.uniform(0.0, 0.8 * end_ms) for _ in range(4))
    match rng.randrange(3):
        case 0:
            return [
                Step(at_ms, "spoil", servers=(server,), value=rng.choice((1.0, 3.0))) for at_ms in times_ms
            ]
        case 1:
            return [
                Step(times_ms[0], "fail", servers=(server,), value=0.7),
                Step(times_ms[2], "fail", servers=(server,)),
            ]
        case _:
            return [
                Step(at_ms + (0.0 if n % 2 == 0 else 50.0), ("die", "back")[n % 2], servers=(server,))
                for n, at_ms in enumerate(times_ms)
            ]


def _disturbed_links(server: int, shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """The links to a server are slow, lose answers, fragment them, or connections come up late."""
    at_ms = rng.uniform(0.0, 0.5 * end_ms)
    until_ms = at_ms + rng.uniform(500.0, 4000.0)
    action, value = rng.choice((("delay", 250.0), ("lose", 0.3), ("pieces", 1.0), ("late", 1.0)))
    who = tuple(rng.sample(range(shape.proxies), rng.randrange(1, shape.proxies + 1)))
    return [Step(at_ms, action, who, (server,), value), Step(until_ms, action, who, (server,))]


def _reset_links(rng: random.Random, shape: Shape, end_ms: float) -> list[Step]:
    """A proxy's connections to all booking servers are reset, several times in a row."""
    at_ms, proxy = rng.uniform(0.0, 0.9 * end_ms), rng.randrange(shape.proxies)
    return [Step(at_ms + n * rng.uniform(5.0, 300.0), "cut", (proxy,)) for n in range(rng.randrange(1, 4))]


def _unreachable_board(shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """Discovery is down or silent; a server drains close to its return."""
    at_ms = rng.uniform(0.0, 0.5 * end_ms)
    until_ms = at_ms + rng.uniform(800.0, 6000.0)
    begin, end = rng.choice((("down", "up"), ("mute", "unmute")))
    who = tuple(rng.sample(range(shape.proxies), rng.randrange(1, shape.proxies + 1)))
    server = rng.randrange(shape.servers)
    drain_ms = until_ms + rng.uniform(-700.0, 200.0)
    return [
        Step(at_ms, begin, who),
        Step(max(at_ms, drain_ms), "drain", servers=(server,)),
        Step(until_ms, end, who),
    ]


def _reloads(shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """New configurations in quick succession, some of which move the notice board."""
    at_ms = rng.uniform(0.0, 0.7 * end_ms)
    who = tuple(rng.sample(range(shape.proxies), rng.randrange(1, shape.proxies + 1)))
    gaps_ms = [rng.choice((0.0, 10.0, 150.0)) for _ in range(rng.randrange(2, 6))]
    return [
        Step(at_ms + sum(gaps_ms[: n + 1]), rng.choice(("reload", "move")), who) for n in range(len(gaps_ms))
    ]


def _restart_series(shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """Proxies are shut down one after another."""
    who = rng.sample(range(shape.proxies), rng.randint(1, shape.proxies))
    at_ms, gap_ms = rng.uniform(300.0, 0.4 * end_ms), rng.uniform(100.0, 1200.0)
    return [Step(at_ms + n * gap_ms, "term", (proxy,)) for n, proxy in enumerate(who)]


def _kills(shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """Proxies are killed at once and start again soon."""
    who = tuple(rng.sample(range(shape.proxies), max(1, shape.proxies // 2)))
    at_ms = rng.uniform(500.0, 0.6 * end_ms)
    return [Step(at_ms, "kill", who), Step(at_ms + rng.uniform(50.0, 1000.0), "start", who)]


def _pauses(shape: Shape, rng: random.Random, end_ms: float) -> list[Step]:
    """A proxy is stopped and continued several times."""
    proxy, at_ms = rng.randrange(shape.proxies), rng.uniform(300.0, 0.4 * end_ms)
    steps = []
    for _ in range(rng.randrange(1, 4)):
        length_ms = rng.choice((100.0, 500.0, 2500.0))
        steps += [Step(at_ms, "stop", (proxy,)), Step(at_ms + length_ms, "cont", (proxy,))]
        at_ms += length_ms + rng.uniform(200.0, 1000.0)
    return steps


def subset_size(shape: Shape) -> int:
    """Return the subset size of each proxy on the day `subset`."""
    return max(4, shape.servers // 4)


def extra_config(name: str, shape: Shape) -> dict[str, Any]:
    """Return the day's additions to the proxies' configuration."""
    return {"subset": {"size": subset_size(shape)}} if name == "subset" else {}


SCRIPTS: dict[str, Callable[[Shape, random.Random], list[Step]]] = {
    one.__name__: one for one in (calm, roll, herd, stall, late, zone, split, join, cold, subset, storm)
}


def script(name: str, shape: Shape, seed: int) -> list[Step]:
    """Return a day's steps in order of time."""
    return sorted(SCRIPTS[name](shape, random.Random(f"{name} {seed}")), key=lambda step: step.at_ms)
