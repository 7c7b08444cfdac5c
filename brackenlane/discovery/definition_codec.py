"""Codec of cache definitions in the store and the snapshot. The field names are a storage format."""

from __future__ import annotations

import re
from typing import Any

from brackenlane.discovery.domain_names import parse_name
from brackenlane.discovery.errors import InvalidDefinitionError
from brackenlane.discovery.records import PORT_LIMIT, CacheDefinition, ip_address_of
from brackenlane.routing.members import Role

CACHE_ID = re.compile(r"[0-9a-z-]{1,63}")
WEIGHT_LIMIT = 1e9  # exclusive, in concurrent transfers
PRIORITY_LIMIT = 65_536  # exclusive; a priority is that of an SRV record (RFC 2782)
MAX_ZONE_LENGTH = 64  # characters


def encode_definition(definition: CacheDefinition) -> dict[str, Any]:
    """Return the stored form of a definition."""
    return {
        "id": definition.id,
        "host": definition.host,
        "port": definition.port,
        "zone": definition.zone,
        "role": definition.role.value,
        "weight": definition.weight,
        "priority": definition.priority,
    }


def read_definition(raw: Any) -> CacheDefinition:
    """Decode a stored definition. Raises InvalidDefinitionError."""
    try:
        definition = CacheDefinition(
            str(raw["id"]).lower(),
            str(raw["host"]).rstrip(".").lower(),
            int(raw["port"]),
            str(raw["zone"]),
            Role(raw.get("role", "edge")),
            float(raw.get("weight", 1.0)),
            int(raw.get("priority", 0)),
        )
        if ip_address_of(definition.host) is None:
            parse_name(definition.host)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidDefinitionError(f"box {raw!r}: {type(error).__name__}: {error}") from error
    is_usable = (
        0 < definition.port < PORT_LIMIT
        and CACHE_ID.fullmatch(definition.id)
        and 0 < definition.weight < WEIGHT_LIMIT
        and 0 <= definition.priority < PRIORITY_LIMIT
        and len(definition.zone) <= MAX_ZONE_LENGTH
    )
    if not is_usable:
        raise InvalidDefinitionError(
            f"box {raw!r}: an id of letters, digits and '-', a port and a weight are needed,"
            " and a priority and a zone within their bounds"
        )
    return definition
