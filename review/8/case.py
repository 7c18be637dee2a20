"""All forwarders are killed at once while flows are open and idle."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as stand

FLOWS = 400
ZONES = {"xela-centro": (11, 12, 13), "xela-norte": (21, 22), "almolonga": (31, 32)}


async def case(lab):
    lab.store.write_config(5, [(lab.net + ".200", 443, "liquidacion", "unsafe", 1200, 120, 1)],
                           [("liquidacion", {})])
    for index in range(4):
        server = stand.Server(lab, "e0000000%02x" % (index + 1), "liquidacion", "xela-centro", 101 + index)
        await server.start()
        lab.spawn(server.registering())
    for zone, hosts in ZONES.items():
        for host in hosts:
            (await lab.add_forwarder(zone, host))
    for forwarder in lab.forwarders:
        forwarder.start()
        lab.spawn(forwarder.probing())
    client = stand.Client(lab, "xela-centro", 201)
    await client.start()
    if not await lab.wait_ready():
        return 2
    await asyncio.sleep(4.5)
    # The link to the client loses one datagram in 100: the first SYN+ACK of these flows.
    lost = set()

    def loses(server, packet, _count):
        if packet.sport % 100 != 7 or packet.sport in lost:
            return False
        lost.add(packet.sport)
        lab.note("lost: the SYN+ACK of %s for port %d" % (server.identifier, packet.sport))
        return True

    lab.loses = loses
    flows = []
    for index in range(FLOWS):
        flow = stand.Flow(client, 20000 + index, lab.net + ".200", 443)
        flow.open("first-%d" % index)
        flows.append(flow)
        await asyncio.sleep(0.005)
    await asyncio.sleep(1.0)
    opened = [flow for flow in flows if flow.state == "open" and flow.answered]
    lab.note("%d of %d flows are open and answered" % (len(opened), FLOWS))
    if len(opened) < FLOWS // 2:
        return 2
    if lab.trouble:
        for forwarder in lab.forwarders:
            forwarder.send_signal(signal.SIGKILL)
            forwarder.process.wait()
            forwarder.in_rotation = False
        await asyncio.sleep(1.2)
        for forwarder in lab.forwarders:
            forwarder.start()
        if not await lab.wait_ready():
            return 2
    await asyncio.sleep(4.6)
    if not all(forwarder.in_touch() for forwarder in lab.forwarders):
        return 2
    lab.note("all machines are in touch; the clients go on")
    for index, flow in enumerate(opened):
        flow.request("second-%d" % index)
        await asyncio.sleep(0.005)
    await asyncio.sleep(4.0)
    own = {server.ip: server for server in lab.servers}
    for flow in opened:
        if flow.state == "ended" and flow.reset_by != flow.server:
            lab.breaks("FLOW %s was open at %s and was reset by %s" % (
                flow.name, own[flow.server].identifier,
                own[flow.reset_by].identifier if flow.reset_by in own else "the system"))
    good = sum(1 for flow in opened if len(flow.answered) == 2)
    lab.note("%d of %d flows answered the second request" % (good, len(opened)))
    return None


sys.exit(stand.main(case, os.path.dirname(os.path.abspath(__file__)), zones=ZONES))
