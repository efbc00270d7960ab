//! Digests of crates: what changes them, and what does not.

use std::{
    env, fs,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use sources::{Digest, of_tree};

/// Crate in a temporary folder, which is removed with it.
struct Fixture {
    folder: PathBuf,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let folder = env::temp_dir().join(format!("sources-{name}-{}", std::process::id()));
        let fixture = Fixture { folder };
        fixture
            .write("program/Cargo.toml", "[dependencies]\nlibrary = { path = \"../library\" }\n");
        fixture.write("program/src/main.rs", "fn main() {}\n");
        fixture.write("library/Cargo.toml", "[dev-dependencies]\nx = { path = \"../missing\" }\n");
        fixture.write("library/src/lib.rs", "mod part;\n");
        fixture.write("library/src/part/mod.rs", "// A part.\n");
        fixture
    }

    fn write(&self, path: &str, text: &str) {
        let path = self.folder.join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    fn library(&self) -> PathBuf {
        self.folder.join("library")
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _best_effort = fs::remove_dir_all(&self.folder);
    }
}

fn digest(folder: &Path) -> Digest {
    Digest::of_crate(folder).unwrap()
}

#[test]
fn changes_with_each_file_and_name() {
    let fixture = Fixture::new("changes");
    let before = digest(&fixture.library());

    fixture.write("library/src/part/mod.rs", "// Another part.\n");
    let other_text = digest(&fixture.library());
    fixture.write("library/src/part/mod.rs", "// A part.\n");
    let same_text = digest(&fixture.library());
    let [part, renamed] = ["src/part", "src/renamed"].map(|it| fixture.library().join(it));
    fs::rename(part, renamed).unwrap();
    let other_name = digest(&fixture.library());

    assert_ne!(other_text, before);
    assert_eq!(same_text, before);
    assert_ne!(other_name, before);
}

#[test]
fn depends_on_no_time_and_place() {
    let [fixture, elsewhere] = ["time", "place"].map(Fixture::new);
    let before = digest(&fixture.library());

    let file = fs::File::open(fixture.library().join("src/lib.rs")).unwrap();
    file.set_modified(SystemTime::now() - Duration::from_secs(3600)).unwrap();

    assert_eq!(digest(&fixture.library()), before);
    assert_eq!(digest(&elsewhere.library()), before);
}

#[test]
fn covers_what_the_program_depends_on_by_path() {
    let fixture = Fixture::new("tree");

    let digests = of_tree(&fixture.folder.join("program")).unwrap();

    assert_eq!(digests.keys().collect::<Vec<_>>(), ["library", "program"]);
}
