"""Classification of errors from system calls on sockets, shared by all sockets of the program.

docs/design/system-calls.md lists the calls, the errors that Linux documents for each, and who handles them.
Python itself repeats a call that was interrupted by a signal (PEP 475).
"""

from __future__ import annotations

import errno

# A system resource is temporarily exhausted; the socket is unchanged and the call may succeed later.
SHORTAGE_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS, errno.ENOSPC, errno.EADDRNOTAVAIL}
)
# The call would block or was interrupted: nothing can be read or written now.
WOULD_BLOCK_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})


def is_shortage(error_number: int | None) -> bool:
    """Return whether this machine is temporarily out of descriptors, memory, buffers, ports or epoll watches.

    Such an error is local: it gives no information about the remote end.
    """
    return error_number in SHORTAGE_ERRORS


def is_temporary(error: OSError) -> bool:
    """Return whether the socket is still usable and the call may be repeated later.

    After any other error the socket must be closed.
    """
    return error.errno in WOULD_BLOCK_ERRORS or is_shortage(error.errno)
