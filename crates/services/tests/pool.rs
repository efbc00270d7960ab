//! Tests of the pool of idle connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_net::TcpListener;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use http_body_util::BodyExt as _;
use kernel::{Kernel, memory::Budget};
use services::{http, pool::Pool};

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_IDLE: Duration = Duration::from_millis(100);
/// Limit of a response, in bytes.
const MAX_BYTES: usize = 64 * 1024;
/// Memory for all responses, in bytes.
const CAPACITY: usize = 4 * 1024 * 1024;
const CALLERS: usize = 60;
/// Idle timeout that the server announces.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Starts a server that answers the requests of its connections.
async fn start_server(kernel: &Kernel) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let spawner = kernel.clone();
    kernel.spawn_detached(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawner.spawn_detached(async move {
                let mut request = [0; 1024];
                while stream.read(&mut request).await.is_ok_and(|length| 0 < length) {
                    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(response).await.unwrap();
                }
            });
        }
    });
    address
}

// Guards against a connection that is reused after it was idle for longer than its user allows: a
// request could be lost on it.
#[test]
fn takes_no_connection_that_was_idle_for_too_long() {
    kernel::run(1, |kernel| async move {
        let address = start_server(&kernel).await;
        let pool = Pool::new(&kernel);
        let mut connection = pool.connect(address, TIMEOUT).await.unwrap();
        let response = connection.send(http::get("/")).await.unwrap();
        response.into_body().collect().await.unwrap();
        pool.release(connection, Some(KEEP_ALIVE));

        kernel.clock.sleep(MAX_IDLE / 4).await;
        let recent = pool.take(address, MAX_IDLE);
        let is_recent_taken = recent.is_some();
        pool.release(recent.unwrap(), Some(KEEP_ALIVE));
        kernel.clock.sleep(MAX_IDLE * 2).await;

        assert!(is_recent_taken);
        assert!(pool.take(address, MAX_IDLE).is_none());
    });
}

/// Starts a server whose responses have no end. Their bodies are `text` again and again.
async fn start_endless_server(kernel: &Kernel, text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let spawner = kernel.clone();
    kernel.spawn_detached(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawner.spawn_detached(async move {
                let _request = stream.read(&mut [0; 1024]).await;
                let head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";
                let mut written = stream.write_all(head).await;
                while written.is_ok() {
                    written = stream.write_all(text.as_bytes()).await;
                }
            });
        }
    });
    address
}

// Guards against a server whose answers about its state have no end: each of them was read up to 64 MB.
#[test]
fn reads_a_response_up_to_its_limit() {
    kernel::run(1, |kernel| async move {
        let address = start_endless_server(&kernel, "{\"stage\":").await;
        let pool = Pool::new(&kernel);
        let mut connection = pool.connect(address, TIMEOUT).await.unwrap();

        let pooled = pool.fetch(address, http::get("/"), TIMEOUT, MAX_BYTES).await;
        let single = connection.fetch(http::get("/"), kernel.memory.buffer(MAX_BYTES)).await;

        assert!(pooled.is_err() && single.is_err());
        assert!(kernel.memory.peak() <= 2 * MAX_BYTES, "{:?}", kernel.memory);
        assert_eq!(kernel.memory.used(), 0);
    });
}

// Guards against many endless responses at once, each within its limit.
#[test]
fn reads_all_responses_together_up_to_the_budget() {
    kernel::run(2, |mut kernel| async move {
        kernel.memory = Budget::new(CAPACITY);
        let address = start_endless_server(&kernel, "{\"stage\":").await;
        let pool = Pool::new(&kernel);
        let readers = (0..CALLERS).map(|_| {
            let pool = pool.clone();
            kernel.spawn(async move {
                pool.fetch(address, http::get("/"), TIMEOUT, CAPACITY).await.is_err()
            })
        });

        let readers: Vec<_> = readers.collect();
        for reader in readers {
            assert!(reader.await, "a response without an end was read as a whole one");
        }

        assert!(kernel.memory.peak() <= CAPACITY, "{:?}", kernel.memory);
        assert_eq!(kernel.memory.used(), 0);
    });
}

/// Starts a server that writes `response` to each request.
async fn start_fixed_server(kernel: &Kernel, response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (spawner, response) = (kernel.clone(), Arc::new(response));
    kernel.spawn_detached(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = Arc::clone(&response);
            spawner.spawn_detached(async move {
                let mut request = [0; 1024];
                while stream.read(&mut request).await.is_ok_and(|length| 0 < length) {
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

// Guards against bytes that are no response and that a client of any service gets as one.
#[test]
fn returns_no_response_without_a_final_status() {
    for status in [101, 600, 777, 999] {
        kernel::run(1, |kernel| async move {
            let response = format!("HTTP/1.1 {status} None\r\nContent-Length: 3\r\n\r\nodd");
            let address = start_fixed_server(&kernel, response).await;
            let pool = Pool::new(&kernel);

            let pooled = pool.fetch(address, http::get("/"), TIMEOUT, MAX_BYTES).await;
            let single = http::send(&kernel, address, http::get("/")).await;

            for error in [pooled.map(|_| ()).unwrap_err(), single.map(|_| ()).unwrap_err()] {
                assert!(matches!(error, http::Error::Unreadable { .. }), "{status}: {error}");
                assert!(!error.is_without_effect(), "{status}");
            }
        });
    }
}
