"""HTTP/1.1 on both sides, and authenticated msgpack streams between hosts."""

from .binding import async_bind
from .body_budget import BodyBudget
from .codec import decode_message, encode_message, register_message
from .frames import BadFrame, FrameStream, RefusedFrameError, async_handshake
from .http_client import (
    Connector,
    HttpAnswer,
    HttpStream,
    async_accepts_connections,
    async_open_http,
    async_send_http,
)
from .http_messages import HttpHead, HttpLimits, HttpRequest, RawHeaders
from .http_responder import Responder, build_error_body
from .http_server import HttpServer
from .links import PeerLinks
from .pause_timeout import PauseTimeout
from .peers import PeerServer
from .receiver import Receiver
from .relay_client import (
    RelayLostError,
    RelayRefusedError,
    async_connect_by_link,
    async_connect_by_relay,
)
from .relay_messages import RelayRequest, RelayResult
from .relay_server import RelayServer

__all__ = [
    "BadFrame",
    "BodyBudget",
    "Connector",
    "FrameStream",
    "HttpAnswer",
    "HttpHead",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
    "HttpStream",
    "PeerLinks",
    "PauseTimeout",
    "PeerServer",
    "RawHeaders",
    "Receiver",
    "RelayLostError",
    "RelayRefusedError",
    "RelayRequest",
    "RelayResult",
    "RelayServer",
    "RefusedFrameError",
    "Responder",
    "async_accepts_connections",
    "async_bind",
    "async_open_http",
    "async_send_http",
    "async_connect_by_link",
    "async_connect_by_relay",
    "async_handshake",
    "build_error_body",
    "decode_message",
    "encode_message",
    "register_message",
]
