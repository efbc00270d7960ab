//! Bytes as JSON text: each byte is the character of the same number, so that
//! text stays readable and every byte survives.

use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
    serializer.serialize_str(&text)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = text.chars().map(u8::try_from).collect::<Result<_, _>>();
    bytes.map_err(|_| {
        D::Error::custom("a character above U+00FF; the record was not written by this system")
    })
}
