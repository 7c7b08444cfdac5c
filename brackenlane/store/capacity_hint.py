"""The capacity hint: the request rates that the store can serve, as an operator may set them in the store."""

from __future__ import annotations

from brackenlane.coldstart.pacing import Capacity
from brackenlane.store.errors import StoreDataError
from brackenlane.store.event_codec import load_json


def apply_hint(text: str, capacity: Capacity) -> Capacity:
    """Return the capacity with its rates replaced by those of the hint.

    Text that is not a JSON object changes nothing. Raises StoreDataError for an object without valid rates.
    """
    hint = load_json(text)
    if not isinstance(hint, dict):
        return capacity
    try:
        return capacity.with_rates(float(hint["asks"]), float(hint["loads"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreDataError(str(error)) from error
