"""The models by name."""

from __future__ import annotations

from ambershift.modelcheck.model import Model
from ambershift.modelcheck.models.admin import AdminModel
from ambershift.modelcheck.models.agreement import AgreementModel
from ambershift.modelcheck.models.attempt import (
    AttemptApart,
    AttemptLarge,
    AttemptModel,
    AttemptOneTable,
    AttemptSmall,
)
from ambershift.modelcheck.models.collector import CollectorModel
from ambershift.modelcheck.models.consensus import ConsensusKills, ConsensusLarge, ConsensusModel
from ambershift.modelcheck.models.news import NewsLarge, NewsModel, NewsSmall
from ambershift.modelcheck.models.permits import PermitsLarge, PermitsModel, PermitsSmall
from ambershift.modelcheck.models.policy import PolicyModel
from ambershift.modelcheck.models.replication import (
    ReplicationFolders,
    ReplicationLarge,
    ReplicationLate,
    ReplicationModel,
    ReplicationSmall,
    ReplicationTokens,
)
from ambershift.modelcheck.models.row import RowLarge, RowModel

# Those that are not checked where none is named: for a machine with time, or parts of others.
BESIDES = {
    "permits-small",
    "permits-large",
    "replication-small",
    "replication-late",
    "replication-large",
    "news-small",
    "agreement",
    "consensus",
    "consensus-kills",
    "consensus-large",
    "attempt-one-table",
    "row-large",
    "news-large",
    "attempt-apart",
    "attempt-large",
}


def models() -> dict[str, Model]:
    made: list[Model] = [
        RowModel(),
        NewsModel(),
        CollectorModel(),
        AdminModel(),
        AttemptSmall(),
        AttemptModel(),
        PolicyModel(),
        ReplicationModel(),
        ReplicationTokens(),
        ReplicationFolders(),
        PermitsModel(),
        ReplicationSmall(),
        ReplicationLate(),
        ReplicationLarge(),
        PermitsSmall(),
        PermitsLarge(),
        RowLarge(),
        NewsLarge(),
        NewsSmall(),
        AttemptOneTable(),
        AttemptApart(),
        AttemptLarge(),
        AgreementModel(),
        ConsensusModel(),
        ConsensusKills(),
        ConsensusLarge(),
    ]
    return {one.name: one for one in made}


def usual() -> list[str]:
    return [name for name in models() if name not in BESIDES]
