use super::*;

/// How often each bad client sends its request, each time on a new connection.
const TRIES: usize = 10;

/// Bad clients send requests whose figures can't be read or are out of range.
pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let workers = start_workers(record, 3);
    let entries: Vec<String> = workers.iter().map(|w| entry(&w.name, w.port, "large", "ready", 0)).collect();
    let board = Board::start(record, &entries);
    let mut front_end =
        FrontEnd::start(record, "n1", board.port, &board.known(), &settings(1, CLASSES, true), LIMITS);
    let clients = Clients::new(record, front_end.port);
    let functions = functions(6);
    load(&clients, 20.0, ms(4_000), &functions, 1);
    let good = "memory_mb:400;lanes:1;load_ms:500";
    let bad = [
        ("figures that can't be read", "%%%%;%%%%"),
        ("a figure that is no number", "memory_mb:400;lanes;load_ms:500"),
        ("a copy that runs no call", "memory_mb:400;lanes:0;load_ms:500"),
        ("a copy that runs one call and a half", "memory_mb:400;lanes:1.5;load_ms:500"),
    ];
    let mut served = 0;
    for (what, figures) in bad {
        for n in 0..TRIES {
            let figures = if trouble { figures } else { good };
            let function = functions[n % functions.len()] / 4 * 4 + 3; // called as `route-lookup`
            let answer = send(front_end.port, function, figures);
            let is_served = answer.as_ref().is_some_and(|a| a.status == 200);
            record.line(format!(
                "bad client: {what}, X-More {figures}: {}",
                answer.map_or("no answer".to_owned(), |a| format!("status {}", a.status))
            ));
            served += usize::from(is_served);
        }
    }
    clients.wait_for_all();
    check_service(&mut front_end, &clients);
    let runs: u32 = workers.iter().flat_map(|w| lock(&w.runs).values().copied().collect::<Vec<_>>()).sum();
    let sent = bad.len() * TRIES;
    let text = format!(
        "{served} of {sent} requests {} were served; workers ran {runs} calls, usual clients sent {}",
        if trouble { "of bad clients" } else { "with good figures" },
        lock(&clients.seen).len()
    );
    Verdict { held: !trouble || served == 0, text }
}

/// Sends one request on a new connection.
fn send(port: u16, function: u64, figures: &str) -> Option<Answer> {
    let (id, key) = (format!("{:016x}", random()), format!("{function:016x}"));
    let parameters = [
        ("SCRIPT_NAME", "/v1/route-lookup"),
        ("HTTP_REQ_ID", id.as_str()),
        ("HTTP_REQ_WAIT_MS", "3000"),
        ("HTTP_REQ_KEY", key.as_str()),
        ("HTTP_X_MORE", figures),
    ];
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.write_all(&encode_request(1, &parameters, b"x")).ok()?;
    read_answers(&mut stream, &mut Vec::new(), Instant::now() + ms(3_600)).ok()?.pop().map(|a| a.1)
}
