"""Records the loads in peer updates."""

from collections.abc import Mapping

from .load_tracker import LoadTracker, TargetLoad
from .messages import PeerIdentity
from .peer_updates import KeysByHash, PeerUpdate, name_hash
from .peers import Peers
from .zone_reports import ZoneReport


class PeerLoadRecorder:
    """Passes the loads in updates to the load tracker.

    ``keys_by_hash`` holds the keys of the targets by the hashes that updates
    contain; loads of other targets are left out.

    Args:
        peers: The other hosts.
        loads: Receives their loads.
    """

    def __init__(self, peers: Peers, loads: LoadTracker) -> None:
        self.keys_by_hash: KeysByHash = {}
        self._peers = peers
        self._loads = loads

    def set_target_keys(self, keys: frozenset[str]) -> None:
        """Set the keys of the targets."""
        self.keys_by_hash = {name_hash(key): key for key in keys}

    def record(self, update: PeerUpdate, now: float) -> None:
        """Record the loads of a host, and those that it reports."""
        sender = update.sender
        own_loads = self._loads_by_key(update.load_by_target)
        self._loads.update_peer(sender.host, own_loads, now, sender.zone)
        report = update.report
        if report is None:
            return
        loads_sum = self._loads_by_key(report.loads_sum)
        if sender.zone == self._peers.own.zone:
            self._loads.update_other_zones(loads_sum, now)
            self._record_zone(sender, report, now)
        else:
            self._loads.update_zone(sender.zone, loads_sum, now)

    def _record_zone(
        self, sender: PeerIdentity, report: ZoneReport, now: float
    ) -> None:
        for reported in report.hosts:
            peer = self._peers.find(reported.host)
            if peer is not None and peer.zone == sender.zone:
                loads = report.loads_by_host.get(reported.host, {})
                self._loads.update_peer(
                    peer.host,
                    self._loads_by_key(loads),
                    now - reported.age_s,
                    peer.zone,
                )

    def _loads_by_key(
        self,
        load_by_hash: Mapping[int, TargetLoad],
    ) -> dict[str, TargetLoad]:
        keys_by_hash = self.keys_by_hash
        return {
            keys_by_hash[number]: load
            for number, load in load_by_hash.items()
            if number in keys_by_hash
        }
