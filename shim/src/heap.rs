//! A check of the heap: the process ends if it writes to a small block after having freed it.
use libc::c_void;
use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, AtomicUsize, Ordering};

/// Content of a freed block.
const FREED: u8 = 0xDD;
/// Freed blocks that are held back, and the largest of them in bytes.
const HELD_BLOCKS: usize = 1_024;
const MAX_HELD_SIZE: usize = 256;

/// A ring of freed blocks.
static HELD: [AtomicPtr<u8>; HELD_BLOCKS] = [const { AtomicPtr::new(null_mut()) }; HELD_BLOCKS];
static NEXT: AtomicUsize = AtomicUsize::new(0);

extern "C" {
    /// glibc's own `free`.
    fn __libc_free(block: *mut c_void);
}

/// Frees a block, a small one only after [`HELD_BLOCKS`] others.
#[no_mangle]
pub unsafe extern "C" fn free(block: *mut c_void) {
    let size = libc::malloc_usable_size(block);
    if size == 0 || size > MAX_HELD_SIZE {
        return __libc_free(block);
    }
    block.write_bytes(FREED, size);
    let slot = NEXT.fetch_add(1, Ordering::Relaxed) % HELD_BLOCKS;
    let oldest = HELD[slot].swap(block.cast(), Ordering::AcqRel);
    if !oldest.is_null() {
        end_if_written_to(oldest);
        __libc_free(oldest.cast());
    }
}

unsafe fn end_if_written_to(block: *mut u8) {
    let size = libc::malloc_usable_size(block.cast());
    let unchanged = (0..size).all(|at| block.add(at).read_volatile() == FREED);
    if !unchanged {
        const MESSAGE: &[u8] = b"heap check: a block was written to after it had been freed\n";
        libc::write(libc::STDERR_FILENO, MESSAGE.as_ptr().cast(), MESSAGE.len());
        libc::abort();
    }
}
