"""A client uses a port again while the server of its last flow there is leaving."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as stand

FLOWS = 400
DRAIN_TIMEOUT_S = 3.0
SEQUENCE_PER_S = 250000  # Initial sequence numbers count up every 4 microseconds (RFC 793, RFC 6528).
ZONES = {"xela-centro": (11, 12, 13), "xela-norte": (21, 22), "almolonga": (31, 32)}


async def case(lab):
    lab.store.write_config(5, [(lab.net + ".200", 443, "liquidacion", "unsafe", 1200, 120, 1)],
                           [("liquidacion", {})])
    for index in range(7):
        server = stand.Server(lab, "e0000000%02x" % (index + 1), "liquidacion", "xela-centro", 101 + index)
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
    for flow in flows:
        flow.close()
    await asyncio.sleep(1.0)
    closed = [flow for flow in flows if flow.ended == "closed" and flow.answered]
    lab.note("%d of %d flows are answered and closed by both ends" % (len(closed), FLOWS))
    if len(closed) < FLOWS // 2:
        return 2
    # A server leaves: one that had a flow whose first SYN+ACK was lost.
    leaving = next(server for flow in closed if flow.port in lost for server in lab.servers
                   if server.ip == flow.server)
    if lab.trouble:
        leaving.drain()
    drained = lab.now()
    await asyncio.sleep(DRAIN_TIMEOUT_S + 0.5)
    late = {}

    def opening(server, packet):
        late[packet.sport] = (server, lab.now())

    leaving.on_opening = opening
    again = []
    for flow in closed:
        first = flow.first + int((lab.now() - flow.sent_at) * SEQUENCE_PER_S)
        reused = stand.Flow(client, flow.port, lab.net + ".200", 443, seq=first)
        reused.open("again-%d" % flow.port)
        again.append(reused)
        await asyncio.sleep(0.005)
    await asyncio.sleep(2.5)
    lab.note("%d of %d flows on ports used again were answered" % (
        sum(1 for flow in again if flow.answered), len(again)))
    if not all(forwarder.in_touch() for forwarder in lab.forwarders):
        return 2
    if lab.trouble:
        for port, (server, at) in late.items():
            if at - drained > DRAIN_TIMEOUT_S:
                lab.breaks("DRAIN the opening packet of port %d reached %s %.2f s after the store had "
                           "acknowledged that it is draining" % (port, server.identifier, at - drained))
    return None


sys.exit(stand.main(case, os.path.dirname(os.path.abspath(__file__)), zones=ZONES))
