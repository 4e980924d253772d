//! Deployments with many servers and models.

use types::{
    prelude::*,
    routed::{Engine, Model},
};

use super::world::engine;

/// Number of adapters of a large deployment's models, the busiest model first; the other models
/// have none.
const ADAPTERS: [u32; 45] = [
    74, 0, 20, 0, 15, 0, 12, 0, 10, 0, 9, 0, 8, 0, 8, 0, 7, 0, 7, 0, 9, 0, 8, 0, 8, 0, 7, 0, 7, 0,
    7, 0, 7, 0, 7, 0, 7, 0, 7, 0, 7, 0, 7, 0, 7,
];

/// Returns one model per letter: B for large, M for medium, S for small. `sizes` holds the memory
/// in MiB and the load times from the store and from disk in milliseconds, for B, M and S.
fn models(kinds: &str, sizes: [(u64, u64, u64); 3]) -> Vec<Model> {
    let model = |(index, kind): (usize, char)| {
        let (weights, load, disk) = sizes["BMS".find(kind).expect("one of B, M and S")];
        Model {
            name: format!("m{index:03}").into(),
            weights,
            load: Duration::from_millis(load),
            warm: Duration::from_millis(390),
            disk: Duration::from_millis(disk),
            adapters: ADAPTERS.get(index).copied().unwrap_or(0),
            adapter_weights: 40,
        }
    };
    kinds.chars().enumerate().map(model).collect()
}

/// 104 models; a server holds two large ones.
pub fn sixty_servers() -> Engine {
    let kinds = "BBBBBBSBBSBBSBBBBBBBBBBBSBBBBBBBBSBBBBBBBBSBBBBBSBBSBBSBBSBSBSBSBBSSBSBBBSBBBSSBS\
                 SSSSBSBSSSSSBSSSBSSSSBB";
    let mut site = engine(83_000, 8, &[]);
    site.models = models(kinds, [(34_300, 2000, 510), (0, 0, 0), (16_100, 1200, 350)]);
    site.slots = 24;
    site.loads_per_s = 10.0;
    site.host_memory = 61_000;
    site.disk = 180_000;
    site
}

/// 126 models; a server holds two large ones and a small one.
pub fn ninety_servers() -> Engine {
    let kinds = "SBBMBBMBBMBBSBBBBBSBBMBBMBBBBBBBBMBBMBBMBBBBBMMMBBBMMMBMMSBMSSSMBMBSSMSSSBMMSBMM\
                 MMMMSMBBBMMMSBMSMMSMBSBMMSSBSSBSMMSMMBMMBBMBSS";
    let mut site = engine(200_000, 5, &[]);
    site.models = models(kinds, [(72_700, 4200, 840), (65_300, 3800, 760), (34_300, 2000, 400)]);
    site.slots = 16;
    site.loads_per_s = 14.0;
    site.host_memory = 130_000;
    site.disk = 390_000;
    site
}
