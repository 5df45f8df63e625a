//! The heap stays intact: nothing writes to memory that has been freed.
mod common;

use common::cores::on_one_core;
use heronslip::coop;
use heronslip::limits::Limits;
use heronslip::net;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Mutex, PoisonError};
use std::time::Duration;

/// Content of a freed block.
const FREED: u8 = 0xDD;
/// Freed blocks that are held back, and the largest of them in bytes.
const HELD_BLOCKS: usize = 4_096;
const MAX_HELD_SIZE: usize = 256;

/// An allocator that holds small freed blocks back for a while and counts those that are written to meanwhile.
struct CheckingAllocator {
    held: Mutex<Held>,
    damaged: AtomicUsize,
}

/// A ring of freed blocks: their addresses and layouts.
struct Held {
    blocks: [Option<(usize, Layout)>; HELD_BLOCKS],
    next: usize,
}

impl CheckingAllocator {
    /// Holds a freed block back, and returns the one that has been held longest.
    fn exchange(&self, block: (usize, Layout)) -> Option<(usize, Layout)> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = held.next;
        held.next = (slot + 1) % HELD_BLOCKS;
        held.blocks[slot].replace(block)
    }
}

// SAFETY: blocks come from the system allocator and go back to it once, with their own layouts.
unsafe impl GlobalAlloc for CheckingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        if layout.size() > MAX_HELD_SIZE {
            return System.dealloc(block, layout);
        }
        block.write_bytes(FREED, layout.size());
        let Some((oldest, layout)) = self.exchange((block as usize, layout)) else { return };
        let oldest = oldest as *mut u8;
        if (0..layout.size()).any(|at| oldest.add(at).read_volatile() != FREED) {
            self.damaged.fetch_add(1, Ordering::Relaxed);
        }
        System.dealloc(oldest, layout);
    }
}

#[global_allocator]
static ALLOCATOR: CheckingAllocator = CheckingAllocator {
    held: Mutex::new(Held { blocks: [None; HELD_BLOCKS], next: 0 }),
    damaged: AtomicUsize::new(0),
};

/// Guards against a heap corrupted by `may`: a timer of a length not used before is freed before its last use.
#[test]
fn pauses_of_many_lengths_do_not_write_to_freed_memory() {
    const COROUTINES: u64 = 4;
    const PAUSES: u64 = 10_000;
    const MAX_PAUSE_NS: u64 = 20_000;
    let limits = Limits::new(192, 256, &heronslip_policy::Settings::default());
    net::configure_scheduler(&limits);
    let (done, finished) = mpsc::channel();
    on_one_core(|| {
        (0..COROUTINES).for_each(|coroutine| {
            let done = done.clone();
            let pauses = move || {
                for pause in 0..PAUSES {
                    // Every length below the maximum once, in an order without a pattern.
                    let length = (pause * COROUTINES + coroutine) * 7_919 % MAX_PAUSE_NS;
                    coop::pause(Duration::from_nanos(length));
                }
                done.send(()).expect("the test waits");
            };
            net::spawn(limits.coroutine_stack, pauses).expect("a coroutine");
        })
    });
    for _ in 0..COROUTINES {
        finished.recv().expect("all coroutines end");
    }
    assert_eq!(ALLOCATOR.damaged.load(Ordering::Relaxed), 0, "freed blocks were written to");
}
