"""Codec of operators' orders in the store and the snapshot. The field names are a storage format."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from brackenlane.clock import steady_time
from brackenlane.discovery.definition_codec import CACHE_ID
from brackenlane.discovery.errors import InvalidOrderError
from brackenlane.discovery.records import OperatorOrder

MAX_CLOCK_AHEAD = 60.0  # seconds by which the issuing router's clock may be ahead of the local one
MAX_ISSUER_LENGTH = 64  # characters


def encode_order(cache_id: str, order: OperatorOrder) -> dict[str, Any]:
    """Return the stored form of an order."""
    return {"id": cache_id, "drained": order.drained, "at": order.at, "by": order.by}


def read_order(raw: Any) -> tuple[str, OperatorOrder]:
    """Decode an order of any router; return its cache id and the order. Raises InvalidOrderError."""
    cache_id, order = _read_fields(raw)
    # An order from a clock far ahead would override every later order until that time.
    if order.at > steady_time() + MAX_CLOCK_AHEAD:
        raise InvalidOrderError(f"order {raw!r}: a time that has been is needed")
    return cache_id, order


def read_own_order(raw: Any) -> tuple[str, OperatorOrder]:
    """Decode an order that this router has kept. Raises InvalidOrderError.

    One from before its clock was set back counts as given now, so that later orders take precedence.
    """
    cache_id, order = _read_fields(raw)
    return cache_id, replace(order, at=min(order.at, steady_time()))


def _read_fields(raw: Any) -> tuple[str, OperatorOrder]:
    try:
        cache_id = str(raw["id"])
        order = OperatorOrder(bool(raw["drained"]), float(raw["at"]), str(raw["by"])[:MAX_ISSUER_LENGTH])
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidOrderError(f"order {raw!r}: {type(error).__name__}: {error}") from error
    if not CACHE_ID.fullmatch(cache_id) or order.at < 0:
        raise InvalidOrderError(f"order {raw!r}: an id and a time that has been are needed")
    return cache_id, order
