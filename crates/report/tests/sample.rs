//! Fetching of metrics pages.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
};

use report::sample;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// Starts a server that answers one request with `page` and closes the connection.
fn start_server(page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _request = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all(format!("{HEAD}{page}").as_bytes()).unwrap();
    });
    address
}

fn is_sampled(page: &'static str) -> bool {
    let address = start_server(page);
    kernel::run(1, |kernel| async move { sample::fetch(&kernel, address, &[]).await.is_some() })
}

// Guards against a sample with a cut number: a page without length and chunks may have been broken
// off anywhere.
#[test]
fn drops_page_that_ends_inside_a_line() {
    assert!(is_sampled("chivelatch_sends_total 1205\n"));
    assert!(!is_sampled("chivelatch_sends_total 12"));
}
