//! Digests of API keys and of requests. Keys are stored and published only in this form.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A BLAKE3 digest, written as hexadecimal text.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of one byte string.
    pub fn of(data: impl AsRef<[u8]>) -> Digest {
        Digest(*blake3::hash(data.as_ref()).as_bytes())
    }

    /// Returns the digest of a sequence of byte strings. Each is preceded by its length, so that
    /// sequences with other boundaries have other digests.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(*hasher.finalize().as_bytes())
    }

    /// Returns the start of the text form, for log lines.
    pub fn short(&self) -> String {
        const LENGTH: usize = 16;
        let mut text = self.to_string();
        text.truncate(LENGTH);
        text
    }

    /// Returns the first sixteen bytes as a number, for use as a key that others cannot forge.
    pub fn wide_prefix(&self) -> u128 {
        let (prefix, _) = self.0.split_first_chunk().expect("a digest has 32 bytes");
        u128::from_le_bytes(*prefix)
    }

    /// Returns the first eight bytes as a number, for use as a seed or a short key.
    pub fn prefix(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = blake3::HexError;

    fn try_from(text: String) -> Result<Digest, blake3::HexError> {
        blake3::Hash::from_hex(text).map(|hash| Digest(*hash.as_bytes()))
    }
}
