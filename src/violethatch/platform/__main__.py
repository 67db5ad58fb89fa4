# SPDX-License-Identifier: MIT
"""Start the router on the platform: ``python -m violethatch.platform``.

The command line of `violethatch route` does the same; its parser costs 6 MB
of memory, which the platform charges for.
"""

from __future__ import annotations

import os


# Before uvloop is imported: it would open an io_uring otherwise.
os.environ["UV_USE_IO_URING"] = "0"
# Before aiohttp is imported: it reads all certificates of the system then.  Nobody is
# called over TLS; without them an instance takes 1.6 MB less, and starts 70 ms of a
# core earlier (resident size and processor time after the imports).
os.environ["SSL_CERT_FILE"] = os.devnull

import sys

from violethatch.errors import VioletHatchError
from violethatch.platform import run, settings_path


_BAD_SETTINGS = 2

if __name__ == "__main__":
    try:
        run(settings_path())
    except VioletHatchError as error:
        print(f"violethatch error {error.code}: {error.detail}", file=sys.stderr)
        sys.exit(_BAD_SETTINGS)
