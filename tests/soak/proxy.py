"""Loopback TCP proxies that inject faults: delay, reset, silence and one-way cuts.

One thread runs all proxies of a soak.  A fault applies to open connections too: silence and a one-way cut
drop bytes without closing a connection, as a network does.
"""
import asyncio
import socket
import struct
import threading

CHUNK_BYTES = 64 * 1024
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of zero seconds: close sends a reset


class Fault:
    """Delays or drops of one proxy, by direction."""

    def __init__(self, delay_s=0.0, drops_up=False, drops_down=False):
        self.delay_s, self.drops_up, self.drops_down = delay_s, drops_up, drops_down


NONE = Fault()
KINDS = {
    "delay": Fault(delay_s=0.3),
    "silence": Fault(drops_up=True, drops_down=True),
    "cut-up": Fault(drops_up=True),
    "cut-down": Fault(drops_down=True),
}


class Proxy:
    """Forwards connections from one address to another."""

    def __init__(self, loop, listen, target):
        self.loop, self.listen, self.target = loop, listen, target
        self.fault, self.writers = NONE, set()

    async def serve(self):
        await asyncio.start_server(self.handle_connection, *self.listen)

    async def handle_connection(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self.pump(reader, up_writer, "drops_up"), self.pump(up_reader, writer, "drops_down"))
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer, drops):
        try:
            while data := await reader.read(CHUNK_BYTES):
                fault = self.fault
                if getattr(fault, drops):
                    continue
                if fault.delay_s:
                    await asyncio.sleep(fault.delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            if writer.transport.is_closing():
                continue
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


class Proxies:
    """Runs the proxies of a soak, by name."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.by_name = {}
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name, listen, target):
        proxy = self.by_name[name] = Proxy(self.loop, listen, target)
        asyncio.run_coroutine_threadsafe(proxy.serve(), self.loop).result(10)

    def set(self, name, kind):
        self.loop.call_soon_threadsafe(setattr, self.by_name[name], "fault", KINDS.get(kind, NONE))

    def reset(self, name):
        self.loop.call_soon_threadsafe(self.by_name[name].reset_all)

    def end(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
