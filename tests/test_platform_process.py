# SPDX-License-Identifier: MIT
"""The router's process against stand-ins of the store and of runners."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import aiohttp
import pytest

from aiohttp import web

from own_ports import free_ports
from test_platform_wire import CONFIG, ENGINE
from test_router_settings import filled_here
from violethatch_emulator.path_runner import PathRunner
from violethatch_emulator.store import StoreStandIn


ID = "Violethatch-Attempt-Id"
HEADERS = {
    "Host": "menu.example",
    "Authorization": "Token k1",
    "Violethatch-Deadline-Ms": "8000",
}


class Site:
    """A store, two runners that hold the model, and one router process."""

    #: Settings of the store beside the deployed ones.
    store_settings = "change_wait_s = 0.3\n\n"

    def __init__(self, path):
        self.path = path
        self.store = StoreStandIn()
        self.runners = {name: PathRunner(name) for name in ("i-1", "i-2")}
        self.addresses = {}
        self.process = None
        self.http = None
        self._servers = []

    async def start(self, *, version=1, routes=None, **fields):
        """Start everything and wait until the router is ready."""
        store_port = await self._serve(self.store.application())
        for name, runner in self.runners.items():
            runner.layers = (0, 80)
            port = await self._serve(runner.application())
            self.addresses[name] = f"127.0.0.1:{port}"
        ports = free_ports(4)
        self.front, self.ready, self.metrics, _ = ports
        self.configure(version=version, routes=routes)
        for name in self.runners:
            self.list_server(name)
        text = filled_here(
            ports,
            {"Bounds.RevokeMs": "1500", "Bounds.GraceS": "4"} | fields,
            store=f"127.0.0.1:{store_port}",
        )
        settings = self.path / "router.ini"
        settings.write_text(
            text.replace("[bounds]", f"{self.store_settings}[bounds]")
            + "\n[policy]\nfirst_event_limit_s = 1.0\ngap_limit_s = 0.5\n"
        )
        self.http = aiohttp.ClientSession()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "violethatch.platform",
            env=os.environ | {"VIOLETHATCH_BOOT": str(settings)},
            stdout=asyncio.subprocess.PIPE,
        )
        await self.wait_ready(200)

    async def stop(self):
        """End what was started."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.http is not None:
            await self.http.close()
        for server in self._servers:
            await server.cleanup()

    async def _serve(self, application):
        """Serve an application; return its port."""
        server = web.AppRunner(application, handler_cancellation=True)
        await server.setup()
        await web.TCPSite(server, "127.0.0.1", 0).start()
        self._servers.append(server)
        return server.addresses[0][1]

    def configure(self, *, version, routes=None, keys=("k1",), limits=None):
        """Write a desired state."""
        route = dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model")
        state = dict(CONFIG, Version=version, Routes=routes or [route])
        state["Services"] = [
            {"Name": "model", "Engine": ENGINE},
            {"Name": "labels", "MaxConnections": 110},
        ]
        state["Tenants"] = [{"Name": "clinic", "ApiKeys": list(keys)}]
        if limits is not None:
            state["Limits"] = limits
        self.store.put("op", "config", state)

    def list_server(self, name, **changes):
        """Write a runner's entry."""
        entry = {
            "Service": "model",
            "Address": self.addresses[name],
            "Zone": "heredia",
            "Slots": 96,
            "State": "ready",
            "Kind": "large",
            "layers": {"From": 0, "TargetVersion": 80, "Version": 1},
        }
        self.store.put("servers", name, entry | changes)

    async def wait_ready(self, status):
        """Wait until the balancer's question is answered with *status*."""
        url = f"http://127.0.0.1:{self.ready}/api/readiness"
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.http.get(url) as answer:
                        if answer.status == status:
                            return
                await asyncio.sleep(0.02)

    def post(self, *, path="/draft/1", call_id="c1", **headers):
        """Send a request to the router."""
        return self.http.post(
            f"http://127.0.0.1:{self.front}{path}",
            data=b"a menu",
            headers=HEADERS | {ID: call_id} | headers,
        )

    async def status_of(self, **options):
        """Return the status of a request."""
        async with self.post(**options) as answer:
            await answer.read()
            return answer.status

    async def fetch(self, path):
        """Return what the metrics' port tells."""
        url = f"http://127.0.0.1:{self.metrics}{path}"
        async with self.http.get(url) as answer:
            return await answer.read()

    async def wait_status(self, status, **options):
        """Send requests until one gets *status*."""
        async with asyncio.timeout(15):
            while await self.status_of(**options) != status:
                await asyncio.sleep(0.05)


@pytest.fixture
async def site(tmp_path):
    """Provide a site that is not started yet."""
    made = Site(tmp_path)
    yield made
    await made.stop()


def event_ids(body):
    """Return the ids of a stream's events."""
    return [int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")]


class TestServing:
    async def test_stream_reaches_its_caller(self, site):
        """Head, proof and events are the runner's; the send names the runner."""
        await site.start()
        async with site.post(path="/draft/a%2Fb?x=1") as answer:
            body = await answer.read()
        assert answer.status == 200
        assert event_ids(body) == list(range(1, 9))
        seen = [one for runner in site.runners.values() for one in runner.seen]
        assert len(seen) == 1
        assert seen[0].target == "/draft/a%2Fb?x=1"
        name = seen[0].headers["Violethatch-Target-Instance"]
        assert answer.headers["Violethatch-Response-Signature"] == f"by-{name}"
        assert seen[0].path == f"{site.addresses[name]}=0-80"
        assert seen[0].headers["Violethatch-Tenant"] == "clinic"
        assert "Authorization" not in seen[0].headers
        assert int(seen[0].headers["Violethatch-Deadline-Ms"]) <= 8000

    async def test_refusals_of_the_desired_state(self, site):
        """Unknown paths and keys get their status, with nothing run."""
        await site.start()
        assert await site.status_of(path="/none/") == 404
        assert await site.status_of(Authorization="Token other") == 401
        assert not any(runner.seen for runner in site.runners.values())

    async def test_cut_stream_goes_on_at_another_runner(self, site):
        """The caller gets every event once, whichever runner was cut."""
        await site.start()
        for runner in site.runners.values():
            runner.cut_after = 3

        def heal(*_):
            for runner in site.runners.values():
                runner.cut_after = None

        async with site.post() as answer:
            await answer.content.readuntil(b"data: 1\n\n")
            heal()
            await answer.content.read()
        assert answer.status == 200

    async def test_stream_that_cannot_go_on_looks_cut(self, site):
        """A caller never takes a part for the whole."""
        await site.start()
        for runner in site.runners.values():
            runner.cut_after = 3
        with pytest.raises(aiohttp.ClientError):
            async with site.post() as answer:
                await answer.read()

    async def test_caller_who_leaves_ends_the_run(self, site):
        """The runner's work is broken off when the caller hangs up."""
        await site.start()
        for runner in site.runners.values():
            runner.event_count = 10_000
        async with site.post(call_id="left") as answer:
            await answer.content.readuntil(b"data: 1\n\n")
            answer.close()
        async with asyncio.timeout(5):
            while not any("left" in r.dropped for r in site.runners.values()):
                await asyncio.sleep(0.02)

    async def test_leaving_runner_gets_no_new_requests(self, site):
        """After the list says so, all requests go elsewhere."""
        await site.start()
        site.list_server("i-1", State="draining")
        calls = len(site.store.calls)
        async with asyncio.timeout(5):
            while len(site.store.calls) < calls + 3:
                await asyncio.sleep(0.02)
        site.runners["i-1"].seen.clear()
        for number in range(5):
            assert await site.status_of(call_id=f"c{number}") == 200
        assert site.runners["i-1"].seen == []


class TestRestoredStore:
    @pytest.mark.parametrize("names_era", [True, False])
    async def test_copy_undoes_a_draining_and_a_removed_key(self, site, names_era):
        """What is known to have happened stands, whatever the copy says."""
        site.store.names_era = names_era
        await site.start()
        copy = site.store.copy()
        site.list_server("i-1", State="draining")
        site.configure(version=2, keys=("k2",))
        await site.wait_status(200, Authorization="Token k2")
        site.store.restore(copy)
        await asyncio.sleep(1.5)
        site.runners["i-1"].seen.clear()
        assert await site.status_of() == 401
        for number in range(5):
            key = {"Authorization": "Token k2"}
            assert await site.status_of(call_id=f"c{number}", **key) == 200
        assert site.runners["i-1"].seen == []

    async def test_restore_that_no_read_failed_for_hides_a_change(self, site):
        """A new key is known, though the store has passed its old version already."""
        await site.start()
        copy = site.store.copy()
        site.list_server("i-1", Slots=95)
        calls = len(site.store.calls)
        async with asyncio.timeout(5):
            while len(site.store.calls) < calls + 4:
                await asyncio.sleep(0.02)
        site.store.restore(copy)
        site.configure(version=2, keys=("k2",))
        site.list_server("i-1", Slots=94)
        site.list_server("i-2", Slots=94)
        await site.wait_status(200, Authorization="Token k2")
        state = json.loads(await site.fetch("/state"))
        assert state["tables"]["op"]["era"] == 2

    async def test_lost_instance_is_written_again(self, site):
        """Its entry is in the restored store again after some seconds."""
        await site.start()
        async with asyncio.timeout(10):
            while not site.store.rows.get("violethatch_instances"):
                await asyncio.sleep(0.02)
        copy = site.store.copy()._replace(rows={})
        site.store.restore(copy)
        site.configure(version=2)
        for name in site.runners:
            site.list_server(name)
        async with asyncio.timeout(10):
            while not site.store.rows.get("violethatch_instances"):
                await asyncio.sleep(0.02)
        assert await site.status_of() == 200


class TestDesiredState:
    async def test_change_is_in_force_soon(self, site):
        """A new version's key is taken, and the old one's refused."""
        await site.start()
        site.configure(version=2, keys=("k2",))
        await site.wait_status(200, Authorization="Token k2")
        assert await site.status_of() == 401

    async def test_last_key_taken_away_lets_nobody_in(self, site):
        """Requests ran with keys taken away, never given or missing, for good."""
        await site.start()
        site.configure(version=2, keys=())
        await site.wait_status(401)
        ran = sum(len(runner.seen) for runner in site.runners.values())
        for number, key in enumerate(("Token k1", "Token never", "Token ", "Basic x")):
            call_id = f"after-{number}"
            assert await site.status_of(call_id=call_id, Authorization=key) == 401
        assert sum(len(runner.seen) for runner in site.runners.values()) == ran

    async def test_older_version_changes_nothing(self, site):
        """What comes with a lower version is not taken back."""
        await site.start(version=9)
        site.configure(version=8, keys=("k2",))
        calls = len(site.store.calls)
        async with asyncio.timeout(5):
            while len(site.store.calls) < calls + 4:
                await asyncio.sleep(0.02)
        assert await site.status_of() == 200

    async def test_lost_history_is_read_anew(self, site):
        """After the store forgot its history the newest state is found."""
        await site.start()
        site.configure(version=2, keys=("k2",))
        site.store.forget_history()
        site.configure(version=3, keys=("k3",))
        await site.wait_status(200, Authorization="Token k3")

    async def test_keys_fail_closed_without_the_store(self, site):
        """A key that might have been removed is refused as not run."""
        await site.start()
        await site.wait_status(200)  # the list of servers may come after readiness
        site.store.refuse_with = 503
        await site.wait_ready(503)
        # Callers are sent elsewhere somewhat before keys count no more.
        await site.wait_status(503)
        for runner in site.runners.values():
            runner.seen.clear()
        async with site.post() as answer:
            problem = await answer.json(content_type=None)
        assert (answer.status, problem["code"], problem["ran"]) == (503, 1205, "no")
        assert "Retry-After" in answer.headers
        assert await site.status_of(path="/none/") == 503
        assert not any(runner.seen for runner in site.runners.values())
        site.store.refuse_with = 0
        await site.wait_status(200)

    async def test_state_that_is_not_understood_proves_nothing(self, site):
        """A newer state may have removed keys: the older one's are not served."""
        await site.start()
        site.store.put("op", "config", {"Version": 2, "Routes": "none"})
        await site.wait_status(503)
        await site.wait_ready(503)
        site.configure(version=3)
        await site.wait_status(200)


HEAD = (
    b"POST /draft/1 HTTP/1.1\r\nHost: menu.example\r\n"
    b"Authorization: Token k1\r\nViolethatch-Attempt-Id: c1\r\n"
    b"Violethatch-Deadline-Ms: 300\r\nContent-Length: 6\r\n\r\n"
)


class TestLimits:
    async def start(self, site, **limits):
        """Start with limits in force; return a caller's connection."""
        await site.start()
        site.configure(version=2, limits=limits)
        async with asyncio.timeout(15):
            while await self.version(site) != 2:
                await asyncio.sleep(0.02)
        return await asyncio.open_connection("127.0.0.1", site.front)

    async def version(self, site):
        """Return the version that is in force."""
        url = f"http://127.0.0.1:{site.metrics}/state"
        with contextlib.suppress(aiohttp.ClientError):
            async with site.http.get(url) as answer:
                return (await answer.json(content_type=None))["state_version"]
        return None  # it listens there last

    async def test_head_that_stays_away(self, site):
        """A head that is never whole doesn't hold its connection."""
        reader, writer = await self.start(site, HeaderTimeoutMs=200)
        writer.write(HEAD[:40])
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()

    async def test_idle_connection(self, site):
        """A connection is kept for the idle time in force, and no longer."""
        reader, writer = await self.start(site, IdleTimeoutMs=300)
        writer.write(HEAD + b"a menu")
        await reader.readuntil(b"\r\n0\r\n\r\n")
        writer.write(HEAD + b"a menu")
        await reader.readuntil(b"\r\n0\r\n\r\n")
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()

    async def test_body_that_stays_away(self, site):
        """A body that is not whole at the deadline is answered as not run."""
        reader, writer = await self.start(site)
        writer.write(HEAD + b"a m")
        async with asyncio.timeout(5):
            assert b" 408 " in await reader.readline()
        writer.close()
        assert not any(runner.seen for runner in site.runners.values())


class TestReadiness:
    async def test_not_ready_without_room_for_callers(self, site):
        """Callers are sent elsewhere before a connection could not be taken."""
        await site.start(**{"Limits.MaxFds": "215"})  # room for five
        ready = [socket.create_connection(("127.0.0.1", site.front)) for _ in range(4)]
        await site.wait_ready(200)
        ready.append(socket.create_connection(("127.0.0.1", site.front)))
        await site.wait_ready(503)
        for one in ready:
            one.close()
        await site.wait_ready(200)

    async def test_ready_instance_takes_connections(self, site):
        """From the first time that it says so, a caller gets in."""
        await site.start()
        assert await site.status_of() == 200

    async def test_sources_of_tables_are_told(self, site):
        """The state dump names from whom the tables come."""
        await site.start()
        async with asyncio.timeout(10):
            while True:
                url = f"http://127.0.0.1:{site.metrics}/state"
                async with site.http.get(url) as answer:
                    state = json.loads(await answer.read())
                if state["sources"].keys() >= {"op", "servers"}:
                    break
                await asyncio.sleep(0.1)
        assert set(state["sources"].values()) == {"store"}


class TestWords:
    async def test_rest_from_answer_to_state_and_metrics(self, site):
        """The process sends nothing, says so, and serves again afterwards."""
        await site.start()
        for runner in site.runners.values():
            runner.refuse_with = 503
            runner.asks_rest = "5"
        assert await site.status_of(call_id="told") == 503
        told = sum(len(runner.seen) for runner in site.runners.values())
        assert told == 2
        async with site.post(call_id="refused") as answer:
            assert answer.status == 503
            assert 0.5 < float(answer.headers["Retry-After"]) <= 6.5
        assert sum(len(runner.seen) for runner in site.runners.values()) == told
        state = await site.fetch("/state")
        assert json.loads(state)["asked_rest_s"].keys() == {"i-1", "i-2"}
        metrics = await site.fetch("/metrics")
        assert b"violethatch_router_servers_resting 2" in metrics
        assert b'violethatch_router_server_words_total{word="rest"} 2' in metrics
        for runner in site.runners.values():
            runner.refuse_with = 0
        await site.wait_status(200, call_id="served")
        site.process.send_signal(signal.SIGTERM)
        output, _ = await site.process.communicate()
        lines = [json.loads(line) for line in output.splitlines()]
        (rests,) = [
            line
            for line in lines
            if line["number"] == 2121 and line["request_id"] == "refused"
        ]
        assert {one["said_to"] for one in rests["rests"]} == {"told"}

    async def test_departure_is_known_before_the_list_tells(self, site):
        """One answer says it; the entry says that the runner is ready."""
        await site.start()
        site.list_server("i-2", State="draining")
        site.runners["i-1"].is_leaving = True
        assert await site.status_of(call_id="told") == 200
        site.list_server("i-2")
        site.list_server("i-1", Slots=97)
        await site.wait_status(200, call_id="other")
        seen = len(site.runners["i-1"].seen)
        for number in range(5):
            assert await site.status_of(call_id=f"c{number}") == 200
        assert len(site.runners["i-1"].seen) == seen
        assert len(site.runners["i-2"].seen) >= 6


async def _ask_once(site, number, answered):
    """Ask on a connection of its own; note the status, if there is an answer."""
    url = f"http://127.0.0.1:{site.front}/print/1"
    headers = HEADERS | {ID: f"n{number}"}
    with contextlib.suppress(aiohttp.ClientError, OSError):
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=b"a label", headers=headers) as answer,
        ):
            await answer.read()
            answered[f"n{number}"] = answer.status


class TestStop:
    async def test_stream_in_progress_is_finished(self, site):
        """A planned stop cuts nothing and then ends the process."""
        await site.start()
        for runner in site.runners.values():
            runner.event_count = 100
        async with site.post() as answer:
            await answer.content.readuntil(b"data: 1\n\n")
            site.process.send_signal(signal.SIGTERM)
            await site.wait_ready(503)
            body = await answer.read()
        assert event_ids(body)[-1] == 100
        async with asyncio.timeout(10):
            await site.process.communicate()
        assert site.process.returncode == 0

    async def test_requests_in_the_last_moment(self, site):
        """What comes on a new connection just before the end is not cut.

        A request that reached a server 3.1 s after the stop was asked for, 14 ms before
        the process had closed, ended with its connection: nothing had been under way
        when it was last looked, and the socket was still listened on.
        """
        route = dict(CONFIG["Routes"][1], TimeoutMs=3000)
        await site.start(routes=[route], **{"Bounds.GraceS": "8"})
        site.list_server("i-1", Service="labels")
        await site.wait_status(200, path="/print/1", call_id="first")
        runner = site.runners["i-1"]
        runner.event_count = 1
        runner.seen.clear()
        site.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.8)
        answered = {}
        asking = []
        while site.process.returncode is None:
            asking.append(asyncio.create_task(_ask_once(site, len(asking), answered)))
            await asyncio.sleep(0.012)
        await asyncio.gather(*asking)
        cut = {one.call_id for one in runner.seen} - answered.keys()
        assert cut == set()
        assert 200 in answered.values()

    async def test_stream_that_does_not_end(self, site):
        """It is cut before the process is killed, and its line says by whom."""
        await site.start()
        for runner in site.runners.values():
            runner.event_count = 10_000
        async with site.post(call_id="long") as answer:
            await answer.content.readuntil(b"data: 1\n\n")
            site.process.send_signal(signal.SIGTERM)
            with pytest.raises(aiohttp.ClientPayloadError):
                await answer.read()
        async with asyncio.timeout(10):
            output, _ = await site.process.communicate()
        assert site.process.returncode == 0
        lines = [json.loads(one) for one in output.splitlines()]
        ends = [one for one in lines if one["number"] in (2205, 2210, 2213, 2228)]
        (cut,) = [one for one in ends if one["request_id"] == "long"]
        assert (cut["number"], cut["reason"], cut["ran"]) == (2228, "stopping", "maybe")
        assert 3.0 < cut["age_s"] < 4.0

    async def test_stopping_process_closes_kept_connections(self, site):
        """Callers are told to go elsewhere with the next answer."""
        await site.start()
        site.process.send_signal(signal.SIGTERM)
        await site.wait_ready(503)
        async with site.post() as answer:
            await answer.read()
        assert answer.headers["Connection"] == "close"

    async def test_bad_settings_on_reload_change_nothing(self, site):
        """A broken file is logged, and the process goes on."""
        await site.start()
        (site.path / "router.ini").write_text("[instance]\n")
        site.process.send_signal(signal.SIGHUP)
        assert await site.status_of() == 200
        site.process.send_signal(signal.SIGTERM)
        output, _ = await site.process.communicate()
        lines = [json.loads(line) for line in output.splitlines()]
        assert 2007 in {line["number"] for line in lines}

    async def test_changed_file_is_taken_in_without_a_signal(self, site):
        """The platform may change the settings and send nothing."""
        await site.start()
        settings = site.path / "router.ini"
        text = settings.read_text()
        settings.write_text(text.replace("grace_s = 4", "grace_s = 3"))
        line = b""
        async with asyncio.timeout(15):
            while b'"number":2006' not in line:
                line = await site.process.stdout.readline()
                assert line


class TestAdmission:
    async def test_plans_are_made_where_instances_ask_each_other(self, site):
        """Plans were made anew only by a request that met one older than 2 s."""
        route = dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model")
        urgent = route | {"Name": "r0", "PathPrefix": "/urgent/", "Priority": 0}
        await site.start(routes=[route, urgent])
        async with asyncio.timeout(5):
            while True:
                state = json.loads(await site.fetch("/state"))
                if state["admission"]["model"]["room"] is not None:
                    break
                await asyncio.sleep(0.1)


class TestExplaining:
    async def test_lines_and_metrics_tell_of_a_request(self, site):
        """The request's id leads to its line; the counters count it."""
        await site.start()
        assert await site.status_of(call_id="told") == 200
        url = f"http://127.0.0.1:{site.metrics}"
        async with site.http.get(f"{url}/metrics") as answer:
            metrics = await answer.text()
        assert 'violethatch_router_requests_total{outcome="200"} 1' in metrics
        async with site.http.get(f"{url}/state") as answer:
            state = await answer.json(content_type=None)
        assert state["servers"] == 2
        site.process.send_signal(signal.SIGTERM)
        output, _ = await site.process.communicate()
        lines = [json.loads(line) for line in output.splitlines()]
        told = [line for line in lines if line.get("request_id") == "told"]
        assert told[0]["message_type"] == "violethatch:request_served"
        assert told[0]["state_version"] == 1
        assert b"k1" not in output
