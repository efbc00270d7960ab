//! Tests of TLS connections of callers.

use std::{fs, io::ErrorKind, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use futures_rustls::TlsConnector;
use hyper::{Response, StatusCode};
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::{
    ClientConfig, RootCertStore,
    pki_types::{CertificateDer, ServerName},
};

use front::{
    body::{self, Body},
    server,
    tls::{self, Files},
};
use kernel::drain::Drain;

const TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n";

/// Self-signed certificate for `localhost`; its files are removed on drop.
struct Fixture {
    folder: PathBuf,
    files: Files,
    certificate: CertificateDer<'static>,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let folder = std::env::temp_dir().join(format!("chivelatch-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder can be created");
        let generated = generate_simple_self_signed(vec!["localhost".to_owned()]);
        let CertifiedKey { cert, signing_key } = generated.expect("a certificate can be generated");
        let files = Files { certificate: folder.join("cert.pem"), key: folder.join("key.pem") };
        fs::write(&files.certificate, cert.pem()).expect("the folder can be written");
        fs::write(&files.key, signing_key.serialize_pem()).expect("the folder can be written");
        Fixture { folder, files, certificate: cert.der().clone() }
    }

    fn connector(&self) -> TlsConnector {
        let mut roots = RootCertStore::empty();
        roots.add(self.certificate.clone()).expect("the certificate is valid");
        let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
        TlsConnector::from(Arc::new(config))
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _files_remain = fs::remove_dir_all(&self.folder);
    }
}

/// Serves `hello` over TLS and returns the result of `call`.
fn with_server<T, F: Future<Output = T>>(
    fixture: &Fixture,
    call: impl FnOnce(SocketAddr) -> F,
) -> T {
    with_server_of(fixture, || body::full(StatusCode::OK, "text/plain", "hello"), call)
}

/// Serves the responses of `respond` over TLS and returns the result of `call`.
fn with_server_of<T, F: Future<Output = T>>(
    fixture: &Fixture,
    respond: fn() -> Response<Body>,
    call: impl FnOnce(SocketAddr) -> F,
) -> T {
    let acceptor = tls::acceptor(&fixture.files).expect("the certificate and key match");
    kernel::run(2, |kernel| async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = server::listen(any).await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let server_kernel = kernel.clone();
        kernel.spawn_detached(async move {
            let handle = move |_| async move { respond() };
            server::serve_tls(&server_kernel, listener, acceptor, &Drain::default(), handle).await;
        });
        kernel.clock.timeout(TIMEOUT, call(address)).await.expect("the call completes in time")
    })
}

/// Sends [`REQUEST`] and returns the response. Ignores errors, since the server may close the
/// connection.
async fn exchange(
    mut stream: impl futures_lite::AsyncRead + futures_lite::AsyncWrite + Unpin,
) -> String {
    let _may_be_rejected = stream.write_all(REQUEST).await;
    let mut response = Vec::new();
    let _may_be_truncated = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn serves_caller_that_trusts_certificate() {
    let fixture = Fixture::new("tls-trusted");
    let connector = fixture.connector();

    let response = with_server(&fixture, |address| async move {
        let stream = TcpStream::connect(address).await.expect("the server listens");
        let name = ServerName::try_from("localhost").expect("`localhost` is a valid name");
        exchange(connector.connect(name, stream).await.expect("the certificate is trusted")).await
    });

    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("hello"), "{response}");
}

// Guards against an incomplete response that looks complete to a caller without chunks: its
// connection must end without `close_notify`.
#[test]
fn ends_incomplete_response_without_close_notify() {
    let fixture = Fixture::new("tls-incomplete");
    let connector = fixture.connector();
    let incomplete = || body::streamed(StatusCode::OK, "text/plain").1;

    let end = with_server_of(&fixture, incomplete, |address| async move {
        let stream = TcpStream::connect(address).await.expect("the server listens");
        let name = ServerName::try_from("localhost").expect("`localhost` is a valid name");
        let mut stream = connector.connect(name, stream).await.expect("the certificate is trusted");
        stream.write_all(b"GET / HTTP/1.0\r\n\r\n").await.expect("the server reads the request");
        stream.read_to_end(&mut Vec::new()).await
    });

    assert_eq!(end.expect_err("the end is an error").kind(), ErrorKind::UnexpectedEof);
}

#[test]
fn does_not_answer_caller_without_tls() {
    let fixture = Fixture::new("tls-plain");

    let response = with_server(&fixture, |address| async move {
        exchange(TcpStream::connect(address).await.expect("the server listens")).await
    });

    assert!(!response.contains("hello"), "{response}");
}

#[test]
fn missing_file_error_has_path() {
    let fixture = Fixture::new("tls-missing");
    let files = Files { key: PathBuf::from("no-such-key.pem"), ..fixture.files.clone() };

    let message = tls::acceptor(&files).map(drop).expect_err("the key file is missing").to_string();

    assert!(message.contains("no-such-key.pem"), "{message}");
}
