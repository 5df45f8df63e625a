//! The functions of the C library that stand before the real ones.
use heronslip_shim_control::{Call, Control, CONTROL_BYTES, CONTROL_VARIABLE};
use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::{CStr, CString};
use std::sync::OnceLock;

const NANOS: i64 = 1_000_000_000;

/// The mapped file, if the process was told of one.
fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<&'static Control>> = OnceLock::new();
    *CONTROL.get_or_init(map)
}

fn map() -> Option<&'static Control> {
    let variable = CString::new(CONTROL_VARIABLE).ok()?;
    // SAFETY: getenv's text stays while nobody changes the environment, which a front end does not.
    let path = unsafe { libc::getenv(variable.as_ptr()) };
    if path.is_null() {
        return None;
    }
    // SAFETY: `path` is a text that ends; the file is mapped for as long as the process lives and holds atomics only.
    unsafe {
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let at = libc::mmap(std::ptr::null_mut(), CONTROL_BYTES, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (at != libc::MAP_FAILED).then(|| &*(at as *const Control))
    }
}

/// The real function of this name.
fn real(name: &'static CStr, kept: &OnceLock<usize>) -> usize {
    // SAFETY: a look-up of a name in the libraries behind this one.
    *kept.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize)
}

macro_rules! real {
    ($name:literal as $kind:ty) => {{
        static KEPT: OnceLock<usize> = OnceLock::new();
        // SAFETY: the C library's own function has this type.
        unsafe { std::mem::transmute::<usize, $kind>(real($name, &KEPT)) }
    }};
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the thread's own errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn errno() -> c_int {
    // SAFETY: the thread's own errno.
    unsafe { *libc::__errno_location() }
}

/// One of these errors, if this call is to fail.
fn injected(call: Call, errors: &[c_int]) -> Option<c_int> {
    let control = control().filter(|c| c.fails(call))?;
    errors.get(control.draw() as usize % errors.len()).copied()
}

/// How many of these bytes go through: all, or a part of them if that is injected. `None`: the call is interrupted.
fn bytes(call: Call, wanted: size_t) -> Option<size_t> {
    let Some(control) = control().filter(|c| wanted > 1 && c.fails(call)) else { return Some(wanted) };
    match control.draw() % 4 {
        0 => None,
        1 => Some(1),
        _ => Some(1 + control.draw() as size_t % (wanted - 1)),
    }
}

/// What a read or write brought: a reset may show as another error.
fn ended(result: ssize_t) -> ssize_t {
    if result < 0 && errno() == libc::ECONNRESET {
        if let Some(error) = injected(Call::Broken, &[libc::ETIMEDOUT, libc::EHOSTUNREACH]) {
            return fail(error) as ssize_t;
        }
    }
    result
}

/// Reads a clock; the wall clock with the step that was set.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    let next = real!(c"clock_gettime" as unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    let result = next(clock, to);
    if result == 0 && (clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE) {
        let step = control().map_or(0, Control::wall_step);
        let nanos = (*to).tv_sec * NANOS + (*to).tv_nsec + step;
        ((*to).tv_sec, (*to).tv_nsec) = (nanos.div_euclid(NANOS), nanos.rem_euclid(NANOS));
    }
    result
}

/// Takes a connection in, or fails for a moment.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    const ERRORS: [c_int; 6] =
        [libc::ECONNABORTED, libc::EINTR, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    if let Some(error) = injected(Call::Accept, &ERRORS) {
        return fail(error);
    }
    type Real = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    real!(c"accept4" as Real)(socket, address, length, flags)
}

/// Makes a socket, or fails for a moment.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    const ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    if domain == libc::AF_INET {
        if let Some(error) = injected(Call::Socket, &ERRORS) {
            return fail(error);
        }
    }
    real!(c"socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// Connects, or fails at once.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    const ERRORS: [c_int; 4] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT];
    if let Some(error) = injected(Call::Connect, &ERRORS) {
        return fail(error);
    }
    type Real = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    real!(c"connect" as Real)(socket, address, length)
}

/// Reads from a socket, maybe less than there is.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let wanted = if flags & libc::MSG_PEEK == 0 { bytes(Call::Read, length) } else { Some(length) };
    let Some(wanted) = wanted else { return fail(libc::EINTR) as ssize_t };
    type Real = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    ended(real!(c"recv" as Real)(socket, to, wanted, flags))
}

/// Writes to a socket, maybe less than there is.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let Some(wanted) = bytes(Call::Write, length) else { return fail(libc::EINTR) as ssize_t };
    type Real = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    ended(real!(c"send" as Real)(socket, from, wanted, flags))
}

/// Waits for events, or is interrupted.
///
/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(epoll: c_int, to: *mut epoll_event, most: c_int, wait: c_int) -> c_int {
    if injected(Call::Wait, &[libc::EINTR]).is_some() {
        return fail(libc::EINTR);
    }
    type Real = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    real!(c"epoll_wait" as Real)(epoll, to, most, wait)
}
