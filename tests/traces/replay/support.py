"""Senders for replays with the request classes of a test node."""

from __future__ import annotations

from marlstep.config import check
from marlstep.traces.replay.campaign import Campaign
from marlstep.traces.replay.figures import ServiceMetrics
from marlstep.traces.retries import Retries
from tests.support.node import raw_config

SETTINGS = check(raw_config()).settings


CLASSES = {request_class.name: request_class for request_class in SETTINGS.classes}


def make_campaign(retries: Retries = Retries.NONE, nodes: int = 1) -> Campaign:
    return Campaign(CLASSES, retries, 1, ServiceMetrics(), nodes)
