//! Tests of requests whose connection breaks before the end of the body.

use std::{net::SocketAddr, time::Duration};

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use kernel::{Kernel, drain::Drain};
use services::{http, log::Log};

const TIMEOUT: Duration = Duration::from_secs(5);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Sends the start of a POST request and closes the sending side. Returns when the service has
/// ended the connection, and thus handled the request.
async fn send_half(kernel: &Kernel, address: SocketAddr, path: &str) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(b"half").await.unwrap();
    stream.close().await.unwrap();
    let mut response = Vec::new();
    let ended = kernel.clock.timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    let _may_be_reset = ended.unwrap();
}

// Guards against an empty record in place of one whose append broke off.
#[test]
fn log_appends_nothing_of_a_broken_request() {
    kernel::run(2, |kernel| async move {
        let (listener, address) = listen().await;
        let service = standins::log::serve(kernel.clone(), listener, Drain::default(), TIMEOUT);
        kernel.spawn_detached(service);

        send_half(&kernel, address, "/streams/s").await;

        let log = Log::over_http(&kernel, address, TIMEOUT);
        assert_eq!((log.read)("s", 0).await.unwrap().records, []);
    });
}

// Guards against an order that takes effect though its request broke off.
#[test]
fn service_executes_nothing_of_a_broken_request() {
    kernel::run(2, |kernel| async move {
        let (listener, address) = listen().await;
        let service = standins::service::serve(kernel.clone(), listener, Drain::default());
        kernel.spawn_detached(service);

        send_half(&kernel, address, "/orders").await;

        let journal = http::fetch(&kernel, address, http::get("/journal"), TIMEOUT).await.unwrap();
        assert_eq!(&journal.body()[..], b"[]");
    });
}
