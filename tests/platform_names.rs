//! Checks that the names of the users' platform are used only in its adapter.

use std::{fs, path::Path};

/// Names of the platform's interface that no file outside `src/platform/` may contain.
const NAMES: [&str; 29] = [
    "rows-tx",
    "rows-get",
    "rows-feed",
    "rows-parts",
    "blob-put",
    "blob-get",
    "blob-drop",
    "blob-list",
    "X-Target-Instance",
    "x-target-instance",
    "X-Not-Executed",
    "x-not-executed",
    "X-Server-Load",
    "x-server-load",
    "X-Server-Signature",
    "x-server-signature",
    "Store-Era",
    "store-era",
    "ratePerS",
    "apiKeys",
    "warmupLeftS",
    "CHERVILLUG_CONFIG",
    "healthPath",
    "x-tenant",
    "evacuate/",
    "warmupPerS",
    "warmupS",
    "X-Warmup-Ms",
    "x-warmup-ms",
];

fn find_names(directory: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            if !path.ends_with("src/platform") {
                find_names(&path, found);
            }
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source file");
        let names = NAMES.iter().filter(|name| text.contains(**name));
        found.extend(names.map(|name| format!("{}: {name}", path.display())));
    }
}

#[test]
fn only_the_adapter_uses_names_of_the_platform() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    find_names(&source, &mut found);
    assert!(found.is_empty(), "{found:#?}");
}
