"""Operators' drain and restore orders, each kept until a later one replaces it. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from brackenlane.discovery.records import OperatorOrder


class OperatorOrders(Mapping[str, OperatorOrder]):
    """The latest order for each cache id, including ids of unknown caches."""

    def __init__(self, max_orders: int) -> None:
        self._by_id: dict[str, OperatorOrder] = {}
        self._max_orders = max_orders

    def __getitem__(self, cache_id: str) -> OperatorOrder:
        return self._by_id[cache_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self._by_id)

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, cache_id: str, order: OperatorOrder) -> bool:
        """Keep an order unless the present one takes precedence; return whether it is kept.

        At `max_orders` the oldest restore is discarded. Drains are never discarded: if there are only drains,
        the new order is rejected.
        """
        if not order.supersedes(self._by_id.get(cache_id)):
            return False
        if cache_id not in self._by_id and len(self._by_id) >= self._max_orders:
            restored = [known_id for known_id, known in self._by_id.items() if not known.drained]
            if not restored:
                return False
            del self._by_id[min(restored, key=self._given_at)]
        self._by_id[cache_id] = order
        return True

    def restore(self, orders: Mapping[str, OperatorOrder]) -> None:
        """Add the orders of a snapshot, except where the present one takes precedence."""
        for cache_id, order in orders.items():
            if order.supersedes(self._by_id.get(cache_id)):
                self._by_id[cache_id] = order

    def drain_of(self, cache_ids: Iterable[str]) -> OperatorOrder | None:
        """Return the first drain among the orders for these ids of one cache."""
        for cache_id in cache_ids:
            order = self._by_id.get(cache_id)
            if order and order.drained:
                return order
        return None

    def _given_at(self, cache_id: str) -> float:
        return self._by_id[cache_id].at
