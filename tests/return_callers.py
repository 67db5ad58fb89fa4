# SPDX-License-Identifier: MIT
"""The callers of one availability zone, as a process of their own.

The first line of standard input is a JSON object with the zone's traffic and the
instances; each further line the names of the ready ones, in the view of the load
balancer.  When the input ends, all attempts are written to standard output.
"""

from __future__ import annotations

import asyncio
import collections
import json
import math
import random

import aiohttp
import uvloop

from play_process import input_lines, watch_use
from violethatch import clocks


#: Statuses of an incomplete response, and of a refused connection.
INCOMPLETE = 0
REFUSED = -1
#: No response before the caller gave up.
GIVEN_UP = -2
#: The statuses after which a caller retries.
RETRYABLE = (REFUSED, 429, 503)
#: Callers wait for this fraction of their remaining time before a retry, at most.
MAX_RETRY_FRACTION = 0.33
STREAM_LIMIT_S = 20.0
PLAIN_LIMIT_S = 4.0
#: Callers give a stream up after a gap of this length, in seconds.
GAP_LIMIT_S = 2.4
CONNECT_LIMIT_S = 1.0


class Callers:
    """Sends a zone's requests.

    Args:
        options: The first line of the input.
    """

    def __init__(self, options):
        self.zone = options["zone"]
        self.options = options
        self.rng = random.Random(options["seed"])
        self.instances = options["instances"]
        self.in_zone = [one for one in self.instances if one["zone"] == self.zone]
        self.ready = []
        self.remote = []
        self.attempts = []
        self.busy = []
        self.errors = collections.Counter()
        self.http = None

    def set_ready(self, names):
        """Take the balancer's view in."""
        known = set(names)
        self.ready = [one for one in self.in_zone if one["name"] in known]
        self.remote = [one for one in self.instances if one["name"] in known]

    def select(self, client):
        """Return the instance that a client's new connection is given."""
        if not self.ready:
            choices = self.remote or self.in_zone
        elif 2 * len(self.ready) < len(self.in_zone):
            choices = self.in_zone
        else:
            choices = self.ready
        return choices[random.Random(client).randrange(len(choices))]

    async def run(self):
        """Send requests until cancelled."""
        connector = aiohttp.TCPConnector(limit=0)
        options = self.options
        pending = set()
        self.watch = asyncio.create_task(watch_use(self.busy.append))
        async with aiohttp.ClientSession(connector=connector) as self.http:
            next_s = clocks.now_s()
            while True:
                phase = 2 * math.pi * next_s / options["wave_period_s"]
                rate = options["requests_per_s"] * (
                    1.0 + options["wave_fraction"] * math.sin(phase)
                )
                next_s += self.rng.expovariate(max(0.1, rate))
                await asyncio.sleep(max(0.0, next_s - clocks.now_s()))
                call = asyncio.create_task(self._call())
                pending.add(call)
                call.add_done_callback(pending.discard)

    async def _call(self):
        """Send a request, retry it once where it was not run, and record it."""
        client = self.rng.randrange(self.options["clients"])
        is_stream = self.rng.random() < self.options["stream_fraction"]
        limit_s = STREAM_LIMIT_S if is_stream else PLAIN_LIMIT_S
        sent_s = clocks.now_s()
        instance = self.select(client)
        name = instance["name"]
        status, wait_s, first_s = await self._attempt(instance, is_stream, limit_s)
        statuses = [status]
        if status in RETRYABLE:
            left_s = limit_s - (clocks.now_s() - sent_s)
            await asyncio.sleep(min(wait_s, MAX_RETRY_FRACTION * max(0.0, left_s)))
            left_s = limit_s - (clocks.now_s() - sent_s)
            instance = self.select(self.rng.random())
            status, wait_s, first_s = await self._attempt(instance, is_stream, left_s)
            statuses.append(status)
        after_s = None if first_s is None else round(first_s - sent_s, 4)
        self.attempts.append((sent_s, after_s, statuses, name))

    async def _attempt(self, instance, is_stream, limit_s):
        """Return a status, the wait that was asked for, and the first event's time."""
        call_id = f"{self.rng.getrandbits(64):016x}"
        events = 1
        headers = {
            "Host": "menu.example",
            "Authorization": f"Token k{self.rng.randrange(self.options['workspaces'])}",
            "Violethatch-Deadline-Ms": str(max(1, int(limit_s * 1000))),
            "Violethatch-Attempt-Id": call_id,
        }
        if is_stream:
            mean = self.options["mean_events"]
            events = 1 + int(self.rng.expovariate(1.0 / mean))
            events = min(events, int(self.options["max_events"]))
            prefix = f"{self.rng.randrange(60):08x}"
            headers["Violethatch-Prompt-Prefix"] = f"{prefix}:40,{call_id[:8]}:700"
            headers["Violethatch-Token-Count"] = f"740,{events}"
            headers["Violethatch-Model"] = "m"
        path = "/draft/1" if is_stream else "/labels/1"
        url = f"http://{instance['host']}:{instance['front']}{path}"
        first_s = None
        limits = aiohttp.ClientTimeout(
            total=limit_s, sock_connect=CONNECT_LIMIT_S, sock_read=GAP_LIMIT_S
        )
        try:
            async with self.http.post(
                url, data=b"a", headers=headers, timeout=limits
            ) as response:
                wait_s = _seconds(response.headers.get("Retry-After"))
                tail = b""
                async for part in response.content.iter_any():
                    first_s = first_s or clocks.now_s()
                    tail = (tail + part)[-64:]
                if response.status != 200:
                    return response.status, wait_s, None
                is_whole = not is_stream or b"id: %d\n" % events in tail
                return (200 if is_whole else INCOMPLETE), 0.0, first_s
        except aiohttp.ClientConnectorError as error:
            self.errors[str(error.os_error)] += 1
            return REFUSED, 0.0, None
        except TimeoutError:
            return GIVEN_UP, 0.0, None
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            self.errors[repr(error)[:80]] += 1
            return INCOMPLETE, 0.0, None


def _seconds(text):
    """Return the seconds of a Retry-After header."""
    try:
        return max(0.0, float(text))
    except (TypeError, ValueError):
        return 0.0


async def main():
    """Send requests until the input ends; write the attempts."""
    lines = input_lines()
    callers = Callers(json.loads(await anext(lines)))
    task = None
    async for line in lines:
        callers.set_ready(json.loads(line))
        if task is None:
            task = asyncio.create_task(callers.run())
    if task is not None:
        task.cancel()
    told = {
        "attempts": callers.attempts,
        "busy": callers.busy,
        "errors": dict(callers.errors),
    }
    print(json.dumps(told))


if __name__ == "__main__":
    uvloop.run(main())
