//! Links between the pages of the repository.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Component, Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the repository")
}

/// The pages below a folder, by their paths.
fn pages(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.unwrap().path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let files = files.into_iter().filter(|path| path.extension().is_some_and(|it| it == "md"));
    folders.iter().flat_map(|folder| pages(folder)).chain(files).collect()
}

/// The anchor that a heading gets, as common hosts of repositories derive it.
fn anchor(heading: &str) -> String {
    let is_kept = |c: &char| c.is_alphanumeric() || matches!(c, '_' | '-' | ' ');
    heading.trim().to_lowercase().chars().filter(is_kept).collect::<String>().replace(' ', "-")
}

fn anchors(text: &str) -> BTreeSet<String> {
    let headings = text.lines().filter(|line| line.starts_with('#'));
    headings.map(|line| anchor(line.trim_start_matches('#'))).collect()
}

/// The targets of a page's links that are no addresses.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    targets.filter(|target| !target.contains(':') && !target.contains(char::is_whitespace))
}

/// A path without `..`.
fn normal(path: &Path) -> PathBuf {
    path.components().fold(PathBuf::new(), |mut path, part| {
        match part {
            Component::ParentDir => drop(path.pop()),
            part => path.push(part),
        }
        path
    })
}

/// A page named a section of another one that had never been written.
#[test]
fn links_lead_to_a_file_and_a_heading() {
    let top = ["README.md", "CHANGELOG.md"].map(|name| root().join(name));
    let pages = pages(&root().join("docs")).into_iter().chain(top);
    let texts: BTreeMap<PathBuf, String> =
        pages.map(|page| (page.clone(), fs::read_to_string(page).unwrap())).collect();
    let mut broken = Vec::new();
    for (page, text) in &texts {
        for link in links(text) {
            let (path, section) = link.split_once('#').unwrap_or((link, ""));
            let target = match path {
                "" => page.clone(),
                path => normal(&page.parent().unwrap().join(path)),
            };
            let has_section = || texts.get(&target).is_none_or(|it| anchors(it).contains(section));
            if !target.exists() || !section.is_empty() && !has_section() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(!texts.is_empty() && broken.is_empty(), "{broken:#?}");
}
