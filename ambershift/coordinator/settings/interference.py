"""The settings block `interference`: whose counters are read where, and whether weights are eased by scores.

interference {
  interval = "10s"
  ease = false
  ease_most = "20%"
  source "node-1" {
    kind = "m2"
    job "s-1"   { tenant = "games"  file = "/run/perf/s-1.csv" }
    job "batch" { file = "/run/perf/all.csv"  cgroup = "batch.slice" }
  }
}
"""

from __future__ import annotations

import re

import msgspec

from ambershift.coordinator.settings.checks import Complaint, duration

NAME = re.compile(r"[^|\x00-\x1f]{1,128}")
SOURCES_MOST, JOBS_MOST = 64, 32
INTERVAL_LEAST, INTERVAL_MOST = 100_000_000, 60_000_000_000


class CounterJob(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One job of a node. `file` is what perf writes, a file or a FIFO; `cgroup` picks its rows where perf
    counts several groups. Jobs of one tenant are taken as the same program.
    """

    name: str
    file: str
    tenant: str = ""
    cgroup: str = ""


class Source(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    node: str
    kind: str  # Of machine: what is normal is told apart by it.
    job: tuple[CounterJob, ...] = ()


class Interference(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`interval` is perf's own, `-I`, the same at all members."""

    interval: str = "10s"
    ease: bool = False
    ease_most: str = "20%"
    source: tuple[Source, ...] = ()


def part(text: str) -> float | None:
    """`20%` as 0.2; None for what is no such part, 1 to 90."""
    found = re.fullmatch(r"([0-9]{1,2})%", text)
    return int(found[1]) / 100 if found and 1 <= int(found[1]) <= 90 else None


def check_interference(root: Interference, complain: Complaint) -> None:
    interval = duration(root.interval)
    if interval is None or not INTERVAL_LEAST <= interval <= INTERVAL_MOST:
        raise complain("interference.interval", f'\'{root.interval}\' is no time from "100ms" to "60s"')
    if part(root.ease_most) is None:
        raise complain("interference.ease_most", f'\'{root.ease_most}\' is no part from "1%" to "90%"')
    if len(root.source) > SOURCES_MOST:
        raise complain("interference.source", f"{len(root.source)} sources; there may be {SOURCES_MOST}")
    nodes, files = dict[str, str](), dict[tuple[str, str], str]()
    for at, source in enumerate(root.source):
        key = f"interference.source[{at}]"
        for name, value in (("node", source.node), ("kind", source.kind)):
            if not NAME.fullmatch(value):
                raise complain(f"{key}.{name}", f"'{value}' is no name: 1 to 128 characters without '|'")
        if source.node in nodes:
            raise complain(key, f"'{source.node}' is {nodes[source.node]} already")
        nodes[source.node] = key
        if not 1 <= len(source.job) <= JOBS_MOST:
            raise complain(key, f"{len(source.job)} jobs; a source has 1 to {JOBS_MOST}")
        names = dict[str, str]()
        for number, job in enumerate(source.job):
            where = f"{key}.job[{number}]"
            if not NAME.fullmatch(job.name):
                raise complain(where, f"'{job.name}' is no name: 1 to 128 characters without '|'")
            if job.tenant and not NAME.fullmatch(job.tenant):
                raise complain(f"{where}.tenant", f"'{job.tenant}' is no name")
            if job.name in names:
                raise complain(where, f"'{job.name}' is {names[job.name]} already")
            names[job.name] = where
            if not job.file.startswith("/") or "\0" in job.file:
                raise complain(f"{where}.file", f"'{job.file}' is no absolute path")
            if (job.file, job.cgroup) in files:
                raise complain(
                    f"{where}.file",
                    f"'{job.file}' is read for {files[job.file, job.cgroup]} "
                    "already; two jobs can't have the same counters",
                )
            files[job.file, job.cgroup] = where
