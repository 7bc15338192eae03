"""Stand-in for a model runner of the platform, a process of its own.

It reads prompts one after the other, writes the events of its runs in steps, and
reports to the store. With `--pre-fork`, a parent holds the listening socket and starts
a worker anew when it has ended, as servers with worker processes do.
"""

import argparse
import base64
import json
import os
import socket as plain_socket
import time
from typing import Any

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore

HEARTBEAT_S = 1.2
TOKENS_PER_EVENT = 4
PROMPT_TOKENS_PER_S = 14_000
DEADLY_STATUS = 86
PLAIN_PIECES = 40
"""Pieces of 20 bytes each, 800 bytes together."""


class Engine:
    """The runner's requests.

    Args:
        options: Options of the command line.
        listener: Listening socket.
        born: Start of the process in Unix milliseconds.
    """

    def __init__(self, options: Any, listener: Any, born: int) -> None:
        self._options = options
        self._listener = listener
        self._born = born
        self._n_held = 0
        self._n_running = 0
        self._sequence = 0
        self._prefill = Semaphore(1)
        self._journal = os.open(
            options.journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )

    def run(self) -> None:
        """Serve for ever."""
        self._note("starts", "", pid=os.getpid())
        eventlet.spawn_n(self._keep_entry)
        eventlet.serve(self._listener, self._serve, concurrency=2000)

    def _note(self, what: str, request_id: str, **fields: Any) -> None:
        entry = {
            "at": time.time(),
            "what": what,
            "id": request_id,
            "runner": self._options.name,
            "born": self._born,
            **fields,
        }
        os.write(self._journal, json.dumps(entry).encode() + b"\n")

    def _keep_entry(self) -> None:
        eventlet.sleep(self._options.first_beat_s)
        while True:
            try:
                self._write_entry()
            except OSError:
                pass
            eventlet.sleep(HEARTBEAT_S)

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self._options.service,
            "address": self._options.listen,
            "zone": self._options.zone,
            "version": "1",
            "slots": self._options.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        row = {
            "table_name": "servers",
            "part": "",
            "key": self._options.name,
            "value": base64.b64encode(json.dumps(entry).encode()).decode(),
        }
        body = json.dumps({"expect": [], "puts": [row], "remove": []}).encode()
        host, _, port = self._options.store.partition(":")
        with eventlet.Timeout(2.0, OSError("the store is silent")):
            conn = eventlet.connect((host, int(port)))
            conn.sendall(
                b"POST /rows-tx HTTP/1.1\r\nHost: store\r\nContent-Length: "
                + str(len(body)).encode()
                + b"\r\n\r\n"
                + body
            )
            conn.recv(65536)
            conn.close()

    def _serve(self, conn: Any, _: Any) -> None:
        try:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._answer(conn)
        except OSError:
            return
        finally:
            conn.close()

    def _answer(self, conn: Any) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            more = conn.recv(65536)
            if not more:
                return
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        while len(body) < int(headers.get("content-length", 0)):
            more = conn.recv(65536)
            if not more:
                return
            body += more
        path = lines[0].split(" ")[1]
        if path == "/report":
            self._report(conn)
        elif path == "/health":
            self._send(conn, 200, {"X-Hawthornyard-Instance-Id": self._options.name})
        else:
            self._run(conn, headers)

    def _report(self, conn: Any) -> None:
        report = {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": self._n_held - self._n_running,
            "running": self._n_running,
            "kv_used": 0,
            "kv_total": 34253,
            "handles": 0,
            "state": "ready",
            "born": self._born,
            "runs": [],
        }
        self._send(conn, 200, {}, json.dumps(report).encode())

    def _send(
        self, conn: Any, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [
            f"X-Hawthornyard-Server-Load: {self._n_running},"
            f"{self._n_held - self._n_running},{self._options.slots}{self._pace()}",
            "Connection: close",
        ]
        conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def _run(self, conn: Any, headers: dict[str, str]) -> None:
        request_id = headers.get("x-hawthornyard-request-id", "")
        echo = {"X-Hawthornyard-Request-Id": request_id}
        refused = {**echo, "X-Hawthornyard-Not-Executed": "1"}
        if headers.get("x-hawthornyard-expect-instance") != self._options.name:
            self._send(conn, 421, refused)
            return
        if self._n_held >= self._options.slots + self._options.queue:
            self._send(conn, 503, refused)
            return
        parts = headers.get("x-hawthornyard-prompt-prefix", "").split(",")
        names = [part.partition(":")[0] for part in parts]
        self._note("arrived", request_id)
        self._n_held += 1
        try:
            if self._options.plain:
                self._write_plain(conn, request_id)
            else:
                self._write_stream(conn, headers, request_id, names[:-1])
        finally:
            self._n_held -= 1

    def _write_plain(self, conn: Any, request_id: str) -> None:
        """Answer with a body without length, in pieces as they are made."""
        self._note("runs", request_id)
        conn.sendall(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                f"X-Hawthornyard-Request-Id: {request_id}\r\n"
                f"X-Hawthornyard-Response-Seal: 3e1b.{request_id}\r\n"
                "Connection: close\r\n\r\n"
            ).encode()
        )
        for number in range(PLAIN_PIECES):
            eventlet.sleep(self._options.step_s)
            conn.sendall(f"{request_id} {number:2d}\n".encode())
        self._note("ends", request_id)

    def _write_stream(
        self, conn: Any, headers: dict[str, str], request_id: str, shared: list[str]
    ) -> None:
        usage = headers.get("x-hawthornyard-token-usage", "1,4").split(",")
        n_prompt, n_output = (int(text) for text in usage)
        with self._prefill:
            eventlet.sleep(n_prompt / PROMPT_TOKENS_PER_S)
            if self._is_closed(conn):
                self._note("left", request_id)
                return
        self._note("runs", request_id)
        framing = (
            "Connection: close" if self._options.unframed else self._chunked_framing()
        )
        conn.sendall(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Hawthornyard-Request-Id: {request_id}\r\n"
                f"X-Hawthornyard-Response-Seal: 3e1b.{request_id}\r\n"
                f"X-Hawthornyard-Server-Load: {self._n_running},"
                f"{self._n_held - self._n_running},{self._options.slots}"
                f"{self._pace()}\r\n"
                f"X-Hawthornyard-Weight-Versions: 1\r\n{framing}\r\n\r\n"
            ).encode()
        )
        if self._options.deadly and self._options.deadly in shared:
            self._note("crashes", request_id)
            os._exit(DEADLY_STATUS)
        self._n_running += 1
        try:
            for number in range(1, -(-n_output // TOKENS_PER_EVENT) + 1):
                event = f"id: {number}\ndata: {request_id}\n\n".encode()
                if not self._options.unframed:
                    event = b"%x\r\n%s\r\n" % (len(event), event)
                conn.sendall(event)
                eventlet.sleep(self._options.step_s)
            if not self._options.unframed:
                conn.sendall(b"0\r\n\r\n")
            self._note("ends", request_id, n_events=number)
        finally:
            self._n_running -= 1

    def _pace(self) -> str:
        return ",100" if self._options.tells_pace else ""

    def _chunked_framing(self) -> str:
        return "Transfer-Encoding: chunked\r\nConnection: close"

    def _is_closed(self, conn: Any) -> bool:
        try:
            with eventlet.Timeout(0.0001, False):
                return conn.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True
        return False


def main() -> None:
    """Run the stand-in until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--zone", default="kgn-a")
    parser.add_argument("--service", default="scribe")
    parser.add_argument("--plain", type=int, default=0)
    parser.add_argument("--slots", type=int, default=24)
    parser.add_argument("--queue", type=int, default=72)
    parser.add_argument("--step-s", type=float, default=0.02)
    parser.add_argument("--first-beat-s", type=float, default=0.0)
    parser.add_argument("--start-s", type=float, default=0.0)
    parser.add_argument("--deadly", default="")
    parser.add_argument("--unframed", type=int, default=0)
    parser.add_argument("--tells-pace", type=int, default=0)
    parser.add_argument("--pre-fork", type=int, default=0)
    options = parser.parse_args()
    host, _, port = options.listen.partition(":")
    listener = plain_socket.socket()
    listener.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(512)
    is_first = True
    while options.pre_fork:
        pid = os.fork()
        if not pid:
            if not is_first:
                # The weights are loaded before the first request.
                time.sleep(options.start_s)
            break
        os.wait()
        is_first = False
    green = eventlet.greenio.GreenSocket(listener)
    Engine(options, green, int(time.time() * 1000)).run()


if __name__ == "__main__":
    main()
