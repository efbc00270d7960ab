//! Digests of caller keys and of requests. Keys are kept and published only
//! in this form.

use std::fmt;

use serde::{Deserialize, Serialize};

/// BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest of one piece of data.
    pub fn of(data: impl AsRef<[u8]>) -> Digest {
        Digest(*blake3::hash(data.as_ref()).as_bytes())
    }

    /// Digest of several pieces; the boundaries count.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(*hasher.finalize().as_bytes())
    }

    /// First eight bytes, for use as a seed or a short key.
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
