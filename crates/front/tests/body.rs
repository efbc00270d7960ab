//! Tests of the ends of streamed responses, as callers see them.

use std::{net::SocketAddr, time::Duration};

use async_net::TcpStream;
use bytes::Bytes;
use front::{
    body::{self, Body},
    server,
};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use hyper::{Response, StatusCode};
use kernel::{Kernel, drain::Drain};

const TIMEOUT: Duration = Duration::from_secs(5);
const LAST_CHUNK: &str = "0\r\n\r\n";

/// What a caller received, and whether its connection ended in an orderly way.
struct Received {
    text: String,
    has_orderly_end: bool,
}

/// Serves one response to a request of an HTTP version.
fn receive(
    version: &'static str,
    respond: impl Fn(&Kernel) -> Response<Body> + Clone + Send + Sync + 'static,
) -> Received {
    kernel::run(2, |kernel| async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = server::listen(any).await.unwrap();
        let address = listener.local_addr().unwrap();
        let server_kernel = kernel.clone();
        kernel.spawn_detached(async move {
            let handler_kernel = server_kernel.clone();
            let handle = move |_| {
                let response = respond(&handler_kernel);
                async { response }
            };
            server::serve(&server_kernel, listener, &Drain::default(), handle).await;
        });
        let exchange = async {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let request = format!("GET / {version}\r\nhost: a\r\nconnection: close\r\n\r\n");
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut received = Vec::new();
            let has_orderly_end = stream.read_to_end(&mut received).await.is_ok();
            let text = String::from_utf8_lossy(&received).into_owned();
            Received { text, has_orderly_end }
        };
        kernel.clock.timeout(TIMEOUT, exchange).await.unwrap()
    })
}

// Guards against a response that looks complete because the task that sent it was dropped.
#[test]
fn response_of_dropped_sender_is_not_complete() {
    let received = receive("HTTP/1.1", |kernel| {
        let (sender, response) = body::streamed(StatusCode::OK, "text/event-stream");
        kernel.spawn_detached(async move {
            sender.send(Bytes::from("data: 1\n\n")).await.unwrap();
        });
        response
    });

    assert!(received.text.contains("data: 1\n\n"), "{}", received.text);
    assert!(!received.text.ends_with(LAST_CHUNK), "{}", received.text);
}

#[test]
fn finished_response_is_complete() {
    let respond = |kernel: &Kernel| {
        let (sender, response) = body::streamed(StatusCode::OK, "text/event-stream");
        kernel.spawn_detached(async move {
            sender.send(Bytes::from("data: 1\n\n")).await.unwrap();
            sender.finish().await;
        });
        response
    };

    let chunked = receive("HTTP/1.1", respond);
    let until_close = receive("HTTP/1.0", respond);

    assert!(chunked.text.ends_with(LAST_CHUNK), "{}", chunked.text);
    assert!(until_close.text.ends_with("data: 1\n\n"), "{}", until_close.text);
    assert!(until_close.has_orderly_end);
}

// Guards against an incomplete response to a caller that knows no chunks: the end of the
// connection is the end of its body.
#[test]
fn resets_connection_of_incomplete_response_without_chunks() {
    let received = receive("HTTP/1.0", |kernel| {
        let (sender, response) = body::streamed(StatusCode::OK, "text/event-stream");
        let clock = kernel.clock.clone();
        kernel.spawn_detached(async move {
            sender.send(Bytes::from("data: 1\n\n")).await.unwrap();
            clock.sleep(Duration::from_millis(50)).await;
            drop(sender);
        });
        response
    });

    assert!(!received.has_orderly_end, "{}", received.text);
}
