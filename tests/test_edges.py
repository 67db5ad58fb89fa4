# SPDX-License-Identifier: MIT
"""Bad input, limits, secrets, TLS and callers who go away, on a real instance."""

from __future__ import annotations

import asyncio
import json
import signal
import ssl
import subprocess

import aiohttp
import pytest

from proving import label, long_prompt, wait_running
from violethatch import clocks
from violethatch_emulator.callers import (
    call_service,
    stream,
    workspace_key,
    workspace_spec,
)
from violethatch_emulator.cluster import OPERATORS_KEY, PEERS_KEY


async def post(cluster, path, *, data, key="clinic", **headers):
    """Post to an instance; return the status, the headers and the answer."""
    headers["Authorization"] = f"Bearer {workspace_key(key)}"
    async with cluster.http.post(
        cluster.url("e1", path), data=data, headers=headers
    ) as answer:
        return answer.status, answer.headers, await answer.json(content_type=None)


class TestBadInput:
    async def test_coded_problem_and_nothing_run(self, bench):
        """Each malformed request gets its code and says that it was not run."""
        await bench.start(limits={"body_bytes": 1000})
        cluster = bench.cluster
        path = "/v1/completions"
        good = {"model": cluster.model, "prompt": "a", "max_tokens": 1}
        cases = [
            (path, b"{", 400, 1101),
            (path, b"[]", 400, 1101),
            (path, b"\xff\xfe", 400, 1101),
            (path, json.dumps(good | {"max_tokens": -1}), 400, 1101),
            (path, json.dumps(good | {"prompt": 3}), 400, 1101),
            (path, json.dumps({"model": cluster.model}), 400, 1101),
            (path, json.dumps(good | {"model": "none"}), 404, 1103),
            (path, json.dumps(good | {"prompt": "x" * 2000}), 413, 1104),
            ("/v1/chat/completions", json.dumps(good), 400, 1101),
            ("/v1/nothing", b"", 404, 1103),
            ("/services/none/x", b"", 404, 1103),
        ]
        for where, data, status, code in cases:
            got = await post(cluster, where, data=data)
            assert (got[0], got[2]["code"], got[2]["ran"]) == (status, code, "no")
        got = await post(cluster, path, data=json.dumps(good), key="stranger")
        assert (got[0], got[2]["code"]) == (401, 1102)
        assert cluster.ledger().lines == []

    async def test_operators_errors(self, bench):
        """Malformed intents and foreign keys get their codes."""
        await bench.start(runners=())
        cluster = bench.cluster
        for intent, text in [
            ({"set": {"workspaces": {"w": {"priority": 99}}}}, "priority"),
            ({"set": {"models": {"UPPER": {}}}}, "models"),
            ({"remove": {"models": ["none"]}}, "none"),
        ]:
            status, problem = await cluster.operate("e1", "POST", "/plan", intent)
            assert (status, problem["code"]) == (400, 1501)
            assert text in problem["detail"]
        port = cluster.processes["e1"].ports["operators_port"]
        async with cluster.http.get(f"http://127.0.0.1:{port}/state") as answer:
            assert answer.status == 401

    async def test_key_reuse_and_length(self, bench):
        """A key with another body is refused, and so is one that is too long."""
        await bench.start(runners=())
        cluster = bench.cluster
        await cluster.start_service("s1", "labels")
        await cluster.wait_services("e1")
        path = "/services/labels/print"
        key = {"Idempotency-Key": "k"}
        assert (await post(cluster, path, data="one", **key))[0] == 201
        status, _, problem = await post(cluster, path, data="two", **key)
        assert (status, problem["code"]) == (422, 1106)
        status, _, problem = await post(
            cluster, path, data="one", **{"Idempotency-Key": "k" * 256}
        )
        assert (status, problem["code"]) == (400, 1101)
        # The same key of another workspace is another key.
        assert (await post(cluster, path, data="two", key="outlet", **key))[0] == 201
        assert len(cluster.service_calls()) == 2


class TestLimits:
    async def test_workspace_is_told_when_to_come_back(self, bench):
        """Over its rate a workspace gets 1105 with Retry-After; others go on."""
        await bench.start(runners=())
        cluster = bench.cluster
        await cluster.start_service("s1", "lookup")
        small = {"set": {"workspaces": {"clinic": workspace_spec("clinic")}}}
        small["set"]["workspaces"]["clinic"]["requests_per_s"] = 1.0
        await cluster.declare("e1", small)
        await cluster.wait_services("e1")
        path = "/services/lookup/x"
        answers = [await post(cluster, path, data="") for _ in range(3)]
        status, headers, problem = answers[-1]
        assert (status, problem["code"], problem["ran"]) == (429, 1105, "no")
        assert int(headers["Retry-After"]) >= 1
        assert (await post(cluster, path, data="", key="outlet"))[0] == 201

    async def test_connections_are_bounded(self, bench):
        """A connection beyond the limit gets a refusal, not a hang."""
        await bench.start(runners=(), limits={"connections": 4})
        cluster = bench.cluster
        port = cluster.processes["e1"].ports["callers_port"]
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        text = (await asyncio.wait_for(reader.read(), 5)).decode()
        assert text.startswith("HTTP/1.1 503")
        assert '"code":1202' in text
        for _, other in [*idle, (reader, writer)]:
            other.close()


class TestGivenUp:
    async def test_no_runner_left_answers_at_once(self, bench):
        """With a range of layers gone the caller hears it now, with Retry-After."""
        await bench.start(policy={"recovery_wait_s": 0.5})
        cluster = bench.cluster
        dead = ("r2a", "r2b")
        for runner in dead:
            await cluster.processes[runner].kill()
        await cluster.wait_state(
            "e1",
            lambda state: (
                not any(
                    x["connected"] for x in state["runners"] if x["runner_id"] in dead
                )
            ),
        )
        body = json.dumps({"model": cluster.model, "prompt": "a", "max_tokens": 3})
        started_s = clocks.now_s()
        status, headers, problem = await post(cluster, "/v1/completions", data=body)
        assert clocks.now_s() - started_s < 5
        assert (status, problem["code"], problem["ran"]) == (503, 1201, "no")
        assert "Retry-After" in headers

    async def test_stream_that_cannot_go_on_is_not_called_whole(self, bench):
        """In mid-stream the error comes as the last event, without [DONE]."""
        await bench.start(policy={"recovery_wait_s": 0.5})
        cluster = bench.cluster
        times_s = []
        streaming = asyncio.create_task(
            stream(
                cluster.http,
                cluster.url("e1"),
                workspace="clinic",
                model=cluster.model,
                prompt=long_prompt("a menu", 400),
                max_tokens=400,
                times_s=times_s,
            )
        )
        while not times_s:
            assert not streaming.done()
            await asyncio.sleep(0.01)
        for runner in ("r2a", "r2b"):
            await cluster.processes[runner].kill()
        answer = await streaming
        assert not answer.is_whole
        assert (answer.problem["code"], answer.problem["ran"]) == (1301, "maybe")

    async def test_caller_who_goes_away_is_cancelled(self, bench):
        """The engines forget the request of a caller who hung up."""
        await bench.start()
        cluster = bench.cluster
        body = {"model": cluster.model, "prompt": "a", "max_tokens": 100_000}
        headers = {"Authorization": f"Bearer {workspace_key('clinic')}"}
        url = cluster.url("e1", "/v1/completions")
        for is_streamed in (True, False):
            with pytest.raises((TimeoutError, aiohttp.ClientError)):
                async with asyncio.timeout(0.1):
                    async with cluster.http.post(
                        url, json=body | {"stream": is_streamed}, headers=headers
                    ) as answer:
                        await answer.read()
        async with asyncio.timeout(10):
            while (await cluster.state("e1"))["in_flight"]:
                await asyncio.sleep(0.05)
            for plan in cluster.processes:
                if plan.startswith("r"):
                    while (await cluster.status(plan))["requests"]:
                        await asyncio.sleep(0.05)

    async def test_keyed_call_outlives_its_caller(self, bench):
        """Who hung up and asks again elsewhere gets the outcome of the one run."""
        await bench.start(entries=("e1", "e2"), runners=())
        cluster = bench.cluster
        await cluster.start_service("s1", "labels", delay_s=1.0)
        await cluster.wait_services("e1", "e2")
        first = asyncio.create_task(label(cluster, "e1", "k1"))
        await wait_running(cluster, first)
        first.cancel()
        status, answer = await label(cluster, "e2", "k1")
        assert (status, answer["run"]) == (201, 1)
        assert len(cluster.service_calls()) == 1


class TestLeaving:
    async def test_each_source_marks_and_lifts_its_own(self, bench):
        """Report, list and operator each show in the state, and go by themselves."""
        await bench.start()
        cluster = bench.cluster

        async def wait_sources(*wanted):
            def check(state):
                runner = [x for x in state["runners"] if x["runner_id"] == "r2a"]
                return runner[0]["leaving"] == list(wanted)

            await cluster.wait_state("e1", check)

        await cluster.control("r2a", leaving=True)
        await wait_sources("report")
        await cluster.list_leaving("r2a")
        await wait_sources("list", "report")
        word = {"set": {"runners": {"r2a": {"leaving": True}}}}
        await cluster.declare("e1", word)
        await wait_sources("list", "operator", "report")
        await cluster.control("r2a", leaving=False)
        await wait_sources("list", "operator")
        await cluster.declare("e1", {"remove": {"runners": ["r2a"]}})
        await wait_sources("list")

    async def test_refusal_marks(self, bench):
        """A runner that refuses a request is left alone, and the request goes on."""
        await bench.start()
        cluster = bench.cluster
        body = json.dumps({"model": cluster.model, "prompt": "a", "max_tokens": 2})
        await cluster.control("r2a", leaving=True)
        for _ in range(6):
            answer = await post(cluster, "/v1/completions", data=body)
            assert answer[0] == 200
        assert "r2a" not in {line.runner_id for line in cluster.ledger().lines}


class TestSecrets:
    async def test_no_secret_in_log_dump_or_metrics(self, bench):
        """Keys of operators, peers and workspaces show up nowhere."""
        await bench.start()
        cluster = bench.cluster
        await call_service(
            cluster.http, cluster.url("e1"), workspace="clinic", service="labels"
        )
        await post(cluster, "/v1/completions", data="{", key="stranger")
        cluster.processes["e1"].send(signal.SIGUSR1)
        async with asyncio.timeout(10):
            while "violethatch:state_dumped" not in cluster.log_of("e1"):
                await asyncio.sleep(0.05)
        port = cluster.processes["e1"].ports["operators_port"]
        async with cluster.http.get(
            f"http://127.0.0.1:{port}/metrics",
            headers={"Authorization": f"Bearer {OPERATORS_KEY}"},
        ) as answer:
            metrics = await answer.text()
        assert "violethatch_config_revision 1" in metrics
        shown = cluster.log_of("e1") + metrics + json.dumps(await cluster.state("e1"))
        secrets = [OPERATORS_KEY, PEERS_KEY]
        secrets += [workspace_key(name) for name in ("clinic", "stranger")]
        assert [secret for secret in secrets if secret in shown] == []

    async def test_tls_where_settings_give_a_certificate(self, bench, tmp_path):
        """Callers are served over TLS, and not without it."""
        names = {"certificate_file": "cert.pem", "certificate_key_file": "key.pem"}
        files = {key: str(tmp_path / name) for key, name in names.items()}
        subprocess.run(
            [
                *("openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes"),
                *("-days", "2", "-subj", "/CN=localhost"),
                *("-addext", "subjectAltName=IP:127.0.0.1"),
                *("-out", files["certificate_file"]),
                *("-keyout", files["certificate_key_file"]),
            ],
            check=True,
            capture_output=True,
        )
        cluster = bench.cluster
        await cluster.start_entry("e1", listen=files)
        context = ssl.create_default_context(cafile=files["certificate_file"])
        url = cluster.url("e1", "/healthz")
        async with cluster.http.get(
            url.replace("http:", "https:"), ssl=context
        ) as answer:
            assert answer.status == 200
        with pytest.raises(aiohttp.ClientError):
            await cluster.http.get(url)
