"""Stand-ins of the platform around real forwarder processes, on loopback.

One asyncio process holds the store, the servers, the clients and the routers
as PROTOCOL.md describes them; the forwarders are the project's own program,
started with the command of deploy/system.toml. Every address is a loopback
address. Nothing is written outside the case's folder but settings files in a
temporary folder, which is removed at the end.
"""

import asyncio
import base64
import json
import os
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

SYN, ACK, FIN, RST, BOUNCED = 4, 8, 64, 128, 2
HEAD = struct.Struct(">IIHBHHIIII")  # sum echo len flags dport sport src dst seq ack
CLIENT_LINK_S = 0.003  # One way between clients and the data centres.
SERVER_RETRANSMISSIONS = 8
PACKETS, READINESS, CONTROL, INTERNAL, STORE = 8172, 8167, 8166, 7720, 8169
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = [os.path.join(ROOT, "target", "bin", "dotterelrouter"), "forward"]


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


class Packet:
    """One packet of a client or a server; see "Packets" in PROTOCOL.md."""

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"", echo=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq % 2**32, ack % 2**32
        self.data, self.echo, self.sum = data, echo, None

    def checksum(self):
        fields = struct.pack(">HBHHIIII", len(self.data), self.flags & ~BOUNCED, self.dport,
                             self.sport, self.src, self.dst, self.seq, self.ack)
        return zlib.crc32(b"key of the stand-ins" + fields + self.data) | 1

    def encode(self):
        head = HEAD.pack(self.checksum(), self.echo, len(self.data), self.flags, self.dport,
                         self.sport, self.src, self.dst, self.seq, self.ack)
        return head + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        total, echo, size, flags, dport, sport, src, dst, seq, ack = HEAD.unpack_from(raw)
        if len(raw) != HEAD.size + size:
            return None
        packet = Packet(src, sport, dst, dport, flags, seq, ack, raw[HEAD.size:], echo)
        packet.sum = total
        return packet

    def key(self):
        return (self.src, self.sport, self.dst, self.dport)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, raw, sender):
        self.handler(raw, sender)


class Lab:
    """The deployment. Times in the record are seconds since its start."""

    def __init__(self, folder, zones, bounds=None, idle_ms=12000):
        self.folder, self.bounds, self.idle_ms = folder, bounds or {}, idle_ms
        self.zones = {name: [] for name in zones}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lines, self.broken, self.forwarders, self.servers = [], [], [], []
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.random = random.Random(7)
        self.net = self.free_network()
        self.store = Store(self)
        self.tasks = []
        self.first_start = True  # Until the first machines have started.
        self.seeds = []  # Addresses of the seeds; empty: the first three machines.
        # Whether the link loses this SYN+ACK of a server, the count-th copy.
        self.loses = lambda server, packet, count: False

    @staticmethod
    def free_network():
        """A /16 of the loopback range in which the ports are free."""
        for _ in range(200):
            net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            try:
                for port in (STORE, CONTROL, READINESS, INTERNAL, INTERNAL + 1):
                    with socket.socket() as probe:
                        probe.bind((net + ".1", port))
                return net
            except OSError:
                continue
        raise SystemExit(2)

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.lines.append("%9.4f %s" % (self.now(), text))

    def breaks(self, text):
        self.broken.append(text)
        self.note("BROKEN " + text)

    def later(self, delay, call, *arguments):
        asyncio.get_running_loop().call_later(delay, call, *arguments)

    async def udp(self, address, handler):
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: Udp(handler), local_addr=address)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        return transport

    def spawn(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def add_forwarder(self, zone, host):
        forwarder = Forwarder(self, zone, "%s.%d" % (self.net, host))
        self.forwarders.append(forwarder)
        self.zones[zone].append(forwarder)
        return forwarder

    async def wait_ready(self, limit=10.0):
        end = self.now() + limit
        while not all(f.in_rotation for f in self.forwarders if not f.leaves):
            if self.now() > end:
                self.note("forwarders did not become ready")
                return False
            await asyncio.sleep(0.05)
        self.first_start = False
        return True

    def finish(self, code=None):
        for task in self.tasks:
            task.cancel()
        for forwarder in self.forwarders:
            forwarder.kill()
        if code is None:
            code = 1 if self.broken else 0
        self.note("result %d: %s" % (code, {0: "the rule held", 1: "the rule was broken",
                                             2: "the case could not run"}[code]))
        with open(os.path.join(self.folder, "record.txt"), "w") as out:
            out.write("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.temporary, ignore_errors=True)
        print(self.lines[-1], "(KEEP: %s)" % self.temporary if os.environ.get("KEEP") == "1" else "")
        for line in self.broken[:5]:
            print("  " + line)
        return code


class Forwarder:
    """One process of the project, and what its router knows of it."""

    def __init__(self, lab, zone, ip):
        self.lab, self.zone, self.ip = lab, zone, ip
        self.name = "frontend-%s" % ip
        self.process, self.in_rotation, self.misses = None, False, 0
        self.leaves = False  # Removed for good.
        self.calm_since = None  # Last disruption or start.
        self.starts = 0

    def settings(self):
        lab = self.lab
        bounds = {"SeedLagS": 3, "AddressReuseS": 2, "StabilityWindowMs": 4000, "AckTimeoutMs": 5000,
                  "CatchUpS": 4, "DrainTimeoutMs": 3000, "GracePeriodS": 6, "LossSlackMs": 200,
                  "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "MaxStretchMs": 12000, "RecoveryS": 12,
                  "FlowMs": 2000, "FlowLifetimeS": 60}
        bounds.update(lab.bounds)
        return {"NodeName": self.name, "Role": "forwarder", "MachineClass": "frontend",
                "Serves": ["frontend", "control"], "IpAddress": self.ip, "Zone": self.zone,
                "Region": "occidente", "Zones": {zone: "occidente" for zone in lab.zones},
                "Listen": {"DatagramAddress": "%s:%d" % (self.ip, PACKETS),
                           "ReadinessAddress": "%s:%d" % (self.ip, READINESS),
                           "Control": "%s:%d" % (self.ip, CONTROL)},
                "InternalPortRange": [INTERNAL, INTERNAL + 15],
                "Seeds": ["%s:%d" % (ip, CONTROL) for ip in lab.seeds or
                          [forwarder.ip for forwarder in lab.forwarders[:3]]],
                "Bootstrap": lab.first_start, "CountsTowardTolerance": False,
                "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "FileDescriptors": 4100,
                           "LinkMbps": 1000.0, "DiskMb": 0},
                "DataDirectory": None, "Discovery": "platform", "Entry": "announcement",
                "HeartbeatIntervalMs": 770,
                "Contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
                "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0}, "Bounds": bounds,
                "HashFunction": "mod", "ForwardingMode": "echo",
                "platform": {"Address": "%s:%d" % (lab.store.ip, STORE), "ForwardingMode": "kv",
                             "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                             "MaxValueBytes": 1048576, "MinTtlMs": 1000}}

    def write_settings(self):
        path = os.path.join(self.lab.temporary, self.name + ".json")
        with open(path + ".new", "w") as out:
            json.dump(self.settings(), out)
        os.replace(path + ".new", path)
        return path

    def start(self):
        path = self.write_settings()
        self.starts += 1
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DOTTERELROUTER_BOOT"] = path
        with open(os.path.join(self.lab.temporary, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.calm_since = self.lab.now()
        self.lab.note("start %s pid %d" % (self.name, self.process.pid))

    def send_signal(self, number):
        self.calm_since = self.lab.now()
        self.lab.note("signal %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def in_touch(self, window=4.0):
        return self.calm_since is not None and self.lab.now() - self.calm_since >= window

    async def probe(self):
        """The router's readiness probe: twice a second, out after two misses."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, READINESS), 0.4)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            good = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            good = False
        self.misses = 0 if good else self.misses + 1
        was = self.in_rotation
        self.in_rotation = good or (was and self.misses < 2)
        if was != self.in_rotation:
            self.lab.note("%s %s rotation" % (self.name, "in" if self.in_rotation else "out of"))

    async def probing(self):
        while True:
            begun = self.lab.now()
            await self.probe()
            self.next_probe = begun + 0.5
            await asyncio.sleep(max(0.0, self.next_probe - self.lab.now()))


def route_packet(lab, zone, packet):
    """The router: a hash of the four addresses and ports over those in rotation."""
    all_of_zone = lab.zones[zone]
    ready = [f for f in all_of_zone if f.in_rotation]
    used = ready if len(ready) * 2 >= len(all_of_zone) else all_of_zone
    if not ready:
        used = [f for f in lab.forwarders if f.in_rotation] or all_of_zone
    key = struct.pack(">IHIH", *packet.key())
    return used[zlib.crc32(key) % len(used)]


class Store:
    """The platform's metadata store. Servers and operator write to it directly."""

    def __init__(self, lab):
        self.lab, self.ip = lab, lab.net + ".1"
        self.revision, self.items, self.events = 10, {}, []
        self.down = False  # Every call gets 503 and does nothing.
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, STORE)

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["CreatedRevision"] if key in self.items else self.revision
        item = {"Key": key, "Value": base64.b64encode(json.dumps(value).encode()).decode(),
                "Revision": self.revision, "CreatedRevision": created, "Lease": 0}
        self.items[key] = item
        self.publish(item)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.publish({"Key": key, "Revision": self.revision, "Tombstone": True})

    def publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down):
        self.down = down
        self.lab.note("store %s" % ("down: answers 503" if down else "up"))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            target = urllib.parse.urlsplit(line.split(" ")[1])
            query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
            status, body = await self.answer(target.path, query)
            raw = json.dumps(body).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 0\r\n"
                         b"Content-Length: %d\r\nConnection: close\r\n\r\n" % (status, len(raw)) + raw)
            await writer.drain()
        except (OSError, IndexError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        prefix = query.get("Prefix", "")
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys], "HasMore": False,
                         "AtRevision": self.revision}
        if path == "/v1/kv-watch":
            after, end = int(query["after"]), self.lab.now() + int(query["WaitMs"]) / 1000
            while True:
                if self.down:
                    return 503, {}
                found = [e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)]
                left = end - self.lab.now()
                if found or left <= 0:
                    return 200, {"events": found, "AtRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/kv-key" and query.get("Key") in self.items:
            return 200, dict(self.items[query["Key"]], AtRevision=self.revision)
        return 404, {}

    def write_config(self, version, routes, services):
        """`routes`: rows of host, port, service, kind, timeout, target, priority."""
        table = [{"Name": "r-%s-%d" % (host, port), "Host": host, "Prefix": "/%d/" % port,
                  "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": priority,
                  "Service": service, "MaxAttempts": 2}
                 for host, port, service, kind, timeout, target, priority in routes]
        rows = [dict({"Name": name, "HealthCheckPath": "/health", "MaxFlows": 2000,
                      "Protocol": "h1", "Tls": False}, **extra) for name, extra in services]
        self.put("op/config", {"Version": version, "Routes": table, "Services": rows,
                               "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                                          "HeaderTimeoutMs": 3000,
                                          "IdleTimeoutMs": self.lab.idle_ms}})
        self.lab.note("operator: config %d acknowledged" % version)


class Server:
    """A server with its flows; see "Servers" and "Flows" in PROTOCOL.md."""

    def __init__(self, lab, identifier, service, zone, host, slots=2, syn_delay=0.0003, work=0.02):
        self.lab, self.identifier, self.service, self.zone = lab, identifier, service, zone
        self.number = int("".join(c for c in identifier if c in "0123456789abcdef"), 16)
        self.ip, self.port, self.slots = "%s.%d" % (lab.net, host), 8080, slots
        self.syn_delay, self.work = syn_delay, work
        self.flows, self.state, self.alive = {}, "ready", False
        self.sequence, self.born, self.cold_until = 0, 0, 0.0
        self.opened_at = []  # Times at which it took an opening packet.
        self.on_opening = None
        lab.servers.append(self)

    async def start(self, cold_s=0.0):
        if not hasattr(self, "transport"):
            self.transport = await self.lab.udp((self.ip, self.port), self.received)
        self.flows, self.alive = {}, True
        self.born = int(time.time() * 1000)
        self.cold_until = self.lab.now() + cold_s
        self.lab.note("server %s of %s starts%s" % (
            self.identifier, self.service, ", cold for %.1f s" % cold_s if cold_s else ""))

    def crash(self):
        self.alive, self.flows = False, {}
        self.lab.note("server %s crashes" % self.identifier)

    def drain(self):
        """A planned shutdown begins; the store accepts the report at once."""
        self.state = "draining"
        self.register()
        self.lab.note("server %s reports draining: acknowledged" % self.identifier)

    def entry(self):
        self.sequence += 1
        left = max(0, int((self.cold_until - self.lab.now()) * 1000))
        return {"Service": self.service, "Address": "%s:%d" % (self.ip, self.port), "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": left,
                "Sequence": self.sequence, "born": self.born}

    def register(self):
        if self.alive and not self.lab.store.down:
            self.lab.store.put("servers/" + self.identifier, self.entry())
            return True
        return False

    async def registering(self):
        """Writes its entry as soon as the store takes it, after each start."""
        written = 0
        while True:
            if self.alive and self.born != written and self.register():
                written = self.born
                self.lab.note("server %s registered" % self.identifier)
            await asyncio.sleep(0.05)

    def received(self, raw, _sender):
        if not self.alive or len(raw) < 8:
            return
        number, packet = struct.unpack(">Q", raw[:8])[0], Packet.decode(raw[8:])
        if packet is None or number not in (0, self.number):
            return
        if packet.sum != packet.checksum():
            self.lab.breaks("UNASKED server %s got a packet that was changed" % self.identifier)
            return
        flow = self.flows.get(packet.key())
        if packet.flags & SYN:
            self.on_syn(packet, flow)
        elif packet.flags & RST:
            self.flows.pop(packet.key(), None)
        elif flow is None or (not flow["open"] and packet.ack != (flow["seq"] + 1) % 2**32):
            self.reset(packet, "holds no such flow" if flow is None else "not acknowledged here")
        else:
            self.on_packet(packet, flow)

    def on_syn(self, packet, flow):
        if flow is None or flow["peer"] != packet.seq:
            flow = {"peer": packet.seq, "next": (packet.seq + 1) % 2**32, "open": False,
                    "seq": self.lab.random.getrandbits(32), "echo": packet.echo, "answers": {}}
            flow["sent"] = (flow["seq"] + 1) % 2**32
            self.flows[packet.key()] = flow
            self.opened_at.append(self.lab.now())
            if self.on_opening:
                self.on_opening(self, packet)
            self.lab.later(self.syn_delay, self.send_syn_ack, packet, flow, 0)
        flow["echo"] = packet.echo

    def send_syn_ack(self, packet, flow, count):
        if not self.alive or self.flows.get(packet.key()) is not flow or flow["open"]:
            return
        if count > SERVER_RETRANSMISSIONS:
            del self.flows[packet.key()]
            return
        if not self.lab.loses(self, packet, count):
            self.send(packet, SYN | ACK, flow["seq"], (flow["peer"] + 1) % 2**32, b"", flow["echo"])
        self.lab.later(min(0.2 * 2**count, 1.6), self.send_syn_ack, packet, flow, count + 1)

    def on_packet(self, packet, flow):
        if not flow["open"]:
            flow["open"] = True
            self.lab.note("flow %s:%d open at %s" % (
                socket.inet_ntoa(struct.pack(">I", packet.src)), packet.sport, self.identifier))
        flow["echo"] = packet.echo
        if packet.flags & FIN:
            # Both ends close: the flow has ended, and a later FIN is acknowledged again.
            flow["next"] = (packet.seq + 1) % 2**32
            self.send(packet, FIN | ACK, flow["sent"], flow["next"], b"", flow["echo"])
            return
        if not packet.data:
            return
        if packet.seq in flow["answers"]:
            if flow["answers"][packet.seq] is not None:
                self.answer(packet, flow, flow["answers"][packet.seq])
            return
        if packet.seq != flow["next"]:
            return
        flow["next"] = (flow["next"] + len(packet.data)) % 2**32
        flow["answers"][packet.seq] = None
        request = packet.data.decode()
        self.lab.note("run %s at %s" % (request, self.identifier))
        self.lab.later(self.work, self.finished, packet, flow, request)

    def finished(self, packet, flow, request):
        if self.alive and self.flows.get(packet.key()) is flow:
            body = ("200 %s %s" % (request, self.identifier)).encode()
            flow["answers"][packet.seq] = (flow["sent"], body)
            flow["sent"] = (flow["sent"] + len(body)) % 2**32
            self.answer(packet, flow, flow["answers"][packet.seq])

    def answer(self, packet, flow, sent):
        self.send(packet, ACK, sent[0], flow["next"], sent[1], flow["echo"])

    def reset(self, packet, reason):
        self.lab.note("server %s resets %s:%d: %s" % (
            self.identifier, socket.inet_ntoa(struct.pack(">I", packet.src)), packet.sport, reason))
        self.send(packet, RST, packet.ack, packet.seq, b"", packet.echo)

    def send(self, received, flags, seq, ack, data, echo):
        packet = Packet(received.dst, received.dport, received.src, received.sport, flags, seq, ack,
                        data, echo)
        client = socket.inet_ntoa(struct.pack(">I", received.src))
        self.lab.later(CLIENT_LINK_S, self.transport.sendto, packet.encode(), (client, PACKETS))


class Client:
    """A client machine; its flows are told apart by their ports."""

    def __init__(self, lab, zone, host):
        self.lab, self.zone, self.ip = lab, zone, "%s.%d" % (lab.net, host)
        self.flows = {}

    async def start(self):
        self.transport = await self.lab.udp((self.ip, PACKETS), self.received)

    def received(self, raw, sender):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport) if packet else None
        if flow is not None:
            flow.received(packet, sender[0])

    def send(self, packet):
        forwarder = route_packet(self.lab, self.zone, packet)
        self.lab.later(CLIENT_LINK_S, self.transport.sendto, packet.encode(), (forwarder.ip, PACKETS))
        return forwarder


class Flow:
    """One flow of a client. `ended` holds why it ended."""

    def __init__(self, client, port, host, service_port, seq=None):
        self.client, self.lab, self.port = client, client.lab, port
        self.dst, self.dport = ip_number(host), service_port
        self.first = client.lab.random.getrandbits(32) if seq is None else seq % 2**32
        self.next = (self.first + 1) % 2**32
        self.echo, self.server, self.server_seq, self.ack = 0, None, None, 0
        self.state, self.ended, self.pending = "opening", None, None
        self.answered, self.sent_at, self.done = [], None, asyncio.Event()
        self.name = "%s:%d" % (client.ip, port)
        self.through = []
        client.flows[port] = self

    def packet(self, flags, seq, ack, data=b""):
        echo = 0 if flags & SYN else self.echo
        return Packet(ip_number(self.client.ip), self.port, self.dst, self.dport, flags, seq, ack, data,
                      echo)

    def open(self, request=None):
        self.first_request = request
        self.sent_at = self.lab.now()
        self.send_syn(0)

    def send_syn(self, count):
        if self.state != "opening":
            return
        forwarder = self.client.send(self.packet(SYN, self.first, count))
        self.through.append(forwarder)
        if count < 2:
            self.lab.later((0.2, 0.4)[count], self.send_syn, count + 1)
        else:
            self.lab.later(0.8, self.give_up)

    def give_up(self):
        if self.state == "opening":
            self.end("not opened in time")

    def end(self, why):
        self.state, self.ended = "ended", why
        self.done.set()

    def received(self, packet, sender):
        if packet.flags & RST:
            self.on_reset(packet, sender)
            return
        if packet.sum != packet.checksum():
            self.lab.breaks("MIXED client %s got a packet that was changed" % self.name)
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.state == "opening":
                self.state, self.server, self.server_seq = "open", sender, packet.seq
                self.ack = (packet.seq + 1) % 2**32
                if self.first_request:
                    self.request(self.first_request)
                else:
                    self.client.send(self.packet(ACK, self.next, self.ack))
            return
        if self.state == "closing" and packet.flags & FIN:
            self.client.send(self.packet(ACK, (self.next + 1) % 2**32, (packet.seq + 1) % 2**32))
            self.end("closed")
            return
        if self.state != "open" or not packet.data or packet.seq != self.ack:
            return
        self.ack = (self.ack + len(packet.data)) % 2**32
        self.client.send(self.packet(ACK, self.next, self.ack))
        if self.pending and packet.data.decode().split(" ")[1] == self.pending:
            self.answered.append(self.pending)
            self.pending = None
            self.done.set()

    def on_reset(self, packet, sender):
        if self.state == "ended":
            return
        self.lab.note("client %s got a reset from %s while %s (its server: %s)" % (
            self.name, sender, self.state, self.server))
        self.reset_by, self.was_open = sender, self.state == "open"
        self.end("reset by %s" % sender)

    def close(self, count=0):
        if self.state in ("open", "closing") and count < 8:
            self.state = "closing"
            self.client.send(self.packet(FIN | ACK, self.next, self.ack))
            self.lab.later(min(0.2 * 2**count, 1.6), self.close, count + 1)

    def request(self, identifier):
        self.pending, self.done = identifier, asyncio.Event()
        self.lab.note("client %s sends %s with echo %08x" % (self.name, identifier, self.echo))
        data = identifier.encode()
        start = self.next
        self.next = (self.next + len(data)) % 2**32
        self.transmit(identifier, start, data, 0)

    def transmit(self, identifier, start, data, count):
        if self.pending != identifier or self.state != "open" or count > 8:
            return
        self.through.append(self.client.send(self.packet(ACK, start, self.ack, data)))
        self.lab.later(min(0.2 * 2**count, 1.6), self.transmit, identifier, start, data, count + 1)


def main(case, folder, **deployment):
    """Runs `case(lab)`, which returns None or the exit code; returns that code.

    None means: 1 if a rule was noted as broken, otherwise 0.
    """
    if not os.access(PROGRAM[0], os.X_OK):
        print("could not run: the program of the deploy file is not built")
        return 2

    async def run():
        lab = Lab(folder, **deployment)
        code = 2
        try:
            await lab.store.start()
            code = await asyncio.wait_for(case(lab), 110)
        except Exception as error:  # The case could not run.
            lab.note("could not run: %r" % error)
        finally:
            code = lab.finish(code)
        return code

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    return asyncio.run(run())
