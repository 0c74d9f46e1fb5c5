//! Random histories of edits against a naive one, and the whole state as a snapshot of the table.

use std::collections::BTreeMap;

use chervillug::{
    catalog::{Catalog, Change, Edit, EditId, Plan},
    revision::{decide_adoption, Adoption},
};
use quickcheck::{quickcheck, Arbitrary, Gen};

/// One edit of a workspace's plan, and an offer of a range of edits behind it.
#[derive(Debug, Clone)]
struct Step {
    workspace: u8,
    burst: Option<u32>,
    offer_from: u8,
    offer_count: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let burst = Option::<u8>::arbitrary(g).map(|b| u32::from(b) + 1);
        Self {
            workspace: u8::arbitrary(g) % 4,
            burst,
            offer_from: u8::arbitrary(g),
            offer_count: u8::arbitrary(g) % 6,
        }
    }
}

fn change(step: &Step) -> Change {
    let workspace = format!("workspace-{}", step.workspace);
    match step.burst {
        None => Change::RemovePlan { workspace },
        Some(burst) => Change::SetPlan {
            workspace,
            plan: Plan {
                plan: "small".into(),
                rate_per_s: 1.0,
                burst,
            },
        },
    }
}

/// Returns the state after the first `revision` steps, worked out from the begin.
fn naive(steps: &[Step], revision: u64) -> BTreeMap<String, u32> {
    let mut state = BTreeMap::new();
    for step in &steps[..revision as usize] {
        let workspace = format!("workspace-{}", step.workspace);
        match step.burst {
            None => state.remove(&workspace),
            Some(burst) => state.insert(workspace, burst),
        };
    }
    state
}

fn state_of(catalog: &Catalog) -> BTreeMap<String, u32> {
    let plans = catalog.plans();
    plans.map(|(w, p)| (w.to_string(), p.burst)).collect()
}

/// Offers a range of edits as a peer would, stale, repeated and with gaps.
fn offer(catalog: &mut Catalog, edits: &[Edit]) {
    for edit in edits {
        let held = catalog.is_loaded().then(|| catalog.revision());
        if let Adoption::ApplyFrom(_) = decide_adoption(held, edit.revision, edit.revision) {
            assert!(catalog.apply(edit), "an adopted edit follows the one held");
        }
    }
}

quickcheck! {
    fn catalog_equals_the_naive_history_and_never_falls(steps: Vec<Step>) -> bool {
        let edits: Vec<Edit> = (1..)
            .zip(&steps)
            .map(|(revision, step)| Edit {
                revision,
                id: EditId::default(),
                changes: vec![change(step)],
            })
            .collect();
        let mut catalog = Catalog::default();
        catalog.advance_to(0);
        for step in &steps {
            let before = catalog.revision();
            let from = usize::from(step.offer_from) % edits.len();
            let to = edits.len().min(from + usize::from(step.offer_count));
            offer(&mut catalog, &edits[from..to]);
            let now = catalog.revision();
            if now < before || state_of(&catalog) != naive(&steps, now) {
                return false;
            }
        }
        offer(&mut catalog, &edits);
        catalog.revision() == edits.len() as u64
    }

    fn nothing_is_applied_before_a_first_revision(first: u64, last: u64) -> bool {
        decide_adoption(None, first, last) == Adoption::FetchAfter(0)
    }
}
