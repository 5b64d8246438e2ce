"""Which messages get memory: limits by kind, order, and when it returns."""

from peridotpost.decisions import memoryaccount

SMALL = memoryaccount.Kind.SMALL
REQUEST = memoryaccount.Kind.REQUEST
RESPONSE = memoryaccount.Kind.RESPONSE


def make_account() -> memoryaccount.MemoryAccount:
    return memoryaccount.MemoryAccount(1000, lambda grant: grant())


def test_small_messages_find_room_when_large_ones_do_not() -> None:
    account = make_account()
    assert account.take(REQUEST, 700)
    assert not account.take(REQUEST, 1)
    assert account.take(RESPONSE, 200)
    assert not account.take(RESPONSE, 1)
    assert account.take(SMALL, 100)
    assert not account.take(SMALL, 1)
    assert account.used == account.peak == 1000


def test_room_is_given_in_the_order_of_the_claims() -> None:
    """Guards against large claims that smaller ones overtake for ever."""
    account = make_account()
    granted: list[str] = []
    account.take(REQUEST, 600)
    account.wait(REQUEST, 400, lambda: granted.append('first'))
    account.wait(REQUEST, 50, lambda: granted.append('second'))
    assert not account.take(REQUEST, 50)
    account.give_back(100)
    assert granted == []
    account.give_back(500)
    assert granted == ['first', 'second']
    assert account.used == 450


def test_responses_get_room_before_requests() -> None:
    """Guards against responses that wait for what waits for them."""
    account = make_account()
    granted: list[str] = []
    account.take(RESPONSE, 900)
    account.wait(REQUEST, 100, lambda: granted.append('request'))
    account.wait(RESPONSE, 100, lambda: granted.append('response'))
    account.give_back(100)
    assert granted == ['response']
    account.give_back(300)
    assert granted == ['response', 'request']


def test_claim_that_never_fits_does_not_wait() -> None:
    account = make_account()
    assert account.wait(REQUEST, 701, lambda: None) is None
    assert account.wait(RESPONSE, 901, lambda: None) is None
    assert account.waiting_count == 0


def test_number_of_waiting_claims_is_bounded() -> None:
    """Guards against what the connections of waiting claims have read."""
    account = make_account()
    account.take(REQUEST, 700)
    for _ in range(memoryaccount.MAX_WAITING):
        assert account.wait(REQUEST, 10, lambda: None) is not None
    assert account.wait(REQUEST, 10, lambda: None) is None


def test_withdrawn_claim_lets_the_next_one_through() -> None:
    account = make_account()
    granted: list[str] = []
    account.take(REQUEST, 400)
    large = account.wait(REQUEST, 400, lambda: granted.append('large'))
    account.wait(REQUEST, 300, lambda: granted.append('next'))
    assert large is not None
    account.withdraw(large)
    assert granted == ['next']
    account.withdraw(large)
    assert account.used == 700
