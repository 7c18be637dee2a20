"""Stand-ins for the review's cases: store, routers, servers and clients.

Everything runs in this process on loopback addresses, except the forwarders,
which are real processes of the build of the deploy file. The stand-ins follow
PROTOCOL.md of the users' pages; where a page is silent they behave like a
sound server, client or platform. A case drives a `Deployment` from a coroutine
and reads what clients and servers saw from `Deployment.events`.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = REPOSITORY / "target" / "bin" / "dotterelrouter"

SYN, ACK, FIN, RST = 4, 8, 64, 128
HEADER = struct.Struct(">IIHBHHIIII")
# The same on all machines of a run, and drawn anew for each run.
FIRST_PORT = random.randrange(10000, 30000, 50)
DATAGRAM_PORT, READINESS_PORT, CONTROL_PORT = range(FIRST_PORT, FIRST_PORT + 3)
SERVER_PORT, STORE_PORT = FIRST_PORT + 3, FIRST_PORT + 4
INTERNAL_PORTS = [FIRST_PORT + 10, FIRST_PORT + 25]
MAX_DATA = 1200
# One way between a client and the machines of the system, as on the sites.
CLIENT_DELAY = 0.003
# Retransmissions: after 200 ms, doubling up to 1.6 s.
FIRST_RETRANSMISSION, LAST_RETRANSMISSION = 0.2, 1.6
SYN_COPIES, SYN_TIMEOUT = (0.2, 0.6), 1.4
SERVER_RETRANSMISSIONS = 8
# A system's reset is accepted on an open flow within this many sequence numbers.
RESET_WINDOW = 76800
# A case that is not over by then ends with exit code 2, in seconds.
TIME_LIMIT = 115


class CannotRun(Exception):
    """The case could not be brought to the point where it checks the rule."""


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of the platform; `checksum` covers all but the echo."""

    __slots__ = ("checksum", "echo", "flags", "dport", "sport", "src", "dst",
                 "seq", "ack", "data")

    def __init__(self, flags, src, sport, dst, dport, seq, ack=0, echo=0,
                 data=b"", checksum=None):
        self.flags, self.src, self.sport = flags, src, sport
        self.dst, self.dport, self.seq, self.ack = dst, dport, seq, ack
        self.echo, self.data = echo, data
        self.checksum = self.expected_checksum() if checksum is None else checksum

    def expected_checksum(self):
        body = HEADER.pack(0, 0, len(self.data), self.flags, self.dport,
                           self.sport, self.src, self.dst, self.seq, self.ack)
        return zlib.crc32(body + self.data, 0x5EED) or 1

    def encode(self):
        return HEADER.pack(self.checksum, self.echo, len(self.data), self.flags,
                           self.dport, self.sport, self.src, self.dst, self.seq,
                           self.ack) + self.data

    @staticmethod
    def decode(data):
        (checksum, echo, size, flags, dport, sport, src, dst, seq,
         ack) = HEADER.unpack_from(data)
        payload = data[HEADER.size:]
        if len(payload) != size:
            raise ValueError("length")
        return Packet(flags, src, sport, dst, dport, seq, ack, echo, payload,
                      checksum)


class Datagrams(asyncio.DatagramProtocol):
    """A UDP socket that hands over datagrams, late by `delay` if that is set."""

    def __init__(self, loop, handler, delay=0.0):
        self.loop, self.handler, self.delay = loop, handler, delay
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        if self.delay:
            self.loop.call_later(self.delay, self.handler, data, addr)
        else:
            self.handler(data, addr)

    def error_received(self, exc):
        pass

    def send(self, data, address):
        if not self.transport.is_closing():
            self.transport.sendto(data, address)


class Store:
    """The platform's store: range, watch and conditional-free writes."""

    def __init__(self, deployment, ip):
        self.deployment, self.address = deployment, f"{ip}:{STORE_PORT}"
        self.ip, self.revision = ip, 100
        self.items, self.history = {}, []
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE_PORT)

    def put(self, key, value):
        """Writes a key; returns when the store acknowledged it."""
        self.revision += 1
        encoded = base64.b64encode(
            value if isinstance(value, bytes)
            else json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("CreatedRevision", self.revision)
        self.items[key] = {"Key": key, "Value": encoded,
                           "Revision": self.revision,
                           "CreatedRevision": created, "Lease": 0}
        self._record(self.items[key])
        return time.monotonic()

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"Key": key, "Revision": self.revision,
                          "Tombstone": True})
        return time.monotonic()

    def _record(self, event):
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _range(self, query):
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:500]
        return 200, {"items": [self.items[k] for k in page],
                     "HasMore": len(keys) > len(page),
                     "AtRevision": self.revision}

    async def _watch(self, query):
        after = int(query.get("after", "0"))
        deadline = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            events = [e for e in self.history if e["Revision"] > after
                      and e["Key"].startswith(query.get("Prefix", ""))]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AtRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            path, _, query = target.partition("?")
            query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            await asyncio.sleep(0.004)
            if path == "/v1/kv-range":
                status, body = self._range(query)
            elif path == "/v1/kv-watch":
                status, body = await self._watch(query)
            else:
                status, body = 404, {}
            text = json.dumps(body).encode()
            writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                          f"\r\nStore-Era: 1\r\nContent-Length: {len(text)}\r\n"
                          "Connection: close\r\n\r\n").encode() + text)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class ServerFlow:
    """A flow at a server."""

    def __init__(self, packet, seq):
        self.client_isn, self.seq, self.next_seq = packet.seq, seq, seq + 1
        self.expected = packet.seq + 1 & 0xFFFFFFFF
        self.echo = packet.echo
        self.opened = False
        self.unacknowledged = 0  # data packets since the last ACK
        self.buffer = b""
        self.sent = {}  # seq -> (packet flags, data) not acknowledged yet
        self.created = time.monotonic()


class Server:
    """A backend server: answers clients directly, as PROTOCOL.md says."""

    def __init__(self, deployment, identifier, service, ip, zone, slots=8,
                 max_flows=2000, work=0.02):
        self.deployment, self.identifier, self.service = (deployment, identifier,
                                                          service)
        self.ip, self.zone, self.slots = ip, zone, slots
        self.max_flows, self.work = max_flows, work
        self.number = int("".join(c for c in identifier
                                  if c in "0123456789abcdef"), 16)
        self.flows, self.ended = {}, {}
        self.state, self.sequence = "ready", 0
        self.running, self.queue = 0, []
        self.alive = False
        self.born = int(time.time() * 1000)
        self.port = None

    async def start(self):
        loop = self.deployment.loop
        _, self.port = await loop.create_datagram_endpoint(
            lambda: Datagrams(loop, self.on_datagram),
            local_addr=(self.ip, SERVER_PORT))
        self.alive = True
        self.write_entry()

    def write_entry(self):
        self.sequence += 1
        return self.deployment.store.put(f"servers/{self.identifier}", {
            "Service": self.service, "Address": f"{self.ip}:{SERVER_PORT}",
            "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "ColdRemainingMs": 0,
            "Sequence": self.sequence, "born": self.born})

    def note(self, event, **fields):
        self.deployment.note(event, server=self.identifier, **fields)

    def on_datagram(self, data, addr):
        number = struct.unpack_from(">Q", data)[0]
        if not self.alive or (number and number != self.number):
            return  # Not the intended server: it sends nothing.
        packet = Packet.decode(data[8:])
        if packet.checksum != packet.expected_checksum():
            self.note("modified_packet")
            return
        key = packet.src, packet.sport, packet.dst, packet.dport
        if packet.flags & SYN:
            self.on_syn(key, packet)
        else:
            self.on_packet(key, packet, addr[0])

    def on_syn(self, key, packet):
        if packet.flags & ACK:
            self.note("forged_packet")
            return
        flow = self.flows.get(key)
        if flow is None or flow.client_isn != packet.seq:
            if len(self.flows) >= self.max_flows:
                self.note("syn_ignored_full", flow=self.deployment.name(key))
                return  # It sends nothing if it is full.
            flow = ServerFlow(packet, random.getrandbits(32))
            self.flows[key] = flow
            self.deployment.loop.call_later(
                FIRST_RETRANSMISSION, self.on_handshake_missing, key, flow, 1)
        flow.echo = packet.echo
        self.send(key, flow, SYN | ACK, flow.seq)

    def on_handshake_missing(self, key, flow, count):
        """The handshake was not acknowledged: sends it again, or gives up."""
        if flow.opened or self.flows.get(key) is not flow or not self.alive:
            return
        resend = self.deployment.resend_handshakes
        if count > (SERVER_RETRANSMISSIONS if resend else 4):
            del self.flows[key]
            return
        if resend:
            self.note("handshake_sent_again", flow=self.deployment.name(key))
            self.send(key, flow, SYN | ACK, flow.seq)
        delay = min(FIRST_RETRANSMISSION * 2 ** count, LAST_RETRANSMISSION)
        self.deployment.loop.call_later(
            delay, self.on_handshake_missing, key, flow, count + 1)

    def on_packet(self, key, packet, via):
        flow = self.flows.get(key)
        if flow is None:
            if packet.flags & RST:
                return
            self.deployment.on_foreign_packet(key, self, via)
            if key in self.ended and packet.flags & FIN and not packet.data:
                self.raw(key, ACK, packet.ack, packet.seq + 1, packet.echo)
            elif packet.data or key not in self.ended:
                self.note("reset_sent", flow=self.deployment.name(key),
                          via=self.deployment.machine(via),
                          why="a packet of a flow that it does not hold")
                self.deployment.reset_via[key] = via
                self.raw(key, RST, packet.ack, packet.seq, packet.echo)
            return
        if packet.flags & RST:
            self.end(key)
            return
        if not flow.opened:
            if packet.ack != (flow.seq + 1 & 0xFFFFFFFF):
                self.deployment.on_foreign_packet(key, self, via)
                return
            flow.opened = True
            self.deployment.open_flows[key, flow.client_isn] = self
            self.note("opened", flow=self.deployment.name(key))
        self.deployment.on_own_packet(key, self)
        flow.echo = packet.echo
        for seq in [s for s, (_, data) in flow.sent.items()
                    if (packet.ack - s - max(1, len(data))) & 0xFFFFFFFF
                    < 1 << 31]:
            del flow.sent[seq]
        if packet.data:
            self.on_data(key, flow, packet)
        if packet.flags & FIN and packet.seq + len(packet.data) \
                & 0xFFFFFFFF == flow.expected:
            flow.expected = flow.expected + 1 & 0xFFFFFFFF
            self.send(key, flow, ACK | FIN, flow.next_seq)
            self.end(key)

    def on_data(self, key, flow, packet):
        if packet.seq == flow.expected:
            flow.expected = flow.expected + len(packet.data) & 0xFFFFFFFF
            flow.buffer += packet.data
        # Each end acknowledges every second packet.
        flow.unacknowledged += 1
        if flow.unacknowledged >= 2:
            flow.unacknowledged = 0
            self.send(key, flow, ACK, flow.next_seq)
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            headers = dict(line.split(": ", 1) for line
                           in head.decode().split("\r\n")[1:])
            size = int(headers.get("Content-Length", "0"))
            if len(rest) < size:
                return
            flow.buffer = rest[size:]
            request = headers["X-Request-Id"]
            self.note("run", request=request, flow=self.deployment.name(key))
            self.queue.append((key, flow, request))
            self.work_on_queue()

    def work_on_queue(self):
        while self.queue and self.running < self.slots:
            self.running += 1
            entry = self.queue.pop(0)
            self.deployment.loop.call_later(self.work, self.respond, *entry)

    def respond(self, key, flow, request):
        self.running -= 1
        self.work_on_queue()
        if not self.alive or self.flows.get(key) is not flow:
            return
        body = request.encode()
        data = (f"HTTP/1.1 200 OK\r\nX-Response-Signature: {self.identifier}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.transmit(key, flow, ACK, data, flow.next_seq, 0)
        flow.next_seq = flow.next_seq + len(data) & 0xFFFFFFFF

    def transmit(self, key, flow, flags, data, seq, count):
        """Sends a packet, and again until it is acknowledged."""
        if count == 0:
            flow.sent[seq] = flags, data
        if (seq not in flow.sent or count > SERVER_RETRANSMISSIONS
                or self.flows.get(key) is not flow or not self.alive):
            return
        flow.unacknowledged = 0
        self.send(key, flow, flags, seq, data)
        delay = min(FIRST_RETRANSMISSION * 2 ** count, LAST_RETRANSMISSION)
        self.deployment.loop.call_later(delay, self.transmit, key, flow, flags,
                                        data, seq, count + 1)

    def end(self, key):
        self.ended[key] = self.flows.pop(key)

    def send(self, key, flow, flags, seq, data=b""):
        self.raw(key, flags, seq, flow.expected, flow.echo, data)

    def raw(self, key, flags, seq, ack, echo, data=b""):
        src, sport, dst, dport = key
        packet = Packet(flags, dst, dport, src, sport, seq & 0xFFFFFFFF,
                        ack & 0xFFFFFFFF, echo, data)
        self.port.send(packet.encode(), (ip_text(src), DATAGRAM_PORT))


class Attempt:
    """One flow of a client and the requests that it carries, one at a time."""

    def __init__(self, deployment, key, zone, deadline):
        self.deployment, self.key, self.zone = deployment, key, zone
        self.deadline = deadline
        self.isn = random.getrandbits(32)
        self.seq = self.isn + 1 & 0xFFFFFFFF
        self.ack = 0
        self.echo = 0
        self.open = self.ended = False
        self.result = None
        self.change = asyncio.Event()
        self.received = b""
        self.acknowledged = self.seq
        self.unacknowledged = 0
        self.last_sent = time.monotonic()

    def wake(self):
        change, self.change = self.change, asyncio.Event()
        change.set()

    async def wait(self, condition, timeout):
        """Waits until the condition holds or the flow has ended."""
        end = time.monotonic() + timeout
        while not condition() and not self.ended:
            left = end - time.monotonic()
            if left <= 0:
                return False
            try:
                await asyncio.wait_for(self.change.wait(), left)
            except asyncio.TimeoutError:
                pass
        return condition()

    def send(self, flags, data=b"", seq=None, ack=None):
        src, sport, dst, dport = self.key
        packet = Packet(flags, src, sport, dst, dport,
                        self.seq if seq is None else seq,
                        self.ack if ack is None else ack, self.echo, data)
        self.last_sent = time.monotonic()
        self.deployment.route(self.zone, self.key, packet.encode())

    async def connect(self):
        """Opens the flow; returns whether a server's handshake arrived."""
        self.deployment.attempts[self.key] = self
        self.send(SYN, seq=self.isn, ack=0)
        start = time.monotonic()
        for copy, after in enumerate((*SYN_COPIES, SYN_TIMEOUT), 1):
            if await self.wait(lambda: self.open,
                               start + after - time.monotonic()) or self.ended:
                break
            if copy <= len(SYN_COPIES):
                self.echo = 0
                self.send(SYN, seq=self.isn, ack=copy)
        if not self.open:
            self.finish(self.result or "not opened")
        return self.open and not self.ended

    async def request(self, kind, size):
        """Sends a request and waits for its response; returns the outcome."""
        request = f"{random.getrandbits(64):016x}"
        head = (f"POST /{kind} HTTP/1.1\r\nHost: service\r\n"
                f"X-Request-Id: {request}\r\nContent-Length: {size}\r\n\r\n")
        data = head.encode() + bytes(size)
        self.received = b""
        self.deployment.note("sent", request=request,
                             flow=self.deployment.name(self.key))
        first = self.seq
        self.seq = first + len(data) & 0xFFFFFFFF
        start, delay = time.monotonic(), FIRST_RETRANSMISSION
        while not self.ended:
            for at in range(0, len(data), MAX_DATA):
                self.send(ACK, data[at:at + MAX_DATA],
                          first + at & 0xFFFFFFFF)
            left = self.deadline - (time.monotonic() - start)
            if left <= 0:
                break
            await self.wait(lambda: self.response() is not None
                            or self.acknowledged == self.seq, min(delay, left))
            if self.response() is not None:
                break
            if self.acknowledged == self.seq:
                await self.wait(lambda: self.response() is not None, left)
                break
            delay = min(2 * delay, LAST_RETRANSMISSION)
        outcome = self.outcome(request)
        self.deployment.note("answered" if outcome == "served" else "failed",
                             request=request, outcome=outcome,
                             flow=self.deployment.name(self.key),
                             ms=round(1000 * (time.monotonic() - start)))
        return outcome

    def outcome(self, request):
        response = self.response()
        if response is None:
            return self.result or "no answer before the deadline"
        return ("served" if response == request.encode()
                else "an answer of another request")

    def response(self):
        head, found, body = self.received.partition(b"\r\n\r\n")
        if not found:
            return None
        size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        return body[:size] if len(body) >= size else None

    def close(self):
        if self.open and not self.ended:
            self.send(ACK | FIN)
            self.finish("closed")

    def finish(self, result):
        self.result, self.ended = result, True
        self.wake()

    def on_packet(self, packet, sender):
        if self.ended:
            return
        if packet.flags & RST:
            own = packet.checksum == 0
            distance = (packet.seq - self.ack + (1 << 31)) & 0xFFFFFFFF
            if (own and self.open
                    and abs(distance - (1 << 31)) > RESET_WINDOW):
                return
            self.deployment.on_reset(self, sender)
            self.finish("reset")
            return
        self.echo = packet.echo  # The last echo received on the flow.
        if packet.flags & SYN:
            if not self.open and packet.ack == (self.isn + 1 & 0xFFFFFFFF):
                self.open = True
                self.ack = packet.seq + 1 & 0xFFFFFFFF
                self.send(ACK)
                self.wake()
            return
        if packet.flags & ACK and self.open:
            self.acknowledged = packet.ack
        if packet.data and packet.seq == self.ack:
            self.ack = self.ack + len(packet.data) & 0xFFFFFFFF
            self.received += packet.data
        if packet.data:
            self.send(ACK)
        self.wake()


class Forwarder:
    """A forwarder process and its settings."""

    def __init__(self, deployment, number, ip, zone):
        self.deployment, self.name = deployment, f"frontend-{zone}-{number}"
        self.ip, self.zone, self.process = ip, zone, None
        self.misses, self.in_rotation = 0, False
        self.disturbed_until = 0.0

    def start(self, bootstrap=False):
        deployment = self.deployment
        settings = {
            "NodeName": self.name, "Role": "forwarder",
            "MachineClass": "frontend", "Serves": ["frontend", "control"],
            "IpAddress": self.ip, "Zone": self.zone, "Region": "region",
            "Zones": {f.zone: "region" for f in deployment.forwarders},
            "Listen": {"DatagramAddress": f"{self.ip}:{DATAGRAM_PORT}",
                       "ReadinessAddress": f"{self.ip}:{READINESS_PORT}",
                       "Control": f"{self.ip}:{CONTROL_PORT}"},
            "InternalPortRange": INTERNAL_PORTS,
            "Seeds": [f"{f.ip}:{CONTROL_PORT}"
                      for f in deployment.forwarders[:3]],
            "Bootstrap": bootstrap, "Discovery": "platform",
            "Entry": "announcement", "HeartbeatIntervalMs": 770,
            "DataDirectory": None, "HashFunction": "mod",
            "ForwardingMode": "echo", "Bounds": deployment.bounds,
            "platform": {"Address": deployment.store.address,
                         "ForwardingMode": "kv", "WritesPerS": 400,
                         "ReadsPerS": 2000, "HistoryS": 20,
                         "MaxValueBytes": 1048576, "MinTtlMs": 1000}}
        path = deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        with open(deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM), "forward"], cwd=REPOSITORY, stdout=log,
                stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                 "HOME": os.environ.get("HOME", "/"),
                                 "LANG": "C.UTF-8",
                                 "DOTTERELROUTER_BOOT": str(path)})
        self.disturbed_until = time.monotonic()
        deployment.note("forwarder_started", forwarder=self.name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, READINESS_PORT), 0.4)
            writer.write(f"GET /v1/readiness HTTP/1.1\r\nHost: {self.ip}\r\n"
                         "Connection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def probe(self):
        """The platform's readiness checks, twice per second."""
        while True:
            if await self.is_ready():
                self.misses = 0
                self.set_rotation(True)
            else:
                self.misses += 1
                if self.misses >= 2:
                    self.set_rotation(False)
            await asyncio.sleep(0.5)

    def set_rotation(self, in_rotation):
        if self.in_rotation != in_rotation:
            self.in_rotation = in_rotation
            self.deployment.note("rotation", forwarder=self.name,
                                 in_rotation=in_rotation)

    async def freeze(self, seconds):
        """The machine stands still and wakes again."""
        self.deployment.note("frozen", forwarder=self.name, seconds=seconds)
        self.disturbed_until = time.monotonic() + seconds
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)
        self.disturbed_until = time.monotonic()
        self.deployment.note("woken", forwarder=self.name)

    def stop(self):
        self.disturbed_until = float("inf")
        self.deployment.note("sigterm", forwarder=self.name)
        self.process.send_signal(signal.SIGTERM)

    async def wait_for_exit(self, timeout):
        end = time.monotonic() + timeout
        while self.process.poll() is None:
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} did not end within {timeout} s")
            await asyncio.sleep(0.02)
        self.deployment.note("forwarder_ended", forwarder=self.name,
                             code=self.process.returncode)


class Deployment:
    """A small deployment on a random /16 of 127.0.0.0/8."""

    running = []

    def __init__(self, zones):
        self.running.append(self)
        self.loop = asyncio.get_running_loop()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randrange(16, 250)}"
        self.bounds = {"DrainTimeoutMs": 3000, "ConfigApplyMs": 3000,
                       "StabilityWindowMs": 4000, "FlowMs": 2000,
                       "GracePeriodS": 6, "FlowLifetimeS": 60}
        self.started = time.monotonic()
        self.events, self.servers, self.tasks = [], [], []
        self.attempts, self.open_flows = {}, {}
        self.store = Store(self, f"{self.network}.250.1")
        self.forwarders = []
        for index, (zone, count) in enumerate(zones.items()):
            for number in range(1, count + 1):
                self.forwarders.append(Forwarder(
                    self, number, f"{self.network}.{index + 1}.{number}", zone))
        self.client_ip = f"{self.network}.100.1"
        self.service_ip = ip_number(f"{self.network}.200.1")
        self.next_port = 1024
        self.clients = None
        # Share of the datagrams to clients that are lost.
        self.loss = 0.0
        # Whether servers send a handshake again that is not acknowledged.
        self.resend_handshakes = False
        self.foreign_resets, self.reset_via = [], {}
        self.foreign_packets, self.lost_flows = {}, []

    async def __aenter__(self):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is missing: run the build of the deploy "
                            "file first")
        await self.store.start()
        _, self.clients = await self.loop.create_datagram_endpoint(
            lambda: Datagrams(self.loop, self.on_client_datagram, CLIENT_DELAY),
            local_addr=(self.client_ip, DATAGRAM_PORT))
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        self.kill_forwarders()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def kill_forwarders(self):
        for forwarder in self.forwarders:
            if forwarder.process and forwarder.process.poll() is None:
                forwarder.process.kill()
                forwarder.process.wait()

    def note(self, event, **fields):
        self.events.append({"t": round(time.monotonic() - self.started, 4),
                            "event": event, **fields})

    @staticmethod
    def name(key):
        src, sport, dst, dport = key
        return f"{ip_text(src)}:{sport}>{ip_text(dst)}:{dport}"

    def configuration(self, version, routes, max_flows=2000):
        """`routes`: (port, service, kind, target ms) each."""
        return {"Version": version, "Routes": [
            {"Name": f"r-{port}", "Host": ip_text(self.service_ip),
             "Prefix": f"/{port}/", "Kind": kind, "TimeoutMs": 2000,
             "TargetLatencyMs": target, "Priority": 1, "Service": service,
             "MaxAttempts": 2} for port, service, kind, target in routes],
            "Services": [{"Name": name, "HealthCheckPath": "/health",
                          "MaxFlows": max_flows, "Protocol": "h1", "Tls": False}
                         for name in sorted({r[1] for r in routes})],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}

    async def start_forwarders(self):
        for forwarder in self.forwarders:
            forwarder.start(bootstrap=True)
            self.tasks.append(asyncio.create_task(forwarder.probe()))
        await self.until(lambda: all(f.in_rotation for f in self.forwarders), 15,
                         "all forwarders in rotation")

    async def until(self, condition, timeout, what):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"no {what} within {timeout} s")
            await asyncio.sleep(0.02)

    async def add_server(self, identifier, service, host, zone, **options):
        server = Server(self, identifier, service, f"{self.network}.150.{host}",
                        zone, **options)
        await server.start()
        self.servers.append(server)
        return server

    def attempt(self, zone, port, deadline):
        """A new flow of a client, from a new port."""
        self.next_port += 1
        key = (ip_number(self.client_ip), self.next_port, self.service_ip, port)
        return Attempt(self, key, zone, deadline)

    def route(self, zone, key, data):
        """The platform's routers: a hash over the zone's daemons in rotation."""
        daemons = [f for f in self.forwarders if f.zone == zone]
        ready = [f for f in daemons if f.in_rotation]
        if 2 * len(ready) >= len(daemons):
            daemons = ready
        digest = zlib.crc32(struct.pack(">IHIH", *key))
        target = daemons[digest % len(daemons)]
        self.loop.call_later(CLIENT_DELAY, self.clients.send, data,
                             (target.ip, DATAGRAM_PORT))

    def on_client_datagram(self, data, sender):
        if self.loss and random.random() < self.loss:
            self.note("lost", sender=self.machine(sender[0]))
            return
        packet = Packet.decode(data)
        key = packet.dst, packet.dport, packet.src, packet.sport
        if packet.checksum not in (0, packet.expected_checksum()) or (
                packet.checksum == 0 and packet.flags != RST):
            self.note("client_got_modified_packet", flow=self.name(key))
            return
        attempt = self.attempts.get(key)
        if attempt is not None:
            attempt.on_packet(packet, sender[0])

    def on_own_packet(self, key, server):
        """A packet of an open flow reached its own server."""
        self.foreign_packets.pop(key, None)

    def on_foreign_packet(self, key, server, via):
        """A packet of a flow reached another server than that of the flow."""
        attempt = self.attempts.get(key)
        owner = attempt and self.open_flows.get((key, attempt.isn))
        if not owner or owner is server or key not in owner.flows:
            return
        in_touch = self.was_in_touch(via)
        self.note("packet_at_other_server", flow=self.name(key),
                  server=server.identifier, open_at=owner.identifier,
                  via=self.machine(via), via_in_touch=in_touch)
        seen = self.foreign_packets.setdefault(key, [])
        seen.append(in_touch)
        if len(seen) == 1:
            self.loop.call_later(self.bounds["FlowMs"] / 1000,
                                 self.check_flow, key, seen, owner)

    def check_flow(self, key, seen, owner):
        """FLOW (b): three packets at other servers in FlowMs, none at its own."""
        if self.foreign_packets.get(key) is seen and len(seen) >= 3 \
                and key in owner.flows:
            self.note("flow_lost", flow=self.name(key), packets=len(seen),
                      open_at=owner.identifier, via_in_touch=all(seen))
            self.lost_flows.append(self.events[-1])

    def machine(self, ip):
        return next((f.name for f in self.forwarders if f.ip == ip), ip)

    def was_in_touch(self, ip, now=None):
        """Whether a forwarder was undisturbed for StabilityWindowMs."""
        now = time.monotonic() if now is None else now
        forwarder = next(f for f in self.forwarders if f.ip == ip)
        return now - forwarder.disturbed_until >= \
            self.bounds["StabilityWindowMs"] / 1000

    def on_reset(self, attempt, sender):
        server = self.open_flows.get((attempt.key, attempt.isn))
        names = {s.ip: s.identifier for s in self.servers if s.alive}
        names.update({f.ip: f.name for f in self.forwarders})
        open_at = server.identifier if server else None
        via = self.reset_via.get(attempt.key)
        in_touch = via is not None and self.was_in_touch(via)
        self.note("client_got_reset", flow=self.name(attempt.key),
                  sent_by=names.get(sender, sender), open_at=open_at,
                  via=via and self.machine(via), via_in_touch=in_touch)
        if server and server.alive and sender != server.ip \
                and attempt.key in server.flows:
            self.foreign_resets.append(self.events[-1])

    def write_record(self, path):
        with open(path, "w", encoding="utf-8") as record:
            for event in self.events:
                record.write(json.dumps(event) + "\n")


def end_process(code):
    """Ends at once, with all forwarders; nothing is left to wait for."""
    for deployment in Deployment.running:
        deployment.kill_forwarders()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(deployment.folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)


async def run_to_end(folder, case):
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, end_process, 2)
    loop.call_later(TIME_LIMIT, end_process, 2)
    try:
        deployment, broken = await case(os.environ.get("TROUBLE", "1") != "0")
    except (CannotRun, OSError) as error:
        print("could not run:", error or type(error).__name__)
        return 2
    for line in broken:
        deployment.note("broken", what=line)
    deployment.write_record(pathlib.Path(folder) / "record.txt")
    counts = {}
    for event in deployment.events:
        counts[event["event"]] = counts.get(event["event"], 0) + 1
    print(counts)
    for line in broken[:5]:
        print("BROKEN:", line)
    print(f"{len(broken)} breaks" if broken else "the rule held")
    return 1 if broken else 0


def run_case(folder, case):
    """Runs `case(trouble)` and ends this process with the exit code.

    The case returns the Deployment and a list of broken rules as text.
    """
    async def run():
        code = 2
        try:
            code = await run_to_end(folder, case)
        except Exception as error:  # A fault of the case, not of the product.
            print("could not run:", repr(error))
        end_process(code)
    asyncio.run(run())
