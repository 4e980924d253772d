//! Memory of a directory of customers with ten keys each, the time to build it, and the time to look
//! up a key, known or not, with the digest of the key.

#![allow(clippy::print_stdout, reason = "the result goes to standard output")]

use std::{alloc::System, hint::black_box, time::Instant};

use cap::Cap;
use policy::customer::Directory;
use types::{customer::KeyDigest, routed::Customer};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const KEYS_EACH: usize = 10;
const LOOKUPS: usize = 1_000_000;

fn key(number: usize) -> String {
    format!("key-of-thirty-two-characters-{number:03}")
}

fn customers(count: usize) -> Vec<Customer> {
    let customer = |number: usize| Customer {
        name: format!("customer-{number}").into(),
        keys: (0..KEYS_EACH)
            .map(|nth| KeyDigest::of(key(number * KEYS_EACH + nth).as_bytes()))
            .collect(),
        priority: None,
        weight: 1,
        quota: None,
    };
    (0..count).map(customer).collect()
}

fn main() {
    println!("customers, keys, KiB, build in us, lookup of a known key in ns, of an unknown one");
    for count in [16, 200, 2_000] {
        let declared = customers(count);
        let keys = count * KEYS_EACH;
        let before = ALLOCATOR.allocated();
        let begun = Instant::now();
        let directory = Directory::new(&declared).unwrap_or_default();
        let build = begun.elapsed();
        let bytes = ALLOCATOR.allocated() - before;
        let lookup = |offset: usize| {
            let presented: Vec<String> = (0..keys).map(|number| key(offset + number)).collect();
            let begun = Instant::now();
            for number in 0..LOOKUPS {
                let key = &presented[number * 7 % keys];
                black_box(directory.identify(KeyDigest::of(key.as_bytes())));
            }
            begun.elapsed().as_nanos() as usize / LOOKUPS
        };
        let (known, unknown) = (lookup(0), lookup(keys));
        println!(
            "{count}, {keys}, {:.1}, {}, {known}, {unknown}",
            bytes as f64 / 1024.0,
            build.as_micros()
        );
    }
}
