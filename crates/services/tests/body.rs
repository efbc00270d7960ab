//! Tests of response bodies under each framing and each end of the connection.

use std::{net::SocketAddr, time::Duration};

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use kernel::Kernel;
use services::{http, pool::Pool};
use socket2::SockRef;

const MAX_BYTES: usize = 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which what was written before a reset arrives.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

const LENGTH: &str = "Content-Length: 6\r\n\r\n";
const CHUNKS: &str = "Transfer-Encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "\r\n";
const EVENTS: &str = "Content-Type: text/event-stream\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Starts a server that answers each request with `written` and ends the connection.
async fn start_server(kernel: &Kernel, written: String, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let clock = kernel.clock.clone();
    kernel.spawn_detached(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_head(&mut stream).await;
            stream.write_all(written.as_bytes()).await.unwrap();
            if end == End::Reset {
                clock.sleep(DELIVERY_TIME).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    address
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await.unwrap();
        head.push(byte[0]);
    }
}

/// Returns the bodies that a single exchange and a pooled one read; `None` for an error.
fn bodies(framing: &str, body: &str, end: End) -> [Option<String>; 2] {
    bodies_of("200 OK", framing, body, end)
}

/// Returns the same for a response with this status.
fn bodies_of(status: &str, framing: &str, body: &str, end: End) -> [Option<String>; 2] {
    let written = format!("HTTP/1.1 {status}\r\n{framing}{body}");
    kernel::run(1, |kernel| async move {
        let address = start_server(&kernel, written, end).await;

        let single = http::fetch(&kernel, address, http::get("/"), TIMEOUT).await;
        let pooled = Pool::new(&kernel).fetch(address, http::get("/"), TIMEOUT, MAX_BYTES).await;

        [single, pooled].map(|fetched| {
            fetched.ok().map(|response| String::from_utf8(response.into_body().into()).unwrap())
        })
    })
}

#[test]
fn returns_whole_body_under_each_framing() {
    let whole = [Some("abcdef".to_owned()), Some("abcdef".to_owned())];

    assert_eq!(bodies(LENGTH, "abcdef", End::Close), whole);
    assert_eq!(bodies(CHUNKS, "6\r\nabcdef\r\n0\r\n\r\n", End::Close), whole);
    assert_eq!(bodies(UNTIL_CLOSE, "abcdef", End::Close), whole);
}

#[test]
fn reports_broken_off_body_under_each_framing() {
    for end in [End::Close, End::Reset] {
        assert_eq!(bodies(LENGTH, "abc", end), [None, None], "{end:?}");
        assert_eq!(bodies(CHUNKS, "6\r\nabc", end), [None, None], "{end:?}");
        assert_eq!(bodies(CHUNKS, "6\r\nabcdef\r\n", end), [None, None], "{end:?}");
    }
    assert_eq!(bodies(UNTIL_CLOSE, "abc", End::Reset), [None, None]);
}

#[test]
fn reports_connection_that_ends_before_the_head() {
    for end in [End::Close, End::Reset] {
        assert_eq!(bodies("Content-Le", "", end), [None, None], "{end:?}");
    }
}

// Guards against an event stream that is taken for whole, though it was broken off.
#[test]
fn reports_event_stream_that_ends_inside_an_event() {
    let (length, chunks) = (format!("{EVENTS}{LENGTH}"), format!("{EVENTS}{CHUNKS}"));
    let until_close = format!("{EVENTS}{UNTIL_CLOSE}");

    assert_eq!(bodies(&length, "data:a", End::Close), [None, None]);
    assert_eq!(bodies(&chunks, "6\r\ndata:a\r\n0\r\n\r\n", End::Close), [None, None]);
    assert_eq!(bodies(&until_close, "data:a\n\nid", End::Close), [None, None]);
    assert_eq!(bodies(&until_close, "", End::Close), [None, None]);
}

#[test]
fn returns_whole_event_stream_under_each_framing() {
    let (length, chunks) = (format!("{EVENTS}{LENGTH}"), format!("{EVENTS}{CHUNKS}"));
    let until_close = format!("{EVENTS}{UNTIL_CLOSE}");
    let whole = [Some("id:1\n\n".to_owned()), Some("id:1\n\n".to_owned())];

    assert_eq!(bodies(&length, "id:1\n\n", End::Close), whole);
    assert_eq!(bodies(&chunks, "6\r\nid:1\n\n\r\n0\r\n\r\n", End::Close), whole);
    assert_eq!(bodies(&until_close, "id:1\n\n", End::Close), whole);
}

// Guards against a failure that counts as broken off, since its type announces events and its text is none.
#[test]
fn returns_whole_failure_whatever_its_type() {
    let status = "500 Internal Server Error";
    let framing = format!("{EVENTS}{LENGTH}");

    // A single exchange takes no failure for an answer.
    let [_, whole] = bodies_of(status, &framing, "failed", End::Close);
    let [_, broken_off] = bodies_of(status, &framing, "fail", End::Close);

    assert_eq!((whole, broken_off), (Some("failed".to_owned()), None));
}
