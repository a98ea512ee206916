"""Tests of requests that crash the targets that run them."""

from tarragonward_standins import answer_with

MARK = b"crash"


def crash_on_mark(targets):
    """Return a script: a marked request ends the target, all others are answered."""
    answer = answer_with()

    async def script(request, writer):
        if not request.body.startswith(MARK):
            await answer(request, writer)
            return
        [target] = [t for t in targets if request in t.seen]
        await target.async_unload()
        writer.transport.abort()

    return script


def ask(site, body):
    length = f"Content-Length: {len(body)}"
    return site.async_ask("POST", body=body, lines=[length])


async def make_crashing_site(make_site, count, **route):
    site = await make_site(**route)
    for _ in range(count):
        await site.async_add(crash_on_mark(site.targets))
    return site


async def test_a_request_that_crashed_three_targets_is_sent_to_no_more(make_site):
    """A caller repeats a request that ends each target: ten repeats ended twenty."""
    site = await make_crashing_site(make_site, 8)
    for _ in range(6):
        await ask(site, MARK)
    assert site.runs == 3
    assert (await ask(site, b"other")).status == 200
