//! The ring buffer.
use heronslip::ring::RingBuffer;

#[test]
fn bytes_stay_in_order_when_they_wrap_around() {
    let (mut ring, mut out, mut next) = (RingBuffer::new(7), Vec::new(), 0u8);
    for step in 0..40 {
        let data: Vec<u8> = (next..next + 5).collect();
        next += ring.push(&data) as u8;
        ring.drain_into(1 + step % 6, &mut out);
    }
    let mut left = &[9u8, 9][..];
    ring.drain_into(7, &mut out);
    assert_eq!(ring.read_from(&mut left).unwrap(), 2);
    assert_eq!(out, (0..next).collect::<Vec<u8>>());
    ring.truncate(1);
    assert_eq!((ring.front(), ring.free()), (&[9u8][..], 6));
}

/// Each of hundreds of connections has two buffers: one with little content must allocate little, whatever
/// its capacity.
#[test]
fn allocation_follows_the_content() {
    let (mut ring, mut out) = (RingBuffer::new(64 * 1024), Vec::new());
    assert_eq!((ring.allocated(), ring.free()), (0, 64 * 1024));
    for _ in 0..1_000 {
        assert_eq!(ring.push(&[7; 300]), 300);
        ring.consume(300);
    }
    assert!(ring.allocated() <= 1024);
    let data: Vec<u8> = (0..70_000u32).map(|n| n as u8).collect();
    assert_eq!(ring.push(&data), 64 * 1024);
    ring.drain_into(usize::MAX, &mut out);
    assert!(out == data[..64 * 1024] && ring.allocated() <= 8 * 1024, "{}", ring.allocated());
}
