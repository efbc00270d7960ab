//! Serde codec for bytes as a JSON string. Each byte becomes the Unicode
//! character with the same code point (Latin-1), so ASCII stays readable and
//! every byte value round-trips.

use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
    serializer.serialize_str(&text)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = text.chars().map(u8::try_from).collect::<Result<_, _>>();
    bytes.map_err(|_| {
        D::Error::custom(
            "answer body has a character above U+00FF; the record was not written by this system",
        )
    })
}
