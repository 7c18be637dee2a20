"""Machines leave one after the other and others are added, whose seeds are stale."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as stand

FLOWS, PER_S = 1600, 400.0  # New flows a second of the deployment: 400.
ZONES = {"xela-centro": (11, 12, 13), "xela-norte": (21, 22), "almolonga": (31, 32)}
SPARES = {"xela-centro": 14, "xela-norte": 23, "almolonga": 33}
LEAVE_GAP_S = 1.0
SEED_LAG_S = 3.0


async def open_flows(lab, client):
    flows, begun = [], lab.now()
    for index in range(FLOWS):
        flow = stand.Flow(client, 20000 + index, lab.net + ".200", 443)
        flow.open("first-%d" % index)
        flows.append(flow)
        await asyncio.sleep(max(0.0, begun + (index + 1) / PER_S - lab.now()))
    await asyncio.sleep(0.5)  # The last answers.
    return flows


async def leave(lab, forwarder):
    """A planned removal: SIGTERM, and the machine does not come back."""
    forwarder.leaves = True
    forwarder.send_signal(signal.SIGTERM)
    while forwarder.process.poll() is None:
        await asyncio.sleep(0.01)
    lab.note("%s ended with %d and has left" % (forwarder.name, forwarder.process.returncode))
    return lab.now()


async def replace_machines(lab):
    """Three machines, which are the seeds, leave in turn; then three are added."""
    leaving = [lab.zones[zone][0] for zone in ZONES]
    ends = []
    for forwarder in leaving:
        ends.append(asyncio.ensure_future(leave(lab, forwarder)))
        await asyncio.sleep(LEAVE_GAP_S)
    left = await asyncio.gather(*ends)
    while any(forwarder.in_rotation for forwarder in leaving):
        await asyncio.sleep(0.01)
    if lab.now() > left[0] + SEED_LAG_S:
        return False
    added = []
    for zone, host in SPARES.items():
        added.append(await lab.add_forwarder(zone, host))
        added[-1].start()
        lab.spawn(added[-1].probing())
    lab.later(max(0.0, left[0] + SEED_LAG_S - lab.now()), new_seeds, lab)
    while not all(forwarder.in_rotation for forwarder in added):
        await asyncio.sleep(0.005)
    return True


def new_seeds(lab):
    """The platform lists machines that run; the settings files change without a signal."""
    lab.seeds = [lab.zones[zone][1].ip for zone in ZONES]
    lab.note("the settings files list seeds that run")
    for forwarder in lab.forwarders:
        if not forwarder.leaves:
            forwarder.write_settings()


async def case(lab):
    lab.seeds = ["%s.%d" % (lab.net, ZONES[zone][0]) for zone in ZONES]
    lab.store.write_config(5, [(lab.net + ".200", 443, "liquidacion", "unsafe", 1200, 120, 1)],
                           [("liquidacion", {})])
    for index in range(14):
        zone = list(ZONES)[index % 3]
        server = stand.Server(lab, "e0000000%02x" % (index + 1), "liquidacion", zone, 101 + index, work=0.005)
        await server.start()
        lab.spawn(server.registering())
    for zone, hosts in ZONES.items():
        for host in hosts:
            await lab.add_forwarder(zone, host)
    for forwarder in lab.forwarders:
        forwarder.start()
        lab.spawn(forwarder.probing())
    client = stand.Client(lab, "xela-centro", 201)
    await client.start()
    if not await lab.wait_ready():
        return 2
    await asyncio.sleep(4.5)
    # The links to the clients lose one datagram in 100: the first SYN+ACK of these flows.
    lost = set()

    def loses(_server, packet, _count):
        if packet.sport % 100 != 7 or packet.sport in lost:
            return False
        lost.add(packet.sport)
        return True

    lab.loses = loses
    flows = await open_flows(lab, client)
    lab.loses = lambda *_: False
    opened = [flow for flow in flows if flow.state == "open" and flow.answered]
    lab.note("%d of %d flows are open and answered; the first SYN+ACK of %d was lost" % (
        len(opened), FLOWS, len(lost)))
    if len(opened) < FLOWS // 2:
        return 2
    if lab.trouble:
        if not await replace_machines(lab):
            return 2
    else:
        await asyncio.sleep(5.0)
    lab.note("the clients go on")
    # Of flows whose SYN+ACK was not lost, every eighth goes on.
    going_on = [flow for flow in opened if flow.port in lost]
    going_on += [flow for flow in opened if flow.port % 8 == 0]
    for flow in going_on:
        flow.request("second-%d" % flow.port)
        await asyncio.sleep(1 / PER_S)
    await asyncio.sleep(4.0)
    own = {server.ip: server for server in lab.servers}
    for flow in going_on:
        if flow.state == "ended" and flow.reset_by != flow.server:
            lab.breaks("FLOW %s was open at %s and was reset by %s; %s took the packet" % (
                flow.name, own[flow.server].identifier,
                own[flow.reset_by].identifier if flow.reset_by in own else "the system",
                flow.through[-1].name))
    good = sum(1 for flow in going_on if len(flow.answered) == 2)
    lab.note("%d of %d second requests were answered" % (good, len(going_on)))
    return None


sys.exit(stand.main(case, os.path.dirname(os.path.abspath(__file__)), zones=ZONES))
