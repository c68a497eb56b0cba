"""Tests of the headers of requests that one VM relays through another."""

import pytest

from godwitlanding.gateway.attempt import Outcome
from godwitlanding.gateway.exchange import Exchange
from godwitlanding.gateway.relaymessages import (
    MAX_TRIED,
    RELAY_HEADER,
    RelayFields,
    RelayResult,
    encode_relayed,
    make_result_headers,
    read_fields,
    read_result,
)
from godwitlanding.gateway.upstream import Response
from godwitlanding.platform.headers import HEADER_NAMES


def make_exchange(headers):
    """Return a request of a caller with headers."""
    exchange = Exchange(None, 0.0)
    exchange.method = b"POST"
    exchange.target = b"/pay/1"
    exchange.headers = headers
    exchange.body = b"amount=1"
    return exchange


@pytest.mark.parametrize("tried", [(), ("u1",), tuple(f"u{n}" for n in range(20))])
def test_relayed_request_carries_what_was_decided(tried):
    own_header = (RELAY_HEADER, b'["forged",1,true,[]]')
    caller_headers = [own_header, (HEADER_NAMES.deadline_ms, b"2000"), (b"host", b"h")]
    exchange = make_exchange(caller_headers)
    fields = RelayFields('k\u00e4se "1"\r\n', -0.25, True, tried)
    data = encode_relayed(exchange, HEADER_NAMES, fields, 1.5)
    head, _, body = data.partition(b"\r\n\r\n")
    headers = [tuple(line.split(b": ", 1)) for line in head.split(b"\r\n")[1:]]
    relayed = make_exchange(headers)
    assert read_fields(relayed) == fields._replace(tried=tried[-MAX_TRIED:])
    assert relayed.get_headers(HEADER_NAMES.deadline_ms) == [b"1500"]
    assert relayed.get_header(b"host") == b"h"
    assert body == b"amount=1"


@pytest.mark.parametrize(
    "value", [b"", b"{", b"1", b'["s"]', b'["s","x",true,[]]', b'["s",1,true,1]']
)
def test_relayed_request_without_valid_fields_is_refused(value):
    with pytest.raises(ValueError):
        read_fields(make_exchange([(RELAY_HEADER, value)]))


@pytest.mark.parametrize("outcome", Outcome)
def test_result_of_an_attempt_is_read_back(outcome):
    result = RelayResult(outcome, "connect refused", "i-1")
    headers = make_result_headers(result)
    assert read_result(Response(200, headers, b"", False)) == result


@pytest.mark.parametrize("headers", [[], [(b"godwit-relay-outcome", b"new")]])
def test_response_without_an_outcome_may_have_run(headers):
    # Guards against a second run of a payment whose relay ended half-way.
    result = read_result(Response(503, headers, b"", False))
    assert result.outcome is Outcome.UNKNOWN
