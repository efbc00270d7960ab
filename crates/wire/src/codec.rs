//! Encoding of frames on a stream: the length of the body in bytes as a little-endian `u32`, then
//! the body in postcard's encoding.

use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt as _, Snafu};

/// Maximum size of a frame's body.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// Error while sending or receiving a frame.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "a frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes; send smaller frames"
    ))]
    TooLarge { bytes: usize },
    #[snafu(display(
        "cannot encode or decode a frame: {source}; run the same version on both sides"
    ))]
    Malformed { source: postcard::Error },
    #[snafu(display("the stream failed while sending: {source}; try another process"))]
    Write { source: WriteError },
    #[snafu(display("the stream failed while receiving: {source}; try another process"))]
    Read { source: ReadExactError },
}

/// Encodes a frame, with its length prefix.
///
/// # Errors
///
/// [`Error::TooLarge`] if the body exceeds [`MAX_FRAME_BYTES`]; [`Error::Malformed`] if postcard
/// cannot encode it.
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
/// [`Error::Malformed`] if the bytes are not a valid `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(body).context(MalformedSnafu)
}

/// Sends one frame.
///
/// # Errors
///
/// Any error except [`Error::Read`].
pub async fn send(stream: &mut SendStream, frame: &impl Serialize) -> Result<(), Error> {
    let bytes = encode(frame)?;
    metrics::counter!("chivelatch_fleet_sent_bytes_total").increment(bytes.len() as u64);
    stream.write_all(&bytes).await.context(WriteSnafu)
}

/// Receives one frame.
///
/// # Errors
///
/// Any error except [`Error::Write`].
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
