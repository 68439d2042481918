"""A client of a Eureka registry over its public REST operations: register, renew, fetch, delta and cancel.

The instances of one application are the booking servers.  An instance that is UP receives calls.  One that
is OUT_OF_SERVICE, DOWN, STARTING or UNKNOWN drains: it gets no new calls and keeps its established ones.  One
that is no longer listed is removed.  An instance's metadata may hold `place` (the number of its pool, 0 by
default) and `transport` = `ws` with `path`.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from typing import Any
from urllib.parse import quote

from loguru import logger

from capershelf.config import EurekaRegistry
from capershelf.core.clock import Clock, Inbox
from capershelf.core.model import LocatedServer, ServerListUpdate
from capershelf.interface import ListedServer, ServerStatus
from capershelf.net.http import HttpClient
from capershelf.registry.source import PublishUpdate

REQUEST_TIMEOUT_MS = 3000.0
RETRY_DELAY_MS = 500.0
HTTP_SCHEME = "http://"


class EurekaError(ValueError):
    """An answer that does not follow the Eureka API."""


def split_url(url: str) -> tuple[str, str]:
    """Split the registry's URL into host:port and path."""
    if not url.startswith(HTTP_SCHEME):
        raise ValueError("eureka.url must begin with http://")
    endpoint, _, path = url.removeprefix(HTTP_SCHEME).partition("/")
    return endpoint, "/" + path.strip("/")


def as_list(value: Any) -> list[Any]:
    """Return a list in any case: Eureka writes a list with one element as the bare element."""
    if value is None:
        return []
    return value if isinstance(value, list) else [value]


def parse_instances(answer: Any) -> list[tuple[str, str, dict[str, Any]]]:
    """Return application, instance id and instance, in the order of the answer."""
    try:
        instances = []
        for application in as_list(answer["applications"].get("application")):
            name = str(application["name"]).upper()
            for instance in as_list(application.get("instance")):
                instances.append((name, str(instance.get("instanceId") or instance["hostName"]), instance))
        return instances
    except (KeyError, TypeError, AttributeError) as problem:
        raise EurekaError(f"not a list of applications: {problem!r}") from problem


def parse_instance(instance_id: str, instance: dict[str, Any]) -> LocatedServer:
    """Convert an instance to a booking server."""
    try:
        metadata = instance.get("metadata") or {}
        started_ms = float((instance.get("leaseInfo") or {}).get("serviceUpTimestamp") or 0)
        active = instance["status"] == "UP"
        listed = ListedServer(
            instance_id,
            int(metadata.get("place", 0)),
            ServerStatus.ACTIVE if active else ServerStatus.DRAINING,
            started_ms or None,
        )
        endpoint = f"{instance.get('ipAddr') or instance['hostName']}:{int(instance['port']['$'])}"
        if metadata.get("transport") == "ws":
            endpoint = f"ws://{endpoint}/{str(metadata.get('path', '')).lstrip('/')}"
        return LocatedServer(
            listed, endpoint, str(metadata.get("zone", "")), str(metadata.get("service", ""))
        )
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise EurekaError(f"instance {instance_id} cannot be parsed: {problem!r}") from problem


class Eureka:
    """Follows one registry and, if configured, keeps this proxy itself registered there."""

    def __init__(
        self, config: EurekaRegistry, name: str, listen: str, clock: Clock, publish: PublishUpdate
    ) -> None:
        endpoint, self._base = split_url(config.url)
        self._client = HttpClient(endpoint, clock)
        self._config, self._name, self._listen = config, name, listen
        self._app = config.app.upper()
        self._clock, self._publish = clock, publish
        self._inbox: Inbox[str] = Inbox(clock)
        self._instances: dict[tuple[str, str], dict[str, Any]] | None = None  # those of all applications
        self._version = 0
        self._published: tuple[LocatedServer, ...] | None = None
        self._registered = False
        self._fetch_at_ms = self._renew_at_ms = clock.now_ms()
        if not config.own_app:
            self._renew_at_ms = math.inf

    # -- the loop -------------------------------------------------------------------------------------
    def deregister(self) -> None:
        """Cancel this proxy's registration; the list is still followed."""
        self._inbox.put("deregister")

    def move(self, address: str) -> None:
        """Switch to the registry at another URL."""
        split_url(address)
        self._inbox.put(address)

    def stop(self) -> None:
        """Make `run` return."""
        self._inbox.put("stop")

    def run(self) -> None:
        """Fetch the list and renew the lease at their intervals until stopped."""
        while (command := self._inbox.take(min(self._fetch_at_ms, self._renew_at_ms))) != "stop":
            if command is not None and command.startswith(HTTP_SCHEME):
                self._switch_registry(command)
            if command == "deregister":
                self._renew_at_ms = math.inf
                self._try_operation(self.cancel)
            now_ms = self._clock.now_ms()
            if now_ms >= self._renew_at_ms:
                ok = self._try_operation(self.renew)
                self._renew_at_ms = self._clock.now_ms() + (self._config.renew_ms if ok else RETRY_DELAY_MS)
            if now_ms >= self._fetch_at_ms:
                ok = self._try_operation(self.fetch)
                self._fetch_at_ms = self._clock.now_ms() + (self._config.fetch_ms if ok else RETRY_DELAY_MS)
        self._client.close()

    def _switch_registry(self, url: str) -> None:
        """Fetch the complete list from another registry and register this proxy there."""
        endpoint, self._base = split_url(url)
        self._client.set_endpoint(endpoint)
        self._instances, self._registered = None, False
        self._fetch_at_ms = self._clock.now_ms()
        if self._renew_at_ms < math.inf:
            self._renew_at_ms = self._fetch_at_ms

    def _try_operation(self, operation: Any) -> bool:
        """Run one operation; no failure or malformed answer of the registry may stop this thread."""
        try:
            operation()
        except (OSError, ValueError) as problem:
            logger.warning(
                "eureka: {what}: {problem}", event="eureka-failed", what=operation.__name__, problem=problem
            )
            return False
        except Exception:
            logger.exception(
                "eureka: unexpected error in {what}",
                event="eureka-fault",
                what=operation.__name__,
            )
            return False
        return True

    def _request(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        data = json.dumps(body).encode() if body is not None else b""
        fields = {"Accept": "application/json"} | ({"Content-Type": "application/json"} if data else {})
        deadline_ms = self._clock.now_ms() + REQUEST_TIMEOUT_MS
        return self._client.request(method, self._base + path, deadline_ms, data, fields)

    # -- the list -------------------------------------------------------------------------------------
    def fetch(self) -> None:
        """Fetch the complete list first, then changes; the complete list again if the hash code differs."""
        if self._instances is not None and not self._apply_delta():
            logger.info(
                "eureka: hash code mismatch after the changes, fetching the complete list",
                event="eureka-refetch",
            )
            self._instances = None
        if self._instances is None:
            status, body = self._request("GET", "/apps")
            if status != 200:
                raise EurekaError(f"the list was answered with {status}")
            instances = parse_instances(json.loads(body))
            self._instances = {(app, instance_id): instance for app, instance_id, instance in instances}
        self._publish_servers()

    def _apply_delta(self) -> bool:
        """Apply the changes; False if they do not lead to the hash code that the registry gave."""
        status, body = self._request("GET", "/apps/delta")
        if status != 200 or self._instances is None:
            return False
        answer = json.loads(body)
        for app, instance_id, instance in parse_instances(answer):
            if instance.get("actionType") == "DELETED":
                self._instances.pop((app, instance_id), None)
            else:
                self._instances[app, instance_id] = instance
        counts = Counter(str(instance.get("status")) for instance in self._instances.values())
        hash_code = "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))
        return bool(hash_code == answer["applications"].get("apps__hashcode", hash_code))

    def _publish_servers(self) -> None:
        servers = []
        for (app, instance_id), instance in sorted((self._instances or {}).items()):
            if app == self._app:
                try:
                    servers.append(parse_instance(instance_id, instance))
                except EurekaError as problem:  # one malformed entry must not hide the others
                    logger.warning("eureka: {problem}", event="eureka-unreadable", problem=problem)
        if tuple(servers) != self._published:
            self._published = tuple(servers)
            self._version += 1
            self._publish(ServerListUpdate(self._version, True, self._published))

    # -- this proxy's own registration -----------------------------------------------------------------------
    @property
    def _own_application(self) -> str:
        return f"/apps/{quote(self._config.own_app.upper(), safe='')}"

    def renew(self) -> None:
        """Renew the lease; register if there is none or the registry no longer knows it."""
        if self._registered:
            status, _ = self._request("PUT", f"{self._own_application}/{quote(self._name, safe='')}")
            if status == 200:
                return
            self._registered = False
            if status != 404:
                raise EurekaError(f"a renewal was answered with {status}")
        self.register()

    def register(self) -> None:
        """Register this proxy as an instance that is UP."""
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
        status, _ = self._request("POST", self._own_application, {"instance": instance})
        if status not in (200, 204):
            raise EurekaError(f"the registration was answered with {status}")
        self._registered = True

    def cancel(self) -> None:
        """Cancel this proxy's registration, if there is one."""
        if self._registered:
            self._registered = False
            status, _ = self._request("DELETE", f"{self._own_application}/{quote(self._name, safe='')}")
            if status not in (200, 404):
                raise EurekaError(f"the cancellation was answered with {status}")
