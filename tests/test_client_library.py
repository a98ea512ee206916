"""Tests with an unmodified OpenAI client library."""

import openai
import pytest

from tarragonward_core import ResultCode
from tarragonward_standins.answers import expect_answer
from tarragonward_standins.site import SitePlan

PLAN = SitePlan(failure_domains=("north",), hosts_per_domain=1, engines_per_domain=1)
PROMPT = "Rebalance aisle 7"
CHAT_PROMPT = f"user: {PROMPT}\nassistant:"


@pytest.fixture
async def client(make_site):
    site = await make_site(PLAN)
    host = next(iter(site.hosts.values()))
    async with openai.AsyncOpenAI(
        base_url=f"http://{host.callers}/v1",
        api_key=site.tokens["shelfwise"],
        max_retries=0,
    ) as client:
        yield client


async def test_models_are_listed_and_shown(client):
    names = [model.id async for model in client.models.list()]
    assert names == [PLAN.model]
    assert (await client.models.retrieve(PLAN.model)).id == PLAN.model


async def test_completions_buffered_and_streamed(client):
    expected = expect_answer(PROMPT, 20)
    arguments = {"model": PLAN.model, "prompt": PROMPT, "max_tokens": 20}
    buffered = await client.completions.create(**arguments)
    assert buffered.choices[0].text == expected.text
    assert buffered.choices[0].finish_reason == expected.finish_reason
    assert buffered.usage.completion_tokens == expected.tokens
    stream = await client.completions.create(**arguments, stream=True)
    chunks = [chunk async for chunk in stream]
    assert "".join(chunk.choices[0].text for chunk in chunks) == expected.text
    assert chunks[-1].choices[0].finish_reason == expected.finish_reason


async def test_chat_buffered_and_streamed_with_usage(client):
    expected = expect_answer(CHAT_PROMPT, 20)
    arguments = {
        "model": PLAN.model,
        "messages": [{"role": "user", "content": [{"type": "text", "text": PROMPT}]}],
        "max_completion_tokens": 20,
        "temperature": 0,
    }
    buffered = await client.chat.completions.create(**arguments)
    assert buffered.choices[0].message.content == expected.text
    assert buffered.usage.completion_tokens == expected.tokens
    stream = await client.chat.completions.create(
        **arguments, stream=True, stream_options={"include_usage": True}
    )
    chunks = [chunk async for chunk in stream]
    texts = [c.choices[0].delta.content or "" for c in chunks if c.choices]
    assert "".join(texts) == expected.text
    assert chunks[-1].usage == buffered.usage


async def test_errors_raise_library_exceptions_with_the_result_code(client):
    with pytest.raises(openai.NotFoundError) as caught:
        await client.completions.create(model="nothing", prompt="a")
    assert caught.value.code == str(ResultCode.UNKNOWN_MODEL.number)
    assert caught.value.type == ResultCode.UNKNOWN_MODEL.name
    with pytest.raises(openai.AuthenticationError):
        await client.with_options(api_key="wrong").models.list()
