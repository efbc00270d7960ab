//! TLS for connections of callers.

use std::{path::PathBuf, sync::Arc};

use futures_rustls::TlsAcceptor;
use rustls::{
    ServerConfig,
    pki_types::{
        CertificateDer, PrivateKeyDer,
        pem::{self, PemObject as _},
    },
};
use snafu::{ResultExt as _, Snafu};

/// PEM files of the certificate that is presented to callers and of its private key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    pub certificate: PathBuf,
    pub key: PathBuf,
}

/// Error that makes a certificate unusable.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read {}: {source}; check the path and that it is PEM", path.display()))]
    Read { path: PathBuf, source: pem::Error },
    #[snafu(display(
        "the certificate and its private key do not match: {source}; issue both again"
    ))]
    Mismatch { source: rustls::Error },
}

/// Reads the certificate and private key and returns a TLS acceptor that uses them.
///
/// # Errors
///
/// [`Error::Read`] with the file, or [`Error::Mismatch`].
pub fn acceptor(files: &Files) -> Result<TlsAcceptor, Error> {
    let path = &files.certificate;
    let chain = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .context(ReadSnafu { path })?;
    let path = &files.key;
    let key = PrivateKeyDer::from_pem_file(path).context(ReadSnafu { path })?;
    let config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context(MismatchSnafu)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}
