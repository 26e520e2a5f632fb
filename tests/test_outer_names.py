"""Names that leave the process stay as they are, however the code is worded."""

from tests.support import outer_names


def test_every_listed_name_is_still_written_out():
    assert outer_names.missing() == []


def test_the_list_holds_every_name_that_the_code_writes_out():
    listed = set(outer_names.LIST.read_text().splitlines())
    assert [name for name in outer_names.collect() if name not in listed] == []
