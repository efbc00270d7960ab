//! Tests of the pool of idle connections.

use std::{net::SocketAddr, time::Duration};

use async_net::TcpListener;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use http_body_util::BodyExt as _;
use kernel::Kernel;
use services::{http, pool::Pool};

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_IDLE: Duration = Duration::from_millis(100);
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
