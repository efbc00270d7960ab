//! Digests of the sources that programs are built from.
//!
//! Cargo decides by modification times what to compile. A build folder that is kept beside sources with
//! older times, such as those of an unpacked archive, passes for up to date, as a whole or in part. So each
//! crate of a program carries the digest of its own sources as they were when it was compiled, and the
//! program names them. A digest depends on the names and contents of files only.

use std::{
    collections::BTreeMap,
    fmt, fs, io,
    path::{Path, PathBuf},
};

/// File of a crate beside its folder `src`.
const MANIFEST: &str = "Cargo.toml";
/// The crates that compute digests carry none.
const WITHOUT_DIGEST: [&str; 2] = ["sources", "sources-macro"];

/// A 64-bit digest, written as hexadecimal text. It tells versions apart and withstands no forgery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(pub u64);

/// Crate of a program, with the digest of its sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crate<'a> {
    pub name: &'a str,
    pub digest: Digest,
}

impl Digest {
    /// Returns the digest of a sequence of byte strings by FNV-1a, each followed by its length.
    ///
    /// Source: G. Fowler, L. C. Noll, K.-P. Vo, D. Eastlake, "The FNV Non-Cryptographic Hash Algorithm".
    pub fn of_parts(parts: impl IntoIterator<Item = impl AsRef<[u8]>>) -> Digest {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let mut state = OFFSET_BASIS;
        let mut push = |byte: u8| state = (state ^ u64::from(byte)).wrapping_mul(PRIME);
        for part in parts {
            let part = part.as_ref();
            part.iter().copied().for_each(&mut push);
            (part.len() as u64).to_le_bytes().into_iter().for_each(&mut push);
        }
        Digest(state)
    }

    /// Returns the digest of the sources of the crate in a folder: its manifest and all files in `src`.
    ///
    /// # Errors
    ///
    /// Returns the error if a file or folder cannot be read.
    pub fn of_crate(folder: &Path) -> io::Result<Digest> {
        let mut files = vec![folder.join(MANIFEST)];
        add_files(&folder.join("src"), &mut files)?;
        let mut parts = Vec::new();
        for file in files {
            let name = file.strip_prefix(folder).unwrap_or(&file);
            // Names must not depend on the separator of the machine's paths.
            let name: Vec<_> = name.iter().map(|it| it.to_string_lossy()).collect();
            parts.push(name.join("/").into_bytes());
            parts.push(fs::read(&file)?);
        }
        Ok(Digest::of_parts(parts))
    }

    /// Returns the digest of all crates of a program, in this order.
    pub fn of_program(crates: &[Crate<'_>]) -> Digest {
        Digest::of_parts(crates.iter().flat_map(|it| [it.name.to_owned(), it.digest.to_string()]))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns the digests of a program's own crates as their sources are now: of the crate in `folder` and of
/// all that it depends on by path, by name.
///
/// # Errors
///
/// Returns the error if a file or folder cannot be read.
pub fn of_tree(folder: &Path) -> io::Result<BTreeMap<String, Digest>> {
    let mut digests = BTreeMap::new();
    let mut folders = vec![folder.canonicalize()?];
    while let Some(folder) = folders.pop() {
        let name = folder.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if WITHOUT_DIGEST.contains(&name.as_str()) || digests.contains_key(&name) {
            continue;
        }
        digests.insert(name, Digest::of_crate(&folder)?);
        let manifest = fs::read_to_string(folder.join(MANIFEST))?;
        for path in path_dependencies(&manifest) {
            folders.push(folder.join(path).canonicalize()?);
        }
    }
    Ok(digests)
}

/// Returns the paths of the dependencies that a manifest names by path, without those of tests.
fn path_dependencies(manifest: &str) -> impl Iterator<Item = &str> {
    let section = manifest.split_once("[dependencies]").map_or("", |(_, rest)| rest);
    let section = section.split("\n[").next().unwrap_or("");
    section.lines().filter_map(|line| line.split_once("path = \"")?.1.split('"').next())
}

/// Adds the files below a folder in the order of their names.
fn add_files(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    let entries: io::Result<Vec<_>> = fs::read_dir(folder)?.collect();
    let mut paths: Vec<PathBuf> = entries?.into_iter().map(|entry| entry.path()).collect();
    paths.sort();
    for path in paths {
        if path.is_dir() {
            add_files(&path, files)?;
        } else {
            files.push(path);
        }
    }
    Ok(())
}
