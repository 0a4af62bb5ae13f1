"""Digest of the mapping settings, stored in compiled schedules. No I/O.

Two schedules with the same digest were compiled with the same mapping settings. The digest is computed over a JSON
object whose keys are part of the schedule format, so the keys are literals here and independent of the field names.
"""

from __future__ import annotations

import orjson
from blake3 import blake3

from marlstep.traces.mapping import MappingSettings, Rule


def settings_digest(settings: MappingSettings) -> str:
    """Return the BLAKE3 digest of the settings in their stored form, in hexadecimal."""
    return blake3(orjson.dumps(_to_json(settings), option=orjson.OPT_SORT_KEYS)).hexdigest()


def _to_json(settings: MappingSettings) -> dict[str, object]:
    return {
        "rules": [_rule_to_json(rule) for rule in settings.rules],
        "work": {
            name: {"least_us": work.min_us, "most_us": work.max_us} for name, work in settings.work.items()
        },
        "rest": settings.default_class,
        "scale": {"low": settings.scale.low, "high": settings.scale.high},
        "tenants": settings.tenant_mode.value,
        "tenant_names": settings.tenant_names,
        "rest_tenant": settings.default_tenant,
    }


def _rule_to_json(rule: Rule) -> dict[str, object]:
    return {
        "kind": rule.request_class,
        "kinds": sorted(rule.categories),
        "tenants": sorted(rule.tenants),
        "hint_from": rule.min_hint,
        "hint_under": rule.max_hint,  # infinity is stored as null
    }
