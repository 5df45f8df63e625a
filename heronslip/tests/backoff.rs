//! Waits between calls of the board.
use heronslip::discovery::backoff::Backoff;
use std::time::Duration;

const FIRST: Duration = Duration::from_millis(100);
const MOST: Duration = Duration::from_millis(1_000);

#[test]
fn waits_grow_to_their_bound_and_begin_anew() {
    let spans = [100, 200, 400, 800, 1_000, 1_000].map(Duration::from_millis);
    for seed in 0..200 {
        let mut backoff = Backoff::new(FIRST, MOST, seed);
        for span in spans {
            assert!(backoff.next_delay() <= span);
        }
        backoff.reset();
        assert!(backoff.next_delay() <= FIRST);
    }
}

/// Front ends that lost the board at the same time come back spread over the whole span.
#[test]
fn front_ends_do_not_call_in_step() {
    let mut tenths = [0; 10];
    for seed in 0..520 {
        let mut backoff = Backoff::new(FIRST, MOST, seed);
        let wait = (0..8).map(|_| backoff.next_delay()).last().expect("a wait");
        tenths[(wait.as_millis() / 101) as usize] += 1;
    }
    assert!(tenths.iter().all(|&n| (20..=85).contains(&n)), "{tenths:?}");
}
