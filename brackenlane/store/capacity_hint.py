"""The capacity hint: the rates that the store can serve, as an operator may write them into it."""

from __future__ import annotations

from brackenlane.coldstart.pacing import Capacity
from brackenlane.store.errors import StoreDataError
from brackenlane.store.event_codec import load_json


def apply_hint(text: str, capacity: Capacity) -> Capacity:
    """Return the capacity with the rates of the hint.

    Text that is no JSON object changes nothing; StoreDataError for an object without usable rates.
    """
    hint = load_json(text)
    if not isinstance(hint, dict):
        return capacity
    try:
        return capacity.with_rates(float(hint["asks"]), float(hint["loads"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreDataError(str(error)) from error
