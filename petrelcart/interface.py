"""The old place of the admission controller's types; they stand in `marlstep.admission` now."""

from __future__ import annotations

from marlstep.admission.actions import (
    Action,
    Answer,
    Attach,
    Call,
    Fail,
    Health,
    IdleLimit,
    Log,
    Run,
    SetTimer,
    Signal,
)
from marlstep.admission.actions import (
    Advertise as Say,
)
from marlstep.admission.actions import (
    ForgetKey as Forget,
)
from marlstep.admission.actions import (
    KeepKey as Keep,
)
from marlstep.admission.actions import (
    Preempt as Halt,
)
from marlstep.admission.actions import (
    Reject as Refuse,
)
from marlstep.admission.actions import (
    SkipCall as Skip,
)
from marlstep.admission.events import (
    Arrival,
    CallEnded,
    CallNeeded,
    Drain,
    Event,
    Outcome,
    RunEnded,
    TimerDue,
)
from marlstep.admission.events import (
    ClientDisconnected as Gone,
)
from marlstep.admission.events import (
    Measurements as Learnt,
)
from marlstep.admission.events import (
    PoolCapacityChanged as Room,
)
from marlstep.admission.events import (
    PortionChanged as Share,
)
from marlstep.admission.events import (
    QuotaChanged as Allowance,
)
from marlstep.admission.events import (
    SettingsChanged as Changed,
)
from marlstep.admission.settings import (
    ClassSettings,
    Effect,
    Settings,
    TenantSettings,
)
from marlstep.admission.settings import (
    Downstream as Below,
)
from marlstep.admission.settings import (
    LoadSignal as Saying,
)
from marlstep.admission.settings import (
    PreemptionMode as HaltMode,
)

__all__ = [
    "Action",
    "Allowance",
    "Answer",
    "Arrival",
    "Attach",
    "Below",
    "Call",
    "CallEnded",
    "CallNeeded",
    "Changed",
    "ClassSettings",
    "Drain",
    "Effect",
    "Event",
    "Fail",
    "Forget",
    "Gone",
    "Halt",
    "HaltMode",
    "Health",
    "IdleLimit",
    "Keep",
    "Learnt",
    "Log",
    "Outcome",
    "Refuse",
    "Room",
    "Run",
    "RunEnded",
    "Say",
    "Saying",
    "SetTimer",
    "Settings",
    "Share",
    "Signal",
    "Skip",
    "TenantSettings",
    "TimerDue",
]
