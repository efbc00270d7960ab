//! Certificates of the fleet's processes and the TLS configuration made from them.
//!
//! The subject name in a certificate is the process's role. The connecting end requires a specific
//! role of its peer; the accepting end reads the peer's role from the certificate.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use quinn::{
    ClientConfig, ConnectionId, ConnectionIdGenerator, EndpointConfig, IdleTimeout, ServerConfig,
    TransportConfig, VarInt,
    crypto::{
        CryptoError, HmacKey,
        rustls::{QuicClientConfig, QuicServerConfig},
    },
};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rustls::{
    RootCertStore,
    pki_types::{
        CertificateDer, PrivateKeyDer, ServerName,
        pem::{self, PemObject as _},
    },
    server::WebPkiClientVerifier,
};
use snafu::{ResultExt as _, Snafu};

/// Time without packets after which a connection is closed. Attempts in progress send
/// [`Reply::Waiting`](crate::frame::Reply::Waiting) far more often.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Maximum number of streams that a peer may have open on one connection. Memory for all of them is
/// reserved per connection.
const MAX_STREAMS_PER_PEER: u32 = 256;
/// Context for deriving the key of stateless resets. It must not change: a restarted process must
/// derive the same key as its previous incarnation.
const RESET_KEY_CONTEXT: &str = "chivelatch 2026-12 connection resets";
/// Length of connection ids.
const CONNECTION_ID_BYTES: usize = 8;

/// The role of a process, which determines the calls that it may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Entry,
    Side,
    Operator,
}

/// Certificate and private key of a process, and the authority that all processes trust.
#[derive(Debug)]
pub struct Identity {
    authority: Vec<CertificateDer<'static>>,
    /// Certificate of the process, with any intermediate ones.
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

/// Key that signs the tokens of stateless resets (RFC 9000, section 10.3).
struct ResetKey([u8; blake3::KEY_LEN]);

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature: &mut [u8]) {
        signature.copy_from_slice(blake3::keyed_hash(&self.0, data).as_bytes());
    }

    fn signature_len(&self) -> usize {
        blake3::OUT_LEN
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let is_valid = blake3::keyed_hash(&self.0, data) == *signature;
        if is_valid { Ok(()) } else { Err(CryptoError) }
    }
}

/// Generates random connection ids. Any process of the fleet accepts them as possibly its own, so
/// it answers packets for an id that it does not know with a stateless reset.
struct RandomConnectionIds;

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; CONNECTION_ID_BYTES]>())
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Paths of the PEM files of an identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    pub authority: PathBuf,
    pub certificate: PathBuf,
    pub key: PathBuf,
}

/// Error while reading, using or generating an identity.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "cannot read {}: {source}; make certificates with `chivelatch --make-certificates DIR`",
        path.display()
    ))]
    Read { path: PathBuf, source: pem::Error },
    #[snafu(display(
        "cannot write {}: {source}; choose a folder that can be written",
        path.display()
    ))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display(
        "the certificate, key and authority do not match: {source}; generate all three again"
    ))]
    Mismatch { source: rustls::Error },
    #[snafu(display("the authority has no usable certificate: {reason}; generate it again"))]
    Authority { reason: String },
    #[snafu(display("cannot generate a certificate: {source}"))]
    Generate { source: rcgen::Error },
}

impl Role {
    pub const ALL: [Role; 3] = [Role::Entry, Role::Side, Role::Operator];

    /// Returns the subject name of the role in certificates.
    pub fn server_name(self) -> &'static str {
        match self {
            Role::Entry => "entry.chivelatch",
            Role::Side => "side.chivelatch",
            Role::Operator => "operator.chivelatch",
        }
    }

    /// Returns the stem of the names of the role's certificate and key files.
    pub fn file_stem(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Side => "side",
            Role::Operator => "operator",
        }
    }

    /// Returns the role that a certificate names. The certificate's signature must have been
    /// verified already.
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Option<Role> {
        let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
        let is_named = |role: &Role| {
            let name = ServerName::try_from(role.server_name());
            name.is_ok_and(|name| certificate.verify_is_valid_for_subject_name(&name).is_ok())
        };
        Role::ALL.into_iter().find(is_named)
    }
}

impl Files {
    /// Returns the paths of the files that [`generate`] writes to `folder` for a role.
    pub fn in_folder(folder: &Path, role: Role) -> Files {
        let stem = role.file_stem();
        Files {
            authority: folder.join("authority.pem"),
            certificate: folder.join(format!("{stem}.pem")),
            key: folder.join(format!("{stem}.key.pem")),
        }
    }
}

impl Identity {
    /// Reads an identity from its files.
    ///
    /// # Errors
    ///
    /// [`Error::Read`] with the path of the file that cannot be read.
    pub fn load(files: &Files) -> Result<Identity, Error> {
        let key =
            PrivateKeyDer::from_pem_file(&files.key).context(ReadSnafu { path: &files.key })?;
        Ok(Identity {
            authority: load_certificates(&files.authority)?,
            chain: load_certificates(&files.certificate)?,
            key,
        })
    }

    /// Returns the configuration of the accepting end.
    ///
    /// # Errors
    ///
    /// [`Error::Mismatch`] or [`Error::Authority`].
    pub fn server_config(&self) -> Result<ServerConfig, Error> {
        let verifier = WebPkiClientVerifier::builder(Arc::new(self.trusted_roots()?))
            .build()
            .map_err(|error| Error::Authority { reason: error.to_string() })?;
        let tls = rustls::ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .context(MismatchSnafu)?;
        let crypto = QuicServerConfig::try_from(tls)
            .map_err(|error| Error::Authority { reason: error.to_string() })?;
        let mut config = ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }

    /// Returns the configuration of the connecting end.
    ///
    /// # Errors
    ///
    /// [`Error::Mismatch`] or [`Error::Authority`].
    pub fn client_config(&self) -> Result<ClientConfig, Error> {
        let tls = rustls::ClientConfig::builder()
            .with_root_certificates(self.trusted_roots()?)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .context(MismatchSnafu)?;
        let crypto = QuicClientConfig::try_from(tls)
            .map_err(|error| Error::Authority { reason: error.to_string() })?;
        let mut config = ClientConfig::new(Arc::new(crypto));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }

    /// Returns the configuration of the endpoint. The reset key is derived from the private key, so
    /// a restarted process can reset the connections of its previous incarnation and peers need not
    /// wait for a timeout.
    pub fn endpoint_config(&self) -> EndpointConfig {
        let reset_key = blake3::derive_key(RESET_KEY_CONTEXT, self.key.secret_der());
        let mut config = EndpointConfig::new(Arc::new(ResetKey(reset_key)));
        config.cid_generator(|| Box::new(RandomConnectionIds));
        config
    }

    fn trusted_roots(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        for certificate in &self.authority {
            roots.add(certificate.clone()).context(MismatchSnafu)?;
        }
        Ok(roots)
    }
}

/// Generates an authority and a certificate for each role, as PEM files in `folder`.
///
/// # Errors
///
/// [`Error::Generate`] or [`Error::Write`].
pub fn generate(folder: &Path) -> Result<(), Error> {
    let authority_key = KeyPair::generate().context(GenerateSnafu)?;
    let mut params = CertificateParams::new(Vec::new()).context(GenerateSnafu)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = params.self_signed(&authority_key).context(GenerateSnafu)?;
    let issuer = Issuer::new(params, authority_key);
    fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
    write(&folder.join("authority.pem"), &authority.pem())?;
    for role in Role::ALL {
        let files = Files::in_folder(folder, role);
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let names = vec![role.server_name().to_owned()];
        let params = CertificateParams::new(names).context(GenerateSnafu)?;
        let certificate = params.signed_by(&key, &issuer).context(GenerateSnafu)?;
        write(&files.certificate, &certificate.pem())?;
        write(&files.key, &key.serialize_pem())?;
    }
    Ok(())
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_PEER))
        .initial_rtt(Duration::from_millis(10));
    transport
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .context(ReadSnafu { path })
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).context(WriteSnafu { path })
}
