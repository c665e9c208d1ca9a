"""Bytes of each kind of message, as the codec of the links makes them."""

from __future__ import annotations

import zlib

import msgspec

from ambershift.system.messages import codec, forwarding, proxy_link, registry_sync, replication
from ambershift.system.messages.items import INSTANCE, Item
from benchmarks.capacity import world
from benchmarks.capacity.meter import Found
from benchmarks.capacity.world import CONTROL_NODES, Size

BALLOT: replication.Ballot = (1_700, 3_900_000_001)
EPOCH, NUMBER = 3, 1_500_000_123


def to_proxies(size: Size) -> dict[str, msgspec.Struct]:
    whole = tuple(world.backend(size, at) for at in range(size.backends))
    return {
        "fh Hello": world.hello(size, 7),
        "fc Cores": proxy_link.ControlNodeHeartbeat(world.cores(size), True, size.proxies),
        "fi Items, whole": proxy_link.ItemUpdate(world.items(size), False),
        "fi Items, one route": proxy_link.ItemUpdate((world.changed(size, 7, 9),), False),
        "fb Backends, whole": proxy_link.BackendUpdate(whole, (), True),
        "fb Backends, one new": proxy_link.BackendUpdate(whole[:1], (), False),
        "fb Backends, one gone": proxy_link.BackendUpdate((), (whole[0].id,), False),
        "fb Backends, a zone new": proxy_link.BackendUpdate(
            tuple(one for one in whole if one.zone == size.names[0]), (), False
        ),
        "fl Line": proxy_link.TableEntry("service007", 111, whole[0].id, 6.0),
        "fd Bind": world.bind(size, 1),
        "fw Withdraw": proxy_link.EjectBackend(whole[0].id, True),
        "fm Mark": proxy_link.Barrier(NUMBER),
        "fr Report, 95 requests": world.report(size),
    }


def between(size: Size) -> dict[str, msgspec.Struct]:
    item, core = world.changed(size, 7, 9), world.cores(size)
    ending = Item(INSTANCE, "i-00000007", (1, ""), b'{"Service":"service007","Address":"10.0.0.7:8080"}')
    machines = tuple(
        replication.NodeRecord(one.ip, one.zone, one.region, 1_234_567_890, 2, False, True) for one in core
    )
    members = tuple(machine.voter for machine in machines)
    lives = tuple(world.lived(size, at) for at in range(0, size.backends, CONTROL_NODES))
    proxies = tuple(world.attached(size, at) for at in range(0, size.proxies, CONTROL_NODES))
    zones = size.names[::CONTROL_NODES]
    flows = tuple(
        registry_sync.PoolRate(zone, world.service(at), 12_345)
        for zone in zones
        for at in range(size.services)
    )
    value = b"v" * 300
    return {
        "cm Merge, one route": replication.MergeItems(EPOCH, NUMBER, (item,)),
        "cm Merge, an ending": replication.MergeItems(EPOCH, NUMBER, (ending,)),
        "cm Merge, all items": replication.MergeItems(EPOCH, NUMBER, world.items(size)),
        "cy Agreed": replication.Acknowledgement(EPOCH, NUMBER),
        "cr Refused": replication.Rejected(EPOCH, NUMBER, 1_700),
        "cb Beat": replication.Heartbeat(EPOCH, 2**63 + 5, 2**31 + 5, ()),
        "ck Knock": replication.Announcement(machines[0], EPOCH, 2**31 + 5),
        "cn Known": replication.PeerList(machines),
        "cv Decision": replication.VoterConfiguration(EPOCH, members, members),
        "cp Prepare": replication.Prepare(EPOCH, NUMBER, "l/lock-0007", BALLOT, BALLOT),
        "cq Promise, 300 bytes": replication.Promise(EPOCH, NUMBER, BALLOT, BALLOT, value),
        "ca Accept, whole 300": replication.Accept(EPOCH, NUMBER, "l/lock-0007", BALLOT, None, None, value),
        "ca Accept, difference 40": replication.Accept(
            EPOCH, NUMBER, "l/lock-0007", BALLOT, None, BALLOT, value[:40]
        ),
        "cl Lacking": replication.MissingBase(EPOCH, NUMBER),
        "ce Confirm": replication.ConfirmBallot(EPOCH, NUMBER, "l/lock-0007", BALLOT),
        "cs Ask, short": replication.SyncRequest(EPOCH, NUMBER, b"8" * 8, None),
        "cs Ask, buckets": replication.SyncRequest(EPOCH, NUMBER, b"8" * 512, None),
        "cs Ask, 300 registers": replication.SyncRequest(
            EPOCH, NUMBER, b"8" * 8, {f"l/lock-{at:04}": (BALLOT, BALLOT) for at in range(300)}
        ),
        "ct Share, equal": replication.SyncResponse(EPOCH, NUMBER, 3, 1_234_567_890, 0, 1, False, (), ()),
        "rp Pulse": registry_sync.RevisionAnnouncement(NUMBER, 400_000),
        "ra Ask": registry_sync.FullStateRequest(400_000),
        "rd Delta, one life": registry_sync.RegistryDelta(NUMBER, 7, 8, lives[:1], (), (), (), size.proxies),
        "rd Delta, one proxy": registry_sync.RegistryDelta(
            NUMBER, 7, 8, (), proxies[:1], (), (), size.proxies
        ),
        "rd Delta, lives of one control node": registry_sync.RegistryDelta(
            NUMBER, -1, 8, lives, (), (), (), size.proxies
        ),
        "rd Delta, proxies of one control node": registry_sync.RegistryDelta(
            NUMBER, -1, 8, (), proxies, (), (), size.proxies
        ),
        "rd Delta, flows of one control node": registry_sync.RegistryDelta(
            NUMBER, -1, 8, (), (), flows, (), size.proxies
        ),
        "eo ForwardedCall": forwarding.ForwardedCall(
            NUMBER, "locks.heartbeat", "lock-0007", b'{"Holder":"a0.77aa","fence":1700,"HoldMs":3000}', 400
        ),
        "ed Outcome": forwarding.ForwardedResponse(NUMBER, 200, b'{"fence":1700}'),
        "es Stirred": forwarding.GroupChanged("g7.", 1_700),
    }


def play(size: Size) -> Found:
    found: Found = {
        f"{name}|B": len(codec.encode(message))
        for name, message in (to_proxies(size) | between(size)).items()
    }
    for name in ("fi Items, whole", "fb Backends, whole"):
        found[f"{name}, deflated|B"] = len(zlib.compress(codec.encode(to_proxies(size)[name]), 1))
    return found
