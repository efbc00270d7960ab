//! The macro by which a crate carries the digest of its sources (`sources`).

use std::{env, path::Path};

use proc_macro::TokenStream;

/// Yields the digest of the sources of the crate that is being compiled, as a `u64`.
#[proc_macro]
pub fn digest(_input: TokenStream) -> TokenStream {
    let code = match digest_of_crate() {
        Ok(digest) => format!("{}u64", digest.0),
        Err(reason) => format!("compile_error!({reason:?})"),
    };
    code.parse().expect("the generated code is valid")
}

fn digest_of_crate() -> Result<sources::Digest, String> {
    let folder = env::var("CARGO_MANIFEST_DIR")
        .map_err(|_| "CARGO_MANIFEST_DIR is not set; build with cargo".to_owned())?;
    sources::Digest::of_crate(Path::new(&folder)).map_err(|error| {
        format!("cannot read the sources in {folder}: {error}; make them readable")
    })
}
