"""Tests of the order of changes across restorations of the source."""

import pytest

from tarragonward_gateway import (
    combine_revision,
    format_revision,
    get_epoch,
    get_number,
)


def test_later_era_is_newer_whatever_the_numbers_are():
    assert combine_revision(1, 900) < combine_revision(2, 3) < combine_revision(2, 4)


def test_source_without_eras_keeps_its_numbers():
    assert combine_revision(0, 27) == 27


def test_era_and_number_are_found_again():
    revision = combine_revision(3, 41)
    assert (get_epoch(revision), get_number(revision)) == (3, 41)
    assert format_revision(revision) == "3:41"


@pytest.mark.parametrize(("epoch", "number"), [(-1, 1), (1, -1), (1, 1 << 40)])
def test_values_out_of_range_are_refused(epoch, number):
    with pytest.raises(ValueError):
        combine_revision(epoch, number)
