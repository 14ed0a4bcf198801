"""Which connections are cut while availability zones are cut off, and in which direction."""

import os

PLATFORM = None  # stands for the zone of the store and of the machine interface


class ZoneCuts:
    """The zone cuts (plan.ZoneCut) in force, by zone. Within a zone, everything is reached.

    A one-way cut lets requests leave the zone but nothing enter it.
    """

    def __init__(self):
        self.active = []  # of (zone, cut); cuts of one zone may overlap

    def mode(self, source, target):
        """Returns the mode of a proxy (see proxy.py) for connections from one zone to another."""
        modes = set()
        if source != target:
            modes = {_mode(cut, zone == source) for zone, cut in self.active
                     if zone in (source, target)}
        if not modes:
            return "pass"
        return modes.pop() if len(modes) == 1 else "silent"

    def hides_workers(self, zone):
        """Returns whether the list of machines shows those of the zone without their workers."""
        return any(cut.hides_workers for each, cut in self.active if each == zone)


def _mode(cut, is_source):
    if not cut.is_one_way:
        return "silent"
    return "down" if is_source else "up"


def find_process(port, pids):
    """Returns the process among `pids` whose connection uses the local TCP port, or None.

    All processes of a soak connect from 127.0.0.1, so the address does not tell them apart.
    """
    sockets = {"socket:[%s]" % inode for inode in _socket_inodes(port)}
    for pid in pids:
        try:
            for descriptor in os.listdir("/proc/%d/fd" % pid):
                if os.readlink("/proc/%d/fd/%s" % (pid, descriptor)) in sockets:
                    return pid
        except OSError:
            pass  # the process has ended or closed the descriptor meanwhile
    return None


def _socket_inodes(port):
    """Returns the inodes of the sockets that use the local port. Closed connections in TIME-WAIT,
    which may have used the port before, have none."""
    suffix = ":%04X" % port
    inodes = []
    with open("/proc/net/tcp") as table:
        for line in table:
            fields = line.split()
            if fields[1].endswith(suffix) and fields[9] != "0":
                inodes.append(fields[9])
    return inodes
