//! Timed waits of coroutines.
use heronslip::limits::Limits;
use heronslip::net;
use heronslip::queue::{queue, ReceiveError};
use heronslip::timer;
use std::sync::mpsc;
use std::thread::ThreadId;
use std::time::{Duration, Instant};

/// A wait that ends by itself.
const SHORT: Duration = Duration::from_millis(20);
/// A wait that something else ends.
const FOREVER: Duration = Duration::from_secs(3_600);
/// How long tests wait for what they expect.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs this in a coroutine, and returns what it returns.
fn in_coroutine<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> T {
    let limits = Limits::new(192, 256, &heronslip_policy::Settings::default());
    net::configure_scheduler(&limits);
    let (result, ended) = mpsc::channel();
    let run = move || result.send(run()).expect("the test waits");
    net::spawn(limits.coroutine_stack, run).expect("a coroutine");
    ended.recv_timeout(TIMEOUT).expect("the coroutine ends")
}

fn this_thread() -> ThreadId {
    std::thread::current().id()
}

/// Guards against a coroutine that runs beside the scheduler, and uses its sockets and queues unsynchronized.
#[test]
fn a_coroutine_goes_on_on_its_thread_after_timed_waits() {
    let (before, after_sleep, after_receive) = in_coroutine(|| {
        let before = this_thread();
        timer::sleep(SHORT);
        let after_sleep = this_thread();
        let (_sender, receiver) = queue::<()>();
        assert_eq!(receiver.receive_within(SHORT), Err(ReceiveError::TimedOut));
        (before, after_sleep, this_thread())
    });
    assert_eq!((after_sleep, after_receive), (before, before));
}

#[test]
fn a_sleep_lasts_at_least_as_long_as_asked_for() {
    let elapsed = in_coroutine(|| {
        let start = Instant::now();
        timer::sleep(SHORT);
        start.elapsed()
    });
    assert!(elapsed >= SHORT, "{elapsed:?}");
}

#[test]
fn an_earlier_deadline_is_kept_after_a_later_one_was_set() {
    in_coroutine(|| {
        let _later = timer::Sleeper::until(Instant::now() + FOREVER);
        timer::sleep(SHORT);
    });
}

#[test]
fn an_item_ends_the_wait_for_it() {
    let (sender, receiver) = queue();
    let (waiting, begun) = mpsc::channel();
    std::thread::spawn(move || {
        begun.recv().expect("the coroutine begins");
        sender.send(7);
        sender
    });
    let received = in_coroutine(move || {
        waiting.send(()).expect("the sender waits");
        receiver.receive_within(FOREVER)
    });
    assert_eq!(received, Ok(7));
}

#[test]
fn each_item_goes_to_one_receiver_and_then_the_queue_is_closed() {
    const ITEMS: usize = 300;
    let (sender, receiver) = queue();
    let receivers: Vec<_> = (0..3)
        .map(|_| {
            let receiver = receiver.clone();
            std::thread::spawn(move || {
                std::iter::from_fn(|| receiver.receive_within(TIMEOUT).ok()).collect::<Vec<usize>>()
            })
        })
        .collect();
    (0..ITEMS).for_each(|item| sender.send(item));
    drop(sender);
    let mut received: Vec<usize> = receivers.into_iter().flat_map(|r| r.join().expect("no panic")).collect();
    received.sort_unstable();
    assert!(received.into_iter().eq(0..ITEMS));
    assert_eq!(receiver.receive_within(FOREVER), Err(ReceiveError::Closed));
}
