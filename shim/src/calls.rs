//! The C library functions that this library interposes: each injects a fault or calls the real function.
use heronslip_shim_control::{Control, SystemCall, CONTROL_BYTES, CONTROL_VARIABLE};
use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::{CStr, CString};
use std::sync::OnceLock;

const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// The mapped control file, if the environment names one.
fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<&'static Control>> = OnceLock::new();
    *CONTROL.get_or_init(map_control_file)
}

fn map_control_file() -> Option<&'static Control> {
    let variable = CString::new(CONTROL_VARIABLE).ok()?;
    // SAFETY: getenv's result is valid until the environment is changed, which a front end never does.
    let path = unsafe { libc::getenv(variable.as_ptr()) };
    if path.is_null() {
        return None;
    }
    // SAFETY: `path` is NUL-terminated; the mapping lasts until the process exits, and `Control` has only
    // atomic fields.
    unsafe {
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let address = libc::mmap(std::ptr::null_mut(), CONTROL_BYTES, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (address != libc::MAP_FAILED).then(|| &*(address as *const Control))
    }
}

/// The address of the real function of this name, looked up once.
fn real_address(name: &'static CStr, cache: &OnceLock<usize>) -> usize {
    // SAFETY: `name` is NUL-terminated; RTLD_NEXT searches the libraries loaded after this one.
    *cache.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize)
}

macro_rules! real {
    ($name:literal as $kind:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        // SAFETY: the C library's function of this name has this type.
        unsafe { std::mem::transmute::<usize, $kind>(real_address($name, &ADDRESS)) }
    }};
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: __errno_location points to the errno of the calling thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn errno() -> c_int {
    // SAFETY: __errno_location points to the errno of the calling thread.
    unsafe { *libc::__errno_location() }
}

/// One of these errors, drawn at random, if this call is to fail.
fn injected_error(call: SystemCall, errors: &[c_int]) -> Option<c_int> {
    let control = control().filter(|c| c.should_fail(call))?;
    errors.get(control.next_random() as usize % errors.len()).copied()
}

/// How many of the requested bytes a call may transfer: all, or fewer if a fault is injected. `None` if the
/// injected fault is an interruption.
fn transfer_length(call: SystemCall, requested: size_t) -> Option<size_t> {
    let Some(control) = control().filter(|c| requested > 1 && c.should_fail(call)) else {
        return Some(requested);
    };
    match control.next_random() % 4 {
        0 => None,
        1 => Some(1),
        _ => Some(1 + control.next_random() as size_t % (requested - 1)),
    }
}

/// The result of a read or write, in which ECONNRESET may be replaced by another error.
fn replace_reset_error(result: ssize_t) -> ssize_t {
    if result < 0 && errno() == libc::ECONNRESET {
        if let Some(error) = injected_error(SystemCall::Broken, &[libc::ETIMEDOUT, libc::EHOSTUNREACH]) {
            return fail(error) as ssize_t;
        }
    }
    result
}

/// Reads a clock; adds the configured offset to the wall clock.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real = real!(c"clock_gettime" as unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    let result = real(clock, time);
    if result == 0 && (clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE) {
        let offset = control().map_or(0, Control::wall_clock_offset_ns);
        let nanos = (*time).tv_sec * NANOS_PER_SECOND + (*time).tv_nsec + offset;
        (*time).tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
        (*time).tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}

/// Accepts a connection, or fails with a temporary error.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    const ERRORS: [c_int; 6] =
        [libc::ECONNABORTED, libc::EINTR, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    if let Some(error) = injected_error(SystemCall::Accept, &ERRORS) {
        return fail(error);
    }
    type Real = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    real!(c"accept4" as Real)(socket, address, length, flags)
}

/// Creates a socket, or fails with a temporary error. Only IPv4 sockets fail.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    const ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    if domain == libc::AF_INET {
        if let Some(error) = injected_error(SystemCall::Socket, &ERRORS) {
            return fail(error);
        }
    }
    real!(c"socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// Connects, or fails at once.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    const ERRORS: [c_int; 4] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT];
    if let Some(error) = injected_error(SystemCall::Connect, &ERRORS) {
        return fail(error);
    }
    type Real = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    real!(c"connect" as Real)(socket, address, length)
}

/// Reads from a socket, possibly fewer bytes than are available.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let allowed =
        if flags & libc::MSG_PEEK == 0 { transfer_length(SystemCall::Read, length) } else { Some(length) };
    let Some(allowed) = allowed else { return fail(libc::EINTR) as ssize_t };
    type Real = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    replace_reset_error(real!(c"recv" as Real)(socket, buffer, allowed, flags))
}

/// Writes to a socket, possibly fewer bytes than were given.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let Some(allowed) = transfer_length(SystemCall::Write, length) else {
        return fail(libc::EINTR) as ssize_t;
    };
    type Real = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    replace_reset_error(real!(c"send" as Real)(socket, buffer, allowed, flags))
}

/// Waits for events, or fails as if interrupted by a signal.
///
/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int, events: *mut epoll_event, capacity: c_int, timeout: c_int,
) -> c_int {
    if injected_error(SystemCall::Wait, &[libc::EINTR]).is_some() {
        return fail(libc::EINTR);
    }
    type Real = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    real!(c"epoll_wait" as Real)(epoll, events, capacity, timeout)
}
