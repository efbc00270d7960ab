//! Frames on a stream: a length of four bytes, little-endian, then the frame in
//! postcard's encoding.

use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt as _, Snafu};

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be sent or read.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "a frame of {bytes} bytes is above the limit of {MAX_FRAME_BYTES}; send less at once"
    ))]
    TooLarge { bytes: usize },
    #[snafu(display("a frame cannot be decoded: {source}; run the same version on both sides"))]
    Malformed { source: postcard::Error },
    #[snafu(display("the stream broke off while sending: {source}; try another process"))]
    Write { source: WriteError },
    #[snafu(display("the stream broke off while reading: {source}; try another process"))]
    Read { source: ReadExactError },
}

/// Encodes a frame with its length.
///
/// # Errors
///
/// [`Error::TooLarge`] above [`MAX_FRAME_BYTES`].
pub fn encode(frame: &impl Serialize) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes = postcard::to_extend(frame, bytes).context(MalformedSnafu)?;
    let length = bytes.len() - LENGTH_BYTES;
    if MAX_FRAME_BYTES < length {
        return TooLargeSnafu { bytes: length }.fail();
    }
    bytes[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(bytes)
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// [`Error::Malformed`] when the bytes are no such frame.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(body).context(MalformedSnafu)
}

/// Sends one frame.
///
/// # Errors
///
/// Any but [`Error::Read`].
pub async fn send(stream: &mut SendStream, frame: &impl Serialize) -> Result<(), Error> {
    let bytes = encode(frame)?;
    metrics::counter!("chivelatch_fleet_sent_bytes_total").increment(bytes.len() as u64);
    stream.write_all(&bytes).await.context(WriteSnafu)
}

/// Reads one frame.
///
/// # Errors
///
/// Any but [`Error::Write`].
pub async fn receive<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<T, Error> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await.context(ReadSnafu)?;
    let length = u32::from_le_bytes(length) as usize;
    if MAX_FRAME_BYTES < length {
        return TooLargeSnafu { bytes: length }.fail();
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.context(ReadSnafu)?;
    metrics::counter!("chivelatch_fleet_received_bytes_total").increment(length as u64);
    decode(&body)
}
