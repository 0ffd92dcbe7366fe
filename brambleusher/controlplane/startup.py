"""Startup of a replica: recovers its disk, and creates an identity if the disk has none."""

from __future__ import annotations

import logging
import random

from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.storage.errors import CorruptStorageError
from brambleusher.controlplane.storage.recovery import RecoveredState
from brambleusher.controlplane.storage.storage import Storage
from brambleusher.runtime.disk import Disk
from brambleusher.runtime.signal_holding import check_shutdown_request
from brambleusher.runtime.system import System
from brambleusher.wire.consensus_messages import Member
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

WRITE_RETRY_S = 0.2
IDENTITY_BITS = 64
# Prefix of the identities of bootstrap members, followed by the address. Identities are stored on disk, so
# the prefix must not change.
BOOTSTRAP_PREFIX = "founder-"


def recover_storage(system: System, disk: Disk) -> tuple[Storage, RecoveredState]:
    """Recover a disk, and try again for as long as it refuses calls.

    A corrupt disk is emptied, and the replica rejoins the group as a new member.

    Raises:
        ShutdownRequestedError: The process is told to shut down while the disk refuses calls.
    """
    has_failed = False
    while True:
        try:
            return _recover(disk, has_failed)
        except OSError as error:
            has_failed = True
            log.warning("disk recovery failed", extra={"fields": {"reason": str(error)}})
        check_shutdown_request()
        system.sleep(WRITE_RETRY_S)


def _recover(disk: Disk, has_failed_before: bool) -> tuple[Storage, RecoveredState]:
    storage = Storage(disk)
    try:
        return storage, storage.recover(has_failed_before)
    except CorruptStorageError as error:
        reason = str(error)
    log.error("storage corrupt, disk emptied", extra={"fields": {"reason": reason}})
    for name in disk.names():
        disk.remove(name)
    disk.sync_folder()
    storage = Storage(disk)
    return storage, storage.recover()


def establish_identity(
    system: System, settings: Settings, storage: Storage, recovered: RecoveredState, rng: random.Random
) -> Member:
    """Return this replica's identity from its disk, or a new identity that is durable on return."""
    identity = recovered.identity
    if not identity:
        identity = f"{rng.getrandbits(IDENTITY_BITS):016x}"
        bootstrap_members = _bootstrap_members(settings)
        if bootstrap_members:
            identity = BOOTSTRAP_PREFIX + settings.peer_address
        elif settings.bootstrap:
            recovered.bootstrap_seeds = settings.seed_peers()
        _write_identity(system, storage, identity, bootstrap_members, recovered.bootstrap_seeds)
        recovered.log = Log(0, 0, bootstrap_members)
    return Member(identity, settings.peer_address, settings.bind.control, settings.zone, False)


def _bootstrap_members(settings: Settings) -> tuple[Member, ...]:
    """Return the seeds as bootstrap members, or no members if this process is not among the seeds.

    Seeds that turn out to be observers are removed later; see `bootstrap`.
    """
    seeds = dict(zip(settings.seed_peers(), settings.seeds, strict=True))
    if not settings.bootstrap or settings.peer_address not in seeds:
        return ()
    return tuple(Member(BOOTSTRAP_PREFIX + peer, peer, seeds[peer], "", True) for peer in sorted(seeds))


def _write_identity(
    system: System,
    storage: Storage,
    identity: str,
    bootstrap_members: tuple[Member, ...],
    bootstrap_seeds: tuple[str, ...],
) -> None:
    """Write a new identity, and retry until it is durable: no message may be sent under it before that."""
    while True:
        try:
            storage.begin(identity, bootstrap_members, bootstrap_seeds)
        except OSError as error:
            log.warning("disk write failed", extra={"fields": {"reason": str(error), "record": "identity"}})
            check_shutdown_request()
            system.sleep(WRITE_RETRY_S)
        else:
            return
