//! Delays between connection attempts to the discovery service.
use heronslip::discovery::backoff::Backoff;
use std::time::Duration;

const INITIAL_RANGE: Duration = Duration::from_millis(100);
const MAX_RANGE: Duration = Duration::from_millis(1_000);

#[test]
fn delays_grow_to_their_bound_and_start_again_after_a_reset() {
    let ranges = [100, 200, 400, 800, 1_000, 1_000].map(Duration::from_millis);
    for seed in 0..200 {
        let mut backoff = Backoff::new(INITIAL_RANGE, MAX_RANGE, seed);
        for range in ranges {
            assert!(backoff.next_delay() <= range);
        }
        backoff.reset();
        assert!(backoff.next_delay() <= INITIAL_RANGE);
    }
}

/// Front ends that lose the discovery service at the same time reconnect spread over the whole range.
#[test]
fn front_ends_do_not_reconnect_at_the_same_time() {
    let mut tenths = [0; 10];
    for seed in 0..520 {
        let mut backoff = Backoff::new(INITIAL_RANGE, MAX_RANGE, seed);
        let delay = (0..8).map(|_| backoff.next_delay()).last().expect("a delay");
        tenths[(delay.as_millis() / 101) as usize] += 1;
    }
    assert!(tenths.iter().all(|&n| (20..=85).contains(&n)), "{tenths:?}");
}
