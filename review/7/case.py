"""A zone loses its machines while flows of its clients are open and idle."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as stand

FLOWS, PER_S = 2000, 400.0  # New flows a second of the deployment: 400.
ZONES = {"xela-centro": (11, 12, 13), "xela-norte": (21, 22), "almolonga": (31, 32)}
LOST, DARK_S = "xela-norte", 3.5


async def open_flows(lab, client):
    flows, begun = [], lab.now()
    for index in range(FLOWS):
        flow = stand.Flow(client, 20000 + index, lab.net + ".200", 443)
        flow.open("first-%d" % index)
        flows.append(flow)
        await asyncio.sleep(max(0.0, begun + (index + 1) / PER_S - lab.now()))
    await asyncio.sleep(1.0)  # The last answers.
    return flows


async def case(lab):
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
    client = stand.Client(lab, LOST, 201)
    await client.start()
    if not await lab.wait_ready():
        return 2
    await asyncio.sleep(4.5)
    # The links to the clients lose one datagram in 50: the first SYN+ACK of these flows.
    lost = set()

    def loses(_server, packet, _count):
        if packet.sport % 50 != 7 or packet.sport in lost:
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
    await asyncio.sleep(3.3)  # No loss for StabilityWindowMs.
    if lab.trouble:
        # The zone loses its machines, shortly before the routers ask them next.
        while not all(0 < f.next_probe - lab.now() < 0.1 for f in lab.zones[LOST]):
            await asyncio.sleep(0.005)
        for forwarder in lab.zones[LOST]:
            forwarder.send_signal(signal.SIGKILL)
        killed = lab.now()
        while any(forwarder.in_rotation for forwarder in lab.zones[LOST]):
            await asyncio.sleep(0.005)
    lab.note("the clients go on")
    # Of flows whose SYN+ACK was not lost, every eighth goes on.
    going_on = [flow for flow in opened if flow.port in lost]
    going_on += [flow for flow in opened if flow.port % 8 == 0]
    for flow in going_on:
        flow.request("second-%d" % flow.port)
        if flow.port not in lost:
            await asyncio.sleep(1 / PER_S)
    if lab.trouble:
        await asyncio.sleep(max(0.0, killed + DARK_S - lab.now()))
        for forwarder in lab.zones[LOST]:
            forwarder.start()
    await asyncio.sleep(3.0)
    own = {server.ip: server for server in lab.servers}
    for flow in going_on:
        taker = flow.through[-1]
        if flow.state == "ended" and flow.reset_by != flow.server and taker.in_touch():
            lab.breaks("FLOW %s was open at %s and was reset by %s; %s took the packet" % (
                flow.name, own[flow.server].identifier,
                own[flow.reset_by].identifier if flow.reset_by in own else "the system", taker.name))
    good = sum(1 for flow in going_on if len(flow.answered) == 2)
    lab.note("%d of %d second requests were answered" % (good, len(going_on)))
    return None


sys.exit(stand.main(case, os.path.dirname(os.path.abspath(__file__)), zones=ZONES))
