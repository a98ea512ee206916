"""Fixtures for the tests that run real processes."""

from pathlib import Path

import pytest

from tarragonward_standins.observe import async_wait_engines
from tarragonward_standins.platform_site import PlatformSite
from tarragonward_standins.site import Site, SitePlan


@pytest.fixture
async def make_site(tmp_path):
    sites = []

    async def async_make(plan=None):
        site = Site(tmp_path / f"site-{len(sites)}", plan or SitePlan())
        sites.append(site)
        await site.async_setup()
        await async_wait_engines(site)
        return site

    yield async_make
    for site in sites:
        await site.async_unload()


@pytest.fixture
async def make_platform_site(tmp_path):
    """Return a function that starts a deployment of the platform's stand-in."""
    sites = []
    template = Path(__file__).parents[1] / "deploy" / "settings.toml"

    async def async_make(plan):
        site = PlatformSite(tmp_path, plan, template)
        sites.append(site)
        await site.async_setup()
        return site

    yield async_make
    for site in sites:
        await site.async_unload()
