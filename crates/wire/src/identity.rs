//! Certificates of the fleet's processes. The name in a certificate is the
//! process's role; both ends of a connection check it.

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

/// Silence after which a connection is given up. Attempts send `Waiting` far more often.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Streams that one peer may have open. Each connection keeps room for all of them.
const MAX_STREAMS_PER_PEER: u32 = 256;
const RESET_KEY_CONTEXT: &str = "chivelatch 2026-12 connection resets";
const CONNECTION_ID_BYTES: usize = 8;

/// What a process may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Entry,
    Side,
    Operator,
}

/// Certificate, key and the authority that both ends trust.
#[derive(Debug)]
pub struct Identity {
    authority: Vec<CertificateDer<'static>>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

/// Signs the resets of connections.
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

/// Makes connection ids that any process of the fleet takes for possible ones, so
/// that it answers them with a reset when it does not know them.
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

/// Where an identity is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    pub authority: PathBuf,
    pub certificate: PathBuf,
    pub key: PathBuf,
}

/// Why an identity cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot read {}: {source}; make certificates with `chivelatch --make-certificates DIR`", path.display()))]
    Read { path: PathBuf, source: pem::Error },
    #[snafu(display("cannot write {}: {source}; choose a folder that can be written", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display(
        "the certificate, key and authority do not go together: {source}; make all three anew"
    ))]
    Mismatch { source: rustls::Error },
    #[snafu(display("the authority holds no usable certificate: {reason}; make it anew"))]
    Authority { reason: String },
    #[snafu(display("a certificate could not be made: {source}"))]
    Generate { source: rcgen::Error },
}

impl Role {
    pub const ALL: [Role; 3] = [Role::Entry, Role::Side, Role::Operator];

    /// Name in certificates.
    pub fn server_name(self) -> &'static str {
        match self {
            Role::Entry => "entry.chivelatch",
            Role::Side => "side.chivelatch",
            Role::Operator => "operator.chivelatch",
        }
    }

    /// Name of the files that hold the role's certificate and key.
    pub fn file_stem(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Side => "side",
            Role::Operator => "operator",
        }
    }

    /// Role that a verified certificate names.
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
    /// The files of `role` in a folder filled by [`generate`].
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
    /// [`Error::Read`] names the file.
    pub fn load(files: &Files) -> Result<Identity, Error> {
        let key =
            PrivateKeyDer::from_pem_file(&files.key).context(ReadSnafu { path: &files.key })?;
        Ok(Identity {
            authority: load_certificates(&files.authority)?,
            chain: load_certificates(&files.certificate)?,
            key,
        })
    }

    /// Configuration of the accepting end.
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

    /// Configuration of the connecting end.
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

    /// Configuration of the endpoint itself. Its keys follow from the private key, so
    /// that a process that was restarted resets the connections of the one before,
    /// and their other ends need not wait for a timeout.
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

/// Makes an authority and one certificate a role, as PEM files in `folder`.
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
