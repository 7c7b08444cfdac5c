"""The routes of the admin API: from a parsed request to its response. Pure.

Operators' scripts rely on the paths and on the texts of the responses.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from brackenlane.core.metrics import CONTENT_TYPE
from brackenlane.net.http_codec import Headers, ParsedRequest
from brackenlane.ops.maintenance import MaintenanceAction, MaintenanceResult

log = logging.getLogger(__name__)

STATUS_PATH = "/status"
METRICS_PATH = "/status/metrics"
MAINTENANCE_PATH = re.compile(r"/maintenance/(enter|exit)/([\w.:-]{1,64})", re.ASCII)


class AdminResponse(NamedTuple):
    """One response; the connection is closed after it."""

    status: HTTPStatus
    body: bytes
    headers: Headers


def _text_response(status: HTTPStatus, line: str) -> AdminResponse:
    return AdminResponse(status, f"{line}\n".encode(), {"Content-Type": "text/plain"})


MAINTENANCE_RESPONSES = {
    MaintenanceResult.DONE: (HTTPStatus.OK, "done"),
    MaintenanceResult.UNKNOWN: (HTTPStatus.NOT_FOUND, "no such box"),
    MaintenanceResult.FULL: (HTTPStatus.INSUFFICIENT_STORAGE, "too many boxes are out"),
    MaintenanceResult.NOT_RECORDED: (
        HTTPStatus.INSUFFICIENT_STORAGE,
        "it can't be kept, so nothing is changed",
    ),
}


class _Route(NamedTuple):
    """One route: the only method that it allows, and the function that carries out the call."""

    method: str
    respond: Callable[[], AdminResponse]


class AdminRoutes(NamedTuple):
    """The functions that the routes call.

    is_serving: whether this process can serve clients. metrics: returns all metrics as text. order: carries
    out a maintenance order for the cache with an id.
    """

    is_serving: Callable[[], bool]
    metrics: Callable[[], bytes]
    order: Callable[[MaintenanceAction, str], MaintenanceResult]

    def respond(self, request: ParsedRequest) -> AdminResponse:
        """Carry out one call and return its response."""
        route = self._find_route(request.target)
        if route is None:
            return AdminResponse(HTTPStatus.NOT_FOUND, b"no such call\n", {})
        if request.method != route.method:
            return AdminResponse(
                HTTPStatus.METHOD_NOT_ALLOWED,
                f"this takes {route.method}\n".encode(),
                {"Allow": route.method},
            )
        return route.respond()

    def _find_route(self, path: str) -> _Route | None:
        if path == STATUS_PATH:
            return _Route("GET", self._respond_status)
        if path == METRICS_PATH:
            return _Route("GET", self._respond_metrics)
        maintenance = MAINTENANCE_PATH.fullmatch(path)
        if maintenance is None:
            return None
        action = MaintenanceAction(maintenance[1])
        server = maintenance[2]
        return _Route("PUT", lambda: self._respond_maintenance(action, server))

    def _respond_status(self) -> AdminResponse:
        if self.is_serving():
            return _text_response(HTTPStatus.OK, "serving")
        return _text_response(HTTPStatus.SERVICE_UNAVAILABLE, "not serving")

    def _respond_metrics(self) -> AdminResponse:
        return AdminResponse(HTTPStatus.OK, self.metrics(), {"Content-Type": CONTENT_TYPE})

    def _respond_maintenance(self, action: MaintenanceAction, server: str) -> AdminResponse:
        result = self.order(action, server)
        log.info("maintenance order: %s %s: %s", action.value, server, result.value)
        return _text_response(*MAINTENANCE_RESPONSES[result])
