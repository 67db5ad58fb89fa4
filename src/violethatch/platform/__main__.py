# SPDX-License-Identifier: MIT
"""Start the router on the platform: ``python -m violethatch.platform``.

The command line of `violethatch route` does the same; its parser costs 6 MB
of memory, which the platform charges for.
"""

from __future__ import annotations

import gc
import os
import signal
import sys


# Before the imports, which take half a second: until the process listens for them,
# these signals would end it.  Settings are read afterwards, and watched for changes.
for _number in (signal.SIGHUP, signal.SIGUSR1):
    signal.signal(_number, signal.SIG_IGN)
# Before uvloop is imported: it would open an io_uring otherwise.
os.environ["UV_USE_IO_URING"] = "0"
# Before aiohttp is imported: it reads all certificates of the system then.  Nobody is
# called over TLS; without them an instance takes 1.6 MB less, and starts 70 ms of a
# core earlier (resident size and processor time after the imports).
os.environ["SSL_CERT_FILE"] = os.devnull

_BAD_SETTINGS = 2


def main() -> int:
    """Run the router; return the process's status."""
    # Most of a start's processor time goes into the imports below.
    from violethatch import clocks
    from violethatch.platform._variables import SETTINGS_VARIABLE
    from violethatch.processor_share import processor_share
    from violethatch.start_slots import StartSlot

    began_s = clocks.now_s()
    slot = StartSlot(share=processor_share(os.environ.get(SETTINGS_VARIABLE, "")))
    turn = slot.acquire()
    turn_s = clocks.now_s()
    # The imports make some 70,000 objects, nearly all for good.  Without collections
    # between them a start runs a tenth fewer instructions, for 0.5 MB of memory; later
    # collections leave these objects out.
    gc.disable()
    from violethatch.errors import VioletHatchError
    from violethatch.platform import run, settings_path

    gc.freeze()
    gc.enable()
    try:
        run(
            settings_path(),
            began_s=began_s,
            turn_s=turn_s,
            turn=turn,
            on_imported=slot.release,
        )
    except VioletHatchError as error:
        print(f"violethatch error {error.code}: {error.detail}", file=sys.stderr)
        return _BAD_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main())
