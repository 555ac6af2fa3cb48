"""Runs a host in which one safety mechanism is disabled (mutation testing).

    python -P mutated_host.py --mutant NAME --clock-offset 0 --settings FILE

A soak with this file as `geranium-soak --program` must detect each mutant.
"""

import dataclasses
import pathlib
import runpy
import sys

import geranium_relay as relay
from geranium_coordination import Lease
from geranium_policy.crash_evidence import CrashEvidence
from geranium_relay.alternative_attempt import AlternativeAttempt
from geranium_relay.prefill_permits import PrefillPermits
from geranium_relay.response_forwarder import ResponseForwarder
from geranium_relay.runs import Run
from geranium_relay.sealed_windows import NotSealed, SealedWindows

EARLY_S = 0.02  # after the hosts start to write their counts
SKEWED_HOST = (
    pathlib.Path(__file__).parents[1] / 'src/geranium_soak/skewed_host.py'
)


def accept_stale_keys() -> None:
    """Accept keys whatever the age of the catalogue."""
    relay.CatalogueView.is_fresh = lambda view: view.catalogue is not None


def hold_leases_forever() -> None:
    """Treat a lease that was acquired once as held forever."""
    Lease.is_held = lambda lease, now=None: True


def resend_unsafe_requests() -> None:
    """Resend a request whose response was lost, whatever its kind."""
    Run._may_repeat = lambda run: run._send_limit.runs < 2


def revert_versions() -> None:
    """Alternate between the previous and current catalogue on confirmation."""
    accept = relay.CatalogueView.accept
    confirm = relay.CatalogueView.confirm

    def accept_and_store(view, catalogue, sent_at):
        previous = view.catalogue, view.table
        accepted = accept(view, catalogue, sent_at)
        if accepted and previous[0] is not None:
            view.formers = previous, (view.catalogue, view.table)
        return accepted

    def confirm_and_swap(view, sent_at):
        confirm(view, sent_at)
        formers = getattr(view, 'formers', None)
        if formers is not None:
            previous, present = formers
            view.catalogue = previous[0]
            view.table = previous[1]
            view.formers = present, previous

    relay.CatalogueView.formers = None
    relay.CatalogueView.__slots__ = ()
    relay.CatalogueView.accept = accept_and_store
    relay.CatalogueView.confirm = confirm_and_swap


def report_windows_twice() -> None:
    """Report windows early and unsealed, then a second time."""
    report = relay.UsageDuty._report
    initialize = relay.UsageDuty.__init__
    reported = set()

    def initialize_early(reporting, settings, *others):
        early_s = settings.write_after_s + EARLY_S
        settings = dataclasses.replace(settings, seal_after_s=early_s)
        initialize(reporting, settings, *others)

    async def seal(reporting, window):
        return await reporting._collect(window)

    async def report_again(reporting, window, lease):
        done = await report(reporting, window, lease)
        if window in reported:
            return done
        reported.add(window)
        return False

    relay.UsageDuty.__init__ = initialize_early
    relay.UsageDuty._seal = seal
    relay.UsageDuty._report = report_again


def ignore_departures() -> None:
    """Send requests to targets that announced their departure."""
    relay.TargetNotices.is_leaving = lambda notices, key: False


def ignore_pauses() -> None:
    """Send requests to targets that asked for a pause."""
    relay.TargetNotices.pause_end = lambda notices, key: None


def trust_stream_ends() -> None:
    """Take the end of a stream for complete wherever it lies."""
    ResponseForwarder._is_broken_off = lambda *_, **_begun: False


def forget_seals() -> None:
    """Seal windows again whose seals a restored store has lost."""
    SealedWindows.state = lambda sealed, window: NotSealed()
    SealedWindows.covers = lambda sealed, era: True


def resume_at_any_version() -> None:
    """Resume streams at targets of any software version."""
    relay.StreamOrigins.other_versions = lambda *_: frozenset()


def ignore_limits() -> None:
    """Send requests to targets whatever limits they name."""
    relay.TargetRateLimits.accepts_request = lambda limits, key: True


def take_cuts_for_crashes() -> None:
    """Count each broken connection to an unreached target as a crash."""
    CrashEvidence.is_crash = property(lambda evidence: True)


def pass_nothing_on() -> None:
    """Serve only what this host can send itself."""
    relay.PeerClient.choose = lambda *_: None


def forget_prefill_calls() -> None:
    """Count no prefill call against the retry budget."""
    PrefillPermits.are_left = lambda *_: True
    PrefillPermits.take = lambda *_: True


def give_up_silent_targets() -> None:
    """Give silent targets up whether another attempt is left or not."""
    Run._reserve_other = lambda *_: True
    AlternativeAttempt.release = lambda _: None


MUTANTS = {
    'uncounted-prefill': forget_prefill_calls,
    'given-up-silence': give_up_silent_targets,
    'cut-as-crash': take_cuts_for_crashes,
    'nothing-passed-on': pass_nothing_on,
    'stale-key': accept_stale_keys,
    'outlived-lease': hold_leases_forever,
    'unsafe-resend': resend_unsafe_requests,
    'old-version': revert_versions,
    'window-twice': report_windows_twice,
    'ignored-departure': ignore_departures,
    'ignored-pause': ignore_pauses,
    'forgotten-seal': forget_seals,
    'trusted-end': trust_stream_ends,
    'any-version': resume_at_any_version,
    'ignored-limit': ignore_limits,
}


if __name__ == '__main__':
    position = sys.argv.index('--mutant')
    sys.argv.pop(position)
    MUTANTS[sys.argv.pop(position)]()
    runpy.run_path(str(SKEWED_HOST), run_name='__main__')
