"""Tests of the soak's checks, and a short run of the soak itself."""

import asyncio
import base64
import dataclasses
import itertools
import json
import shutil

import pytest

from tools import soak
from tools import soak_callers
from tools import soak_checks as checks
from tools import soak_faults
from tools import soak_hosts
from tools import soak_record
from tools import soak_upstreams

KEY = "key-of-the-growers-1"
HOST = "127.0.0.1"
OTHER = "127.0.0.2"

SENT = soak_record.Sent(
    name="a",
    at=100.0,
    host=HOST,
    service="desk",
    idempotent=False,
    key=KEY,
    status=200,
    body=b"answer to a",
    signature="sig-a",
    ended=100.1,
    left_s=2.0,
    end="answered",
)
ARRIVAL = soak_record.Arrival(
    name="a",
    at=100.05,
    service="desk",
    host=OTHER,
    instance="i-1",
    ran=True,
    headers={
        "x-savorytally-tenant": "growers",
        "x-savorytally-deadline-ms": "1950",
    },
)
STOP = soak_record.Fault("stop", HOST, "planned", 99.0, 105.0)
RELOAD = soak_record.Fault("reload", HOST, "planned", 99.0, 99.0)
KILL = soak_record.Fault("kill", HOST, "process", 99.0, 99.5)
KILL_ELSEWHERE = soak_record.Fault("kill", "127.0.0.3", "process", 99.0, 99.5)


def changed(item, **changes):
    return dataclasses.replace(item, **changes)


CUT = changed(SENT, status=0, body=b"", signature="", ended=100.3, end="cut")
SAFE = changed(SENT, idempotent=True)
ADVERTISING = changed(
    SENT, name="advertising", start="i-1@1", limited=True, leaving=True
)
DENIED = changed(SENT, status=404, body=b"", signature="")
HUNG = soak_record.Fault("store_hung", "", "silence", 90.0, 96.9)
NODE_ERROR = changed(CUT, status=502, end="answered")
# Long work that its node gives up three seconds after a stop, whose upstream
# notices a moment earlier that the connection has gone.
GIVEN_UP = changed(
    NODE_ERROR, service="desk-long", at=98.5, ended=102.0, left_s=9.0
)
LONG_ARRIVAL = changed(ARRIVAL, at=98.6)
STOP_ELSEWHERE = soak_record.Fault("stop", OTHER, "planned", 97.9, 103.8)


def record(sent=(SENT,), arrivals=(ARRIVAL,), faults=(), ends=None, **others):
    """Return the record of a run, by default of one without a breach."""
    return soak_record.Record(
        organisations={KEY: "growers"},
        sent=list(sent),
        arrivals=list(arrivals),
        faults=list(faults),
        run_ends=ends or {},
        **others,
    )


def given_up(at=102.0, faults=(STOP,), sent_at=98.5, **changes):
    """Return the record of long work that a node gives up at a time."""
    sent = changed(GIVEN_UP, at=sent_at, ended=at, **changes)
    arrival = changed(LONG_ARRIVAL, at=sent_at + 0.1)
    return record([sent], [arrival], faults, run_end(at - 0.01, 0))


def call_given_up(sent_at, at, **changes):
    """Return the record of a call that its node gives up at a time.

    :param sent_at: Unix time of the call, made by a run on the stopping host.
    :param at: Unix time at which the node responds in place of the upstream.
    :param changes: changes to the request for which the call is made.
    """
    parent = changed(
        SAFE,
        **{
            **{"name": "parent", "service": "index-long", "host": OTHER},
            **{"at": 98.0, "ended": at + 0.001, "left_s": 9.0, "status": 500},
            **changes,
        },
    )
    call = changed(
        GIVEN_UP,
        service="vault-long",
        idempotent=True,
        key="",
        at=sent_at,
        ended=at,
        left_s=12.0,
        parent=0,
    )
    arrivals = [
        changed(ARRIVAL, name="parent", at=98.1, host=HOST),
        changed(ARRIVAL, at=sent_at + 0.1, headers={}),
    ]
    ends = {1: soak_record.RunEnd(at - 0.01, 0, False)}
    return record([parent, call], arrivals, [STOP], ends)


def run_end(at, status=200, broke=False):
    return {0: soak_record.RunEnd(at, status, broke)}


def copies(count, item, **changes):
    """Return copies of a request or an arrival with distinct names."""
    return [changed(item, name=f"n{i}", **changes) for i in range(count)]


def with_responses(items):
    """Return requests that received their own complete response."""
    return [
        changed(
            item,
            body=f"answer to {item.name}".encode(),
            signature=f"sig-{item.name}",
        )
        for item in items
    ]


def calls_below_a_retry(count):
    """Return the record of a retried request and calls of the retry."""
    top = [changed(SAFE, service="desk")]
    calls = with_responses(
        copies(count, SAFE, service="vault", key="", parent=1)
    )
    arrivals = [ARRIVAL, changed(ARRIVAL, instance="i-2")] + [
        changed(
            ARRIVAL,
            name=call.name,
            service="vault",
            headers={"x-savorytally-deadline-ms": "1950"},
        )
        for call in calls
    ]
    return record([*top, *calls], arrivals)


BREACHES = {
    "statuses_are_final": record([changed(SENT, status=600)]),
    "at_most_once": record(arrivals=[ARRIVAL, ARRIVAL]),
    "refusals_are_true": record([changed(SENT, status=503)]),
    "answers_are_whole_and_own": record([changed(SENT, body=b"answer")]),
    "upstreams_see_no_key": record(
        arrivals=[
            changed(ARRIVAL, headers={**ARRIVAL.headers, "x": f"T {KEY}"})
        ]
    ),
    "withdrawn_keys_end": record(key_revoked_at={KEY: 80.0}),
    "planned_work_cuts_nothing": record(
        [CUT], faults=[STOP], ends=run_end(100.5)
    ),
    "requests_passed_on_are_answered": record(
        copies(4, CUT), copies(4, ARRIVAL), faults=[KILL_ELSEWHERE]
    ),
    "repeats_are_bounded": calls_below_a_retry(70),
    "attempts_are_bounded": record(
        with_responses(copies(4, SAFE)),
        [
            changed(ARRIVAL, name=f"n{i}", instance=f"i-{j}")
            for i in range(4)
            for j in range(3)
        ],
    ),
    "deadlines_are_handed_down": record(
        with_responses(copies(21, SAFE)),
        copies(
            21,
            ARRIVAL,
            headers={
                "x-savorytally-tenant": "growers",
                "x-savorytally-deadline-ms": "3000",
            },
        ),
    ),
    "leaving_upstreams_get_nothing": record(
        arrivals=[changed(ARRIVAL, start="i-1@1")],
        draining_since={"i-1@1": 98.0},
    ),
    "abandoned_requests_end": record(
        [
            changed(sent, end="timeout", status=0)
            for sent in copies(4, SAFE, ended=100.5)
        ],
        copies(4, ARRIVAL, at=101.1),
    ),
    "named_limits_are_kept": record(
        with_responses(
            [changed(ADVERTISING, leaving=False)]
            + copies(12, SAFE, at=104.0, ended=104.2)
        ),
        copies(12, ARRIVAL, at=104.1, start="i-1@1"),
        advertised_limits=[
            soak_record.AdvertisedLimit("i-1@1", 1.0, 99.0, 110.0)
        ],
    ),
    "cold_upstreams_get_few": record(
        with_responses(copies(18, SAFE)),
        copies(18, ARRIVAL, start="i-1@1"),
        cold_spells=[soak_record.ColdSpell("i-1@1", 101.0)],
    ),
    "confined_requests_stay": record(
        confinements=[
            soak_record.Confinement(
                "desk", frozenset((OTHER,)), 94.0, 110.0, 5.0
            )
        ]
    ),
    "leaving_answers_are_heeded": record(
        with_responses([ADVERTISING, *copies(1, SAFE, at=103.0, ended=103.2)]),
        copies(1, ARRIVAL, at=103.1, start="i-1@1"),
    ),
    "routes_stay_in_force": record(
        with_responses(copies(1, SAFE, service="added-2", key=""))
        + [
            changed(
                SAFE,
                name="late",
                service="added-2",
                key="",
                at=103.2,
                status=404,
                body=b"",
                signature="",
            )
        ],
        [changed(ARRIVAL, name="n0", headers={})],
    ),
    "allowed_requests_are_not_denied": record(
        [DENIED], faults=[HUNG], allowed_since={"desk": 97.9}
    ),
    "nodes_keep_running": record(unexpected_exits=[HOST]),
    "nodes_log_no_error": record(node_errors=["127.0.0.1: tick failed"]),
    "nodes_keep_their_memory": record(peak_memory_bytes={HOST: 201 << 20}),
}
UNEXCUSED = {
    "stop": record([CUT], faults=[STOP], ends=run_end(100.5)),
    "at once": record([changed(CUT, ended=100.06)], faults=[STOP]),
    "not passed on": record([CUT], arrivals=[], faults=[STOP]),
    "reload": record([CUT], faults=[RELOAD], ends=run_end(100.5)),
    "answer in place": record(
        [NODE_ERROR], faults=[STOP], ends=run_end(100.5)
    ),
    "fault elsewhere": record([CUT], faults=[STOP, KILL_ELSEWHERE]),
    "store": record([CUT], faults=[STOP, changed(KILL, group="store")]),
    "series": record([CUT], faults=[STOP, changed(STOP, at=99.5)]),
    "half of the grace": given_up(),
    "before the last sixth": given_up(103.9),
    "sent late": given_up(104.5, sent_at=102.1),
    "internal error": given_up(status=500),
    "reset": given_up(status=0, end="not read"),
    "closed": given_up(status=0, end="cut"),
    "call by estimate": call_given_up(103.0, 104.3),
    "call early in the stop": call_given_up(100.0, 102.6),
    "upstream's host stops": given_up(
        faults=[STOP, changed(STOP_ELSEWHERE, at=98.0)]
    ),
    "closed while the upstream's host stops": given_up(
        103.7, [STOP, STOP_ELSEWHERE], 98.0, status=0, end="cut"
    ),
    "upstream's host stops again": given_up(
        103.7, [STOP, changed(STOP_ELSEWHERE, at=95.0), STOP_ELSEWHERE]
    ),
}
EXCUSED = {
    "after the stop": record([CUT], faults=[changed(STOP, until=100.2)]),
    "killed": record([CUT], faults=[STOP, KILL]),
    "upstream's host killed": record(
        [CUT], faults=[STOP, changed(KILL, host=OTHER)]
    ),
    "broken off": record(
        [CUT], faults=[STOP], ends=run_end(100.2, 0, broke=True)
    ),
    "at its deadline": record([changed(CUT, left_s=0.3)], faults=[STOP]),
    "crossed the close": record(
        [changed(CUT, ended=100.1)], arrivals=[], faults=[STOP]
    ),
    "not read": record(
        [changed(CUT, end="not read")], arrivals=[], faults=[STOP]
    ),
    "slow upstream": record(
        [changed(CUT, ended=104.2, left_s=9.0)],
        faults=[STOP],
        ends=run_end(104.9),
    ),
    "answer after the run": record(
        [NODE_ERROR], faults=[STOP], ends=run_end(100.2)
    ),
    "in the last sixth": given_up(104.1),
    "cut in the last sixth": given_up(104.6, status=0, end="cut"),
    "at the time-out of the caller": given_up(left_s=3.52),
    "at the time-out of the route": given_up(104.5, sent_at=96.52),
    "last sixth of the upstream's host": given_up(
        103.7, [STOP, STOP_ELSEWHERE], sent_at=98.0
    ),
    "call in the last sixth": call_given_up(101.0, 104.3),
    "call at the deadline of its request": call_given_up(
        103.0, 104.3, left_s=6.32
    ),
    "call of a request that has ended": call_given_up(103.0, 104.3, ended=104),
    "deadline kept by the upstream": given_up(signature="sig-a", status=504),
}


class TestChecks:
    def test_each_check_has_a_record_that_breaches_it(self):
        assert set(BREACHES) == set(checks.checks)

    def test_correct_run_has_no_breach(self):
        assert checks.find_breaches(record()) == []

    @pytest.mark.parametrize("name", sorted(BREACHES))
    def test_breach_is_found_by_its_check_only(self, name):
        breaches = checks.find_breaches(BREACHES[name])
        assert {breach.split(":")[0] for breach in breaches} == {name}

    @pytest.mark.parametrize("name", sorted(UNEXCUSED))
    def test_cut_by_planned_operation_is_found(self, name):
        (breach,) = checks.find_breaches(UNEXCUSED[name])
        assert breach.startswith("planned_work_cuts_nothing")

    @pytest.mark.parametrize("name", sorted(EXCUSED))
    def test_other_cut_is_excused(self, name):
        assert checks.find_breaches(EXCUSED[name]) == []

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_run_after_a_rejection_is_found(self, idempotent):
        late = changed(ARRIVAL, at=103.0)
        refused = changed(SENT, status=429, idempotent=idempotent)
        (breach,) = checks.find_breaches(record([refused], [late]))
        assert breach.startswith("refusals_are_true")

    def test_organisation_of_another_key_is_found(self):
        headers = {**ARRIVAL.headers, "x-savorytally-tenant": "agents"}
        other = changed(ARRIVAL, headers=headers)
        (breach,) = checks.find_breaches(record(arrivals=[other]))
        assert breach.startswith("upstreams_see_no_key")

    def test_next_incarnation_of_a_drained_upstream_may_be_used(self):
        """Seed 1101: a drained upstream restarted with the same identifier."""
        later = changed(ARRIVAL, start="i-1@2")
        left = {"i-1@1": 98.0}
        assert (
            checks.find_breaches(record(arrivals=[later], draining_since=left))
            == []
        )


class TestConfinements:
    @pytest.mark.parametrize(
        "confined",
        [
            soak_record.Confinement("desk", frozenset((OTHER,)), *span, 5.0)
            for span in ((96.0, 110.0), (90.0, 100.0))
        ]
        + [
            soak_record.Confinement(
                "desk", frozenset((HOST,)), 90.0, 110.0, 5.0
            ),
            soak_record.Confinement(
                "vault", frozenset((OTHER,)), 90.0, 110.0, 5.0
            ),
        ],
    )
    def test_arrival_that_is_not_excluded_is_no_breach(self, confined):
        assert checks.find_breaches(record(confinements=[confined])) == []

    @pytest.mark.parametrize(
        "span, excused",
        [((86.0, 87.1), True), ((97.0, 97.1), True), ((92.0, 97.0), False)],
    )
    def test_arrival_after_a_fault_of_the_store_is_excused_for_a_while(
        self, span, excused
    ):
        """A watch that the store lost kept hosts from knowing for 22 s."""
        confined = soak_record.Confinement(
            "", frozenset((OTHER,)), 90.0, 110.0, 5.0
        )
        fault = soak_record.Fault("store_down", "", "store", *span)
        found = record(confinements=[confined], faults=[fault])
        assert (checks.find_breaches(found) == []) is excused


class TestDenials:
    @pytest.mark.parametrize(
        "denied, changes",
        [
            (DENIED, {"allowed_since": {"desk": 98.1}}),
            (DENIED, {"faults": [changed(HUNG, until=97.1)]}),
            (DENIED, {"faults": [KILL]}),
            (changed(DENIED, status=401), {"key_revoked_at": {KEY: 100.0}}),
            (changed(DENIED, signature="sig-a"), {}),
        ],
        ids=["soon", "store", "host", "key", "upstream"],
    )
    def test_denial_is_excused(self, denied, changes):
        found = record(
            [denied], **{"allowed_since": {"desk": 97.0}, **changes}
        )
        assert checks.find_breaches(found) == []

    @pytest.mark.parametrize("status", [401, 403, 404])
    def test_denial_of_what_all_versions_allow_is_never_excused(self, status):
        found = record(
            [changed(DENIED, status=status)],
            faults=[changed(HUNG, until=99.9), KILL],
            allowed_since={"desk": 0.0},
        )
        assert len(checks.find_breaches(found)) == 1

    @pytest.mark.parametrize("until, breaches", [(96.9, 1), (97.1, 0)])
    def test_host_in_touch_that_lacks_versions_is_found(self, until, breaches):
        """A host without news of the store answers 503 instead of 404."""
        body = b'{"code":1021,"name":"stale_view"}'
        found = record(
            [changed(DENIED, status=503, body=body)],
            arrivals=[],
            faults=[changed(HUNG, until=until)],
            allowed_since={"desk": 0.0},
        )
        assert len(checks.find_breaches(found)) == breaches

    @pytest.mark.parametrize("until, breaches", [(96.9, 1), (97.1, 0)])
    def test_revoked_key_ends_sooner_in_touch_with_the_store(
        self, until, breaches
    ):
        found = record(
            key_revoked_at={KEY: 97.0}, faults=[changed(HUNG, until=until)]
        )
        assert len(checks.find_breaches(found)) == breaches


class TestRetries:
    def test_bound_grows_with_the_number_of_requests(self):
        breaching = calls_below_a_retry(70)
        breaching.sent += [
            changed(CUT, name=f"m{i}", at=99.0, service="vault")
            for i in range(40)
        ]
        assert checks.retries_by_service(breaching)["vault"][1] > 70
        assert checks.find_breaches(breaching) == []

    def test_rejected_arrivals_count(self):
        rejected = changed(ARRIVAL, ran=False)
        found = checks.retries_by_service(record(arrivals=[rejected] * 60))
        assert found["desk"][0] == 59

    def test_retries_further_apart_than_the_window_do_not_add_up(self):
        late = changed(ARRIVAL, at=ARRIVAL.at + checks.RETRY_WINDOW_S + 1)
        arrivals = [ARRIVAL] * 41 + [late] * 40
        found = checks.retries_by_service(record([SAFE], arrivals))
        assert found["desk"][0] == 40


class TestSchedule:
    @pytest.mark.parametrize("seed", range(len(soak_faults.GROUPS_BY_SEED)))
    def test_seed_gives_the_same_faults(self, seed):
        first = soak_faults.schedule(seed, 8, 20.0)
        assert first == soak_faults.schedule(seed, 8, 20.0)
        assert first != soak_faults.schedule(seed + 5, 8, 20.0)

    @pytest.mark.parametrize("seed", range(len(soak_faults.GROUPS_BY_SEED)))
    def test_slow_work_accompanies_planned_operations(self, seed):
        """All work was short, so none lasted until the end of a stop."""
        spells = soak_faults.slow_spells(seed, 6, 12.0)
        groups = soak_faults.GROUPS_BY_SEED[seed]
        assert spells == soak_faults.slow_spells(seed, 6, 12.0)
        assert (len(spells) > 5) is (soak_faults.PLANNED in groups)

    def test_silences_of_the_store_leave_time_for_the_checks(self):
        """With faults that renew reads, lost watches remained unseen."""
        planned = soak_faults.schedule(5, 12, 60.0)
        kinds = {fault.kind for fault in planned}
        begun = [
            fault.at_s for fault in planned if fault.kind.startswith("store")
        ]
        gaps = [after - at for at, after in itertools.pairwise(begun)]
        assert kinds == {
            *("change", "revoke", "store_hung", "store_connections_silent")
        }
        assert min(gaps) >= soak_faults.SILENCE_INTERVAL_S

    def test_every_group_of_faults_is_drawn_for_some_seed(self):
        grouped = frozenset().union(*soak_faults.GROUPS_BY_SEED)
        assert {kind.group for kind in soak_faults.KINDS.values()} == grouped


def test_draining_upstream_is_not_listed_as_ready_after_a_restart():
    """Seed 81: requests ran at a draining upstream listed as ready."""
    run = soak.Soak(81, 3, 1.0, soak.ROOT)
    host = run.hosts[0]
    for draining, state in ((False, "ready"), (True, "draining")):
        host.upstream.draining = draining
        run.list_upstream(host)
        value = run.store.items["servers/i-0"]["value"]
        assert json.loads(base64.b64decode(value))["state"] == state


def test_silenced_connections_stay_silent_and_later_ones_work():
    """A hung store keeps the connections that it no longer serves."""

    async def answers(writer, reader):
        writer.write(b"ping")
        try:
            return await asyncio.wait_for(reader.read(4), 0.2) == b"ping"
        except TimeoutError:
            return False

    async def echo(reader, writer):
        while data := await reader.read(4):
            writer.write(data)
        writer.close()

    async def scenario():
        far, near, port = "127.19.0.1", "127.19.0.2", soak_hosts.STORE_PORT
        server = await asyncio.start_server(echo, far, port)
        proxy = soak_hosts.Proxy(near, far, port)
        await proxy.start()
        found = []
        for later in (None, True, False):
            if later is not None:
                proxy.silence(later=later)
            connections.append(await asyncio.open_connection(near, port))
            found.append([await answers(w, r) for r, w in connections])
        for _, writer in connections:
            writer.close()
        server.close()
        await asyncio.sleep(0.05)
        return found

    connections = []
    assert asyncio.run(scenario()) == [
        [True],
        [False, False],
        [False, False, True],
    ]


def test_connection_that_is_being_accepted_ends_the_run():
    """Seed 1: an upstream crashed between accept and connection."""

    class Transport:
        aborted = False

        def abort(self):
            self.aborted = True

    connection = soak_upstreams.Connection(lambda connection: None)
    connection.abort()
    transport = Transport()
    connection.connection_made(transport)
    assert transport.aborted


@pytest.mark.live
def test_node_that_gives_up_work_at_half_of_the_grace_is_found(
    tmp_path, capsys, monkeypatch
):
    """No run had work that lasts until the end of a stop."""
    spells = [
        soak_faults.PlannedFault(0.0, "slow_work", host, 2.0, 0)
        for host in range(3)
    ]
    stops = [
        soak_faults.PlannedFault(1.0, "restart", host, 0.2, 0)
        for host in range(3)
    ]
    for name in soak_callers.PATIENT_KINDS:
        kind = changed(soak_callers.KINDS[name], timeout_s=(4.6, 4.8))
        monkeypatch.setitem(soak_callers.KINDS, name, kind)
    monkeypatch.setattr(soak_faults, "schedule", lambda *_: stops)
    monkeypatch.setattr(soak_faults, "slow_spells", lambda *_: spells)
    monkeypatch.setattr(soak_upstreams, "SLOW_WORK_S", (4.5, 6.0))
    monkeypatch.setattr(soak_upstreams, "SLOW_ENTRY_FRACTION", 1.0)
    for folder in ("deploy", "src"):
        shutil.copytree(soak.ROOT / folder, tmp_path / folder)
    changed_file = tmp_path / "src/savorytally/dataplane/planned_stop.py"
    source = changed_file.read_text()
    assert source.count("work_s = grace_s - responses_s") == 1
    changed_file.write_text(
        source.replace("grace_s - responses_s", "grace_s / 2", 1)
    )
    status = soak.main(
        ["--seeds", "0", "--hosts", "3", "--seconds", "1.0"]
        + ["--tree", str(tmp_path)]
    )
    (line,) = capsys.readouterr().out.splitlines()
    assert status == 1, line
    assert set(json.loads(line)["rules"]) == {"planned_work_cuts_nothing"}


# Seed 6 draws planned operations only, seed 1 faults of upstreams too, seed 10
# faults of all groups, and seed 11 silences of the store among changes.
@pytest.mark.live
@pytest.mark.parametrize("seed", [6, 1, 10, 11])
def test_seeded_run_has_no_breach(seed, capsys):
    status = soak.main(
        ["--seeds", str(seed), "--hosts", "6", "--seconds", "12"]
    )
    assert status == 0, capsys.readouterr().out
