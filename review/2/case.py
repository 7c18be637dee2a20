"""Restarts forwarders in turn; a datagram in 500 is lost, clients keep flows."""
import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import Deployment, run_case  # noqa: E402

ZONE, PORT = "zone-a", 8443
FORWARDERS, SERVERS = 5, 8
LOSS = 0.002
DEADLINE = 4.0
FLOWS_PER_S = 120
ROUNDS = 2  # Each forwarder is restarted once a round.


async def keep_open(attempt):
    """A client that keeps a flow open for some requests, with pauses."""
    if not await attempt.connect():
        return
    for pause in (*(random.uniform(1, 4) for _ in range(3)), 0):
        if await attempt.request("kit-save", 900) != "served":
            return
        await asyncio.sleep(pause)
    attempt.close()


async def case(trouble):
    async with Deployment({ZONE: FORWARDERS}) as deployment:
        deployment.loss, deployment.resend_handshakes = LOSS, True
        deployment.store.put("op/config", deployment.configuration(
            7, [(PORT, "catalog", "unsafe", 600)]))
        for index in range(SERVERS):
            await deployment.add_server(
                f"i-{random.getrandbits(40):010x}", "catalog", index + 1, ZONE,
                slots=8, work=0.02)
        await deployment.start_forwarders()
        await asyncio.sleep(5)
        stop, clients = asyncio.Event(), []

        async def load():
            while not stop.is_set():
                clients.append(asyncio.create_task(keep_open(
                    deployment.attempt(ZONE, PORT, DEADLINE))))
                await asyncio.sleep(1 / FLOWS_PER_S)
        clients.append(asyncio.create_task(load()))
        await asyncio.sleep(8)
        for forwarder in deployment.forwarders * ROUNDS:
            if not trouble:
                await asyncio.sleep(5)
                continue
            forwarder.stop()
            await forwarder.wait_for_exit(6)
            await asyncio.sleep(0.2)
            forwarder.start()
            await deployment.until(lambda f=forwarder: f.in_rotation, 5,
                                   f"{forwarder.name} in rotation")
            await asyncio.sleep(2)
        stop.set()
        await asyncio.sleep(5)
        broken = [f"FLOW (a): {e['t']} s: flow {e['flow']}, open at "
                  f"{e['open_at']}, was reset by {e['sent_by']} (via {e['via']})"
                  for e in deployment.foreign_resets]
        broken += [f"FLOW (b): {e['t']} s: flow {e['flow']}, open at "
                   f"{e['open_at']}: {e['packets']} packets at other servers"
                   for e in deployment.lost_flows]
        return deployment, broken


run_case(FOLDER, case)
