"""A Eureka registry, by its public REST operations: register, renew, fetch, delta and cancel.

The instances of one application are the booking servers.  UP may be routed to; OUT_OF_SERVICE, DOWN, STARTING
and UNKNOWN drain: nothing new goes there and what stands lives on.  An instance that is gone is removed.
An instance's metadata may hold `place` (the number of its pool, else 0) and `transport` = `ws` with `path`.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from typing import Any
from urllib.parse import quote

from loguru import logger

from capershelf import interface as api
from capershelf.config import EurekaRegistry
from capershelf.core.clock import Clock, Inbox
from capershelf.core.model import LocatedServer, ServerListUpdate
from capershelf.net.http import HttpClient
from capershelf.registry.source import Tell

REQUEST_MS = 3000.0  # a request that takes longer has failed
AGAIN_MS = 500.0  # the next try after one
HTTP = "http://"


class EurekaError(ValueError):
    """An answer that is not of the API."""


def split_url(url: str) -> tuple[str, str]:
    """host:port and the path of the registry's address."""
    if not url.startswith(HTTP):
        raise ValueError("eureka.url must begin with http://")
    endpoint, _, path = url.removeprefix(HTTP).partition("/")
    return endpoint, "/" + path.strip("/")


def as_list(found: Any) -> list[Any]:
    """Eureka writes a list of one as the one."""
    if found is None:
        return []
    return found if isinstance(found, list) else [found]


def instances_of(answer: Any) -> list[tuple[str, str, dict[str, Any]]]:
    """Application, instance id and instance, in the answer's order."""
    try:
        found = []
        for application in as_list(answer["applications"].get("application")):
            name = str(application["name"]).upper()
            for instance in as_list(application.get("instance")):
                found.append((name, str(instance.get("instanceId") or instance["hostName"]), instance))
        return found
    except (KeyError, TypeError, AttributeError) as problem:
        raise EurekaError(f"not a list of applications: {problem!r}") from problem


def located(instance_id: str, instance: dict[str, Any]) -> LocatedServer:
    """An instance as a booking server."""
    try:
        metadata = instance.get("metadata") or {}
        started_ms = float((instance.get("leaseInfo") or {}).get("serviceUpTimestamp") or 0)
        active = instance["status"] == "UP"
        listed = api.ListedServer(
            instance_id,
            int(metadata.get("place", 0)),
            api.ServerStatus.ACTIVE if active else api.ServerStatus.DRAINING,
            started_ms or None,
        )
        endpoint = f"{instance.get('ipAddr') or instance['hostName']}:{int(instance['port']['$'])}"
        if metadata.get("transport") == "ws":
            endpoint = f"ws://{endpoint}/{str(metadata.get('path', '')).lstrip('/')}"
        return LocatedServer(
            listed, endpoint, str(metadata.get("zone", "")), str(metadata.get("service", ""))
        )
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise EurekaError(f"instance {instance_id} can't be read: {problem!r}") from problem


class Eureka:
    """Follows one registry, and keeps this proxy's own registration where that is wanted."""

    def __init__(self, config: EurekaRegistry, name: str, listen: str, clock: Clock, tell: Tell) -> None:
        endpoint, self._base = split_url(config.url)
        self._client = HttpClient(endpoint, clock)
        self._config, self._name, self._listen = config, name, listen
        self._app = config.app.upper()
        self._clock, self._tell = clock, tell
        self._inbox: Inbox[str] = Inbox(clock)
        self._instances: dict[tuple[str, str], dict[str, Any]] | None = None  # of all applications
        self._version = 0
        self._told: tuple[LocatedServer, ...] | None = None
        self._registered = False
        self._fetch_at_ms = self._renew_at_ms = clock.now_ms()
        if not config.own_app:
            self._renew_at_ms = math.inf

    # -- the loop -------------------------------------------------------------------------------------
    def withdraw(self) -> None:
        self._inbox.put("withdraw")

    def move(self, address: str) -> None:
        split_url(address)
        self._inbox.put(address)

    def end(self) -> None:
        self._inbox.put("end")

    def run(self) -> None:
        while (word := self._inbox.take(min(self._fetch_at_ms, self._renew_at_ms))) != "end":
            if word is not None and word.startswith(HTTP):
                self._follow(word)
            if word == "withdraw":
                self._renew_at_ms = math.inf
                self._attempt(self.cancel)
            now_ms = self._clock.now_ms()
            if now_ms >= self._renew_at_ms:
                done = self._attempt(self.renew)
                self._renew_at_ms = self._clock.now_ms() + (self._config.renew_ms if done else AGAIN_MS)
            if now_ms >= self._fetch_at_ms:
                done = self._attempt(self.fetch)
                self._fetch_at_ms = self._clock.now_ms() + (self._config.fetch_ms if done else AGAIN_MS)
        self._client.close()

    def _follow(self, url: str) -> None:
        """Another registry: its whole list is fetched, and this proxy registers there anew."""
        endpoint, self._base = split_url(url)
        self._client.set_endpoint(endpoint)
        self._instances, self._registered = None, False
        self._fetch_at_ms = self._clock.now_ms()
        if self._renew_at_ms < math.inf:
            self._renew_at_ms = self._fetch_at_ms

    def _attempt(self, what: Any) -> bool:
        """One operation; a registry that fails or talks nonsense must not stop service."""
        try:
            what()
        except (OSError, ValueError) as problem:
            logger.warning(
                "eureka: {what}: {problem}", event="eureka-failed", what=what.__name__, problem=problem
            )
            return False
        except Exception:
            logger.exception(
                "eureka: {what} could not be dealt with", event="eureka-fault", what=what.__name__
            )
            return False
        return True

    def _request(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        data = json.dumps(body).encode() if body is not None else b""
        fields = {"Accept": "application/json"} | ({"Content-Type": "application/json"} if data else {})
        deadline_ms = self._clock.now_ms() + REQUEST_MS
        return self._client.request(method, self._base + path, deadline_ms, data, fields)

    # -- the list -------------------------------------------------------------------------------------
    def fetch(self) -> None:
        """The whole list the first time, then what changed; the whole again if that does not add up."""
        if self._instances is not None and not self._take_delta():
            logger.info(
                "eureka: the changes do not add up, the whole list is fetched again", event="eureka-refetch"
            )
            self._instances = None
        if self._instances is None:
            status, body = self._request("GET", "/apps")
            if status != 200:
                raise EurekaError(f"the list was answered with {status}")
            found = instances_of(json.loads(body))
            self._instances = {(app, named): instance for app, named, instance in found}
        self._tell_servers()

    def _take_delta(self) -> bool:
        """Whether the changes led to the list whose hash code the registry gave."""
        status, body = self._request("GET", "/apps/delta")
        if status != 200 or self._instances is None:
            return False
        answer = json.loads(body)
        for app, found, instance in instances_of(answer):
            if instance.get("actionType") == "DELETED":
                self._instances.pop((app, found), None)
            else:
                self._instances[app, found] = instance
        counts = Counter(str(instance.get("status")) for instance in self._instances.values())
        ours = "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))
        return bool(ours == answer["applications"].get("apps__hashcode", ours))

    def _tell_servers(self) -> None:
        servers = []
        for (app, found), instance in sorted((self._instances or {}).items()):
            if app == self._app:
                try:
                    servers.append(located(found, instance))
                except EurekaError as problem:  # one bad entry must not take the others out
                    logger.warning("eureka: {problem}", event="eureka-unreadable", problem=problem)
        if tuple(servers) != self._told:
            self._told = tuple(servers)
            self._version += 1
            self._tell(ServerListUpdate(self._version, True, self._told))

    # -- this proxy's own entry -----------------------------------------------------------------------
    @property
    def _own(self) -> str:
        return f"/apps/{quote(self._config.own_app.upper(), safe='')}"

    def renew(self) -> None:
        """Keep the lease; register where there is none, or where the registry has forgotten it."""
        if self._registered:
            status, _ = self._request("PUT", f"{self._own}/{quote(self._name, safe='')}")
            if status == 200:
                return
            self._registered = False
            if status != 404:
                raise EurekaError(f"a renewal was answered with {status}")
        self.register()

    def register(self) -> None:
        host, _, port = self._listen.rpartition(":")
        host = host.strip("[]")
        instance = {
            "instanceId": self._name,
            "hostName": host,
            "ipAddr": host,
            "app": self._config.own_app.upper(),
            "vipAddress": self._config.own_app.lower(),
            "status": "UP",
            "port": {"$": int(port or 0), "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "dataCenterInfo": {
                "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                "name": "MyOwn",
            },
            "leaseInfo": {
                "renewalIntervalInSecs": max(1, round(self._config.renew_ms / 1000.0)),
                "durationInSecs": max(3, round(3.0 * self._config.renew_ms / 1000.0)),
            },
        }
        status, _ = self._request("POST", self._own, {"instance": instance})
        if status not in (200, 204):
            raise EurekaError(f"the registration was answered with {status}")
        self._registered = True

    def cancel(self) -> None:
        if self._registered:
            self._registered = False
            status, _ = self._request("DELETE", f"{self._own}/{quote(self._name, safe='')}")
            if status not in (200, 404):
                raise EurekaError(f"the cancellation was answered with {status}")
