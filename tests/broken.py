# SPDX-License-Identifier: MIT
"""Runs an instance with one mechanism switched off.

A proof that still passes then proves nothing.  Each function below removes
one guard; `python broken.py NAME ...` applies it and runs the command line.
"""

from __future__ import annotations

import sys


def labels():
    """Match results to steps by position only."""
    from violethatch import _engine_link

    _engine_link._step_key = lambda message: ("", 0, message.position)


def rebuilding():
    """Give a replaced stage only the current position's input."""
    from violethatch import attempts

    attempts.Attempt.replace_stage = lambda self: setattr(self, "epoch", self.epoch + 1)


def stall_limits():
    """Never give up on a step."""
    from violethatch import _engine_link

    _engine_link.EngineLink.check_timeouts = lambda self, now_s: None


def claims():
    """Send keyed calls without a claim."""
    from violethatch import _keyed

    async def run(self, claim, send):
        return await send()

    _keyed.KeyedCalls.run = run


def settling():
    """Take the trace of one's own lost write for another's."""
    from violethatch import _claim_writer

    _claim_writer.is_own_write = lambda put, row: False


def single_send():
    """Send what is not repeatable to the next server when an answer is lost."""
    from violethatch import _services

    send = _services.PlainServices.send

    async def send_again(self, service, call, *, repeatable):
        return await send(self, service, call, repeatable=True)

    _services.PlainServices.send = send_again


def ran_maybe():
    """Say "not run" of a call whose answer was lost."""
    from violethatch import errors

    errors.ServiceLostError.default_ran = errors.Ran.NO


def leaving_marks():
    """Ignore that a runner leaves."""
    from violethatch import membership

    membership.LeavingMarks.is_leaving = lambda self, runner_id: False


def moving():
    """Leave stages where they are until their streams end."""
    from violethatch import _driver

    async def leave_runners(self):
        return False

    _driver._Run.leave_runners = leave_runners


def list_check():
    """Follow whatever list is read."""
    from violethatch import _entry

    _entry._is_plausible = lambda listed: True


def drain():
    """Stop without waiting for requests in progress."""
    from violethatch import _callers

    async def wait_idle(self, timeout_s):
        return True

    _callers.Callers.wait_idle = wait_idle


def growing_revisions():
    """Apply whatever revision is offered."""
    from violethatch import _config, revisions

    _config.compare = lambda current, offered: revisions.Offer.NEWER


def one_winner():
    """Let every confirmation believe that it won."""
    from violethatch import _config

    _config.ConfigKeeper._check_winner = lambda self, *_: None


def memory():
    """Forget the configuration while the table can't be read."""
    from violethatch import _config, revisions

    follow = _config.ConfigKeeper._follow_table

    async def forget(self):
        await follow(self)
        if not self._is_table_reachable:
            self.current = revisions.NO_REVISION
            self._on_applied(self.current)

    _config.ConfigKeeper._follow_table = forget


def peer_start():
    """Learn the configuration from the table only."""
    from violethatch import _config

    async def follow(self):
        return None

    _config.ConfigKeeper._follow_peers = follow


def main():
    """Switch one mechanism off and run the command line."""
    from violethatch.cli import main as run

    globals()[sys.argv[1]]()
    sys.argv = ["violethatch", *sys.argv[2:]]
    run()


if __name__ == "__main__":
    main()
