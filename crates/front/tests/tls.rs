//! Callers over TLS.

use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use futures_rustls::TlsConnector;
use hyper::StatusCode;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::{
    ClientConfig, RootCertStore,
    pki_types::{CertificateDer, ServerName},
};

use front::{
    body, server,
    tls::{self, Files},
};
use kernel::drain::Drain;

const LIMIT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n";

/// A certificate for `localhost`, in files that are removed in the end.
struct Fixture {
    folder: PathBuf,
    files: Files,
    certificate: CertificateDer<'static>,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let folder = std::env::temp_dir().join(format!("chivelatch-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder can be made");
        let made = generate_simple_self_signed(vec!["localhost".to_owned()]);
        let CertifiedKey { cert, signing_key } = made.expect("a certificate can be made");
        let files = Files { certificate: folder.join("cert.pem"), key: folder.join("key.pem") };
        fs::write(&files.certificate, cert.pem()).expect("the folder can be written");
        fs::write(&files.key, signing_key.serialize_pem()).expect("the folder can be written");
        Fixture { folder, files, certificate: cert.der().clone() }
    }

    fn connector(&self) -> TlsConnector {
        let mut roots = RootCertStore::empty();
        roots.add(self.certificate.clone()).expect("it is a certificate");
        let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
        TlsConnector::from(Arc::new(config))
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _left_behind = fs::remove_dir_all(&self.folder);
    }
}

/// Serves one word over TLS and returns what `call` got from it.
fn with_server<T, F: Future<Output = T>>(
    fixture: &Fixture,
    call: impl FnOnce(SocketAddr) -> F,
) -> T {
    let acceptor = tls::acceptor(&fixture.files).expect("the files fit");
    kernel::run(2, |kernel| async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = server::listen(any).await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let server_kernel = kernel.clone();
        kernel.spawn_detached(async move {
            let word = |_| async { body::full(StatusCode::OK, "text/plain", "hello") };
            server::serve_tls(&server_kernel, listener, acceptor, &Drain::default(), word).await;
        });
        kernel.clock.timeout(LIMIT, call(address)).await.expect("it is answered in time")
    })
}

async fn exchange(
    mut stream: impl futures_lite::AsyncRead + futures_lite::AsyncWrite + Unpin,
) -> String {
    let _may_be_refused = stream.write_all(REQUEST).await;
    let mut answer = Vec::new();
    let _may_break_off = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_caller_that_trusts_the_certificate_is_answered() {
    let fixture = Fixture::new("tls-trusted");
    let connector = fixture.connector();

    let answer = with_server(&fixture, |address| async move {
        let stream = TcpStream::connect(address).await.expect("it listens");
        let name = ServerName::try_from("localhost").expect("it is a name");
        exchange(connector.connect(name, stream).await.expect("the certificate is trusted")).await
    });

    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("hello"), "{answer}");
}

#[test]
fn a_caller_without_tls_gets_no_answer() {
    let fixture = Fixture::new("tls-plain");

    let answer = with_server(&fixture, |address| async move {
        exchange(TcpStream::connect(address).await.expect("it listens")).await
    });

    assert!(!answer.contains("hello"), "{answer}");
}

#[test]
fn a_missing_file_is_named() {
    let fixture = Fixture::new("tls-missing");
    let files = Files { key: PathBuf::from("no-such-key.pem"), ..fixture.files.clone() };

    let message = tls::acceptor(&files).map(drop).expect_err("it is missing").to_string();

    assert!(message.contains("no-such-key.pem"), "{message}");
}
