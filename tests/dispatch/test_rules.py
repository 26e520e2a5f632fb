"""The rules on random event scripts, asserted by a checker that uses nothing of the
dispatcher but its events and actions.

The sources of the tests with `derandomize` choose their examples: hypothesis takes its
seed from the text of the function, its name included.
"""

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from rainfall.dispatch import Dispatcher
from tests.support.event_scripts import Script, settings


def play(seed: int, rounds: int = 900, **changes: object) -> Script:
    script_settings = settings(**changes)
    script = Script(Dispatcher(script_settings, seed, 0), script_settings, seed)
    script.run(rounds)
    return script


@profile(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_rules_hold_on_random_scripts(seed: int) -> None:
    script = play(seed)
    assert script.sent and len(script.over) == len(script.asked)


@profile(derandomize=True, max_examples=15, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([1, 2, 40]), st.sampled_from([1, 3]))
def test_rules_hold_with_few_or_many_of_everything(
    seed: int, slots: int, attempts: int
) -> None:
    play(
        seed,
        500,
        max_in_flight=slots,
        max_attempts=attempts,
        tenants=(),
        forwarder_count=1,
        destination_kinds=(),
        send_retry_after=False,
    )


def test_random_scripts_reach_every_final_answer() -> None:
    scripts = [play(seed) for seed in range(4)]
    assert sum(script.delivered for script in scripts) > 50
    assert sum(script.refused for script in scripts) > 50
    assert sum(script.failed for script in scripts) > 5
