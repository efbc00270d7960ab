//! Tests of the completeness of answers, as the harness's callers see it.

use std::{net::SocketAddr, time::Duration};

use async_net::TcpListener;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use kernel::Kernel;
use scenario::calls::{self, Call};

const BODY: &str = "{\"in_stock\":12}";

/// Starts a server that answers each request with `written` and closes the connection.
async fn start_server(kernel: &Kernel, written: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    kernel.spawn_detached(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).await.unwrap();
                head.push(byte[0]);
            }
            stream.write_all(written.as_bytes()).await.unwrap();
        }
    });
    address
}

/// Returns whether a lookup that gets `written` counts as complete.
fn is_complete(written: &str) -> bool {
    let written = written.to_owned();
    kernel::run(1, |kernel| async move {
        let address = start_server(&kernel, written).await;
        let call = Call::Lookup { route: "stock".to_owned(), item: "1".to_owned() };
        let sent = calls::send(&kernel, address, "", &call);
        kernel.clock.timeout(Duration::from_secs(5), sent).await.unwrap().answer.is_complete
    })
}

// Guards against a harness that misses a broken-off answer: entry instances state the end of each.
#[test]
fn counts_only_answers_with_a_stated_end_as_complete() {
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len());
    let short = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len() + 1);
    let until_close = format!("HTTP/1.1 200 OK\r\n\r\n{BODY}");

    assert!(is_complete(&length));
    assert!(!is_complete(&short));
    assert!(!is_complete(&until_close));
}
