//! Entries by which targets register themselves, and those of other writers.

use chervillug::platform::decode_target;
use serde_json::{json, Value};

/// Returns an entry as targets write it, with other values for the fields of `changed`; a field that
/// is null there is left out.
fn entry(changed: &Value) -> Vec<u8> {
    let mut entry = json!({
        "backend": "one", "addr": "127.0.0.1:80", "zone": "a", "version": "v1", "slots": 2,
        "state": "ready", "warmupLeftS": 0, "seq": 1, "born": 1_700_000_000_000_u64,
    });
    let fields = entry.as_object_mut().expect("an object");
    for (name, value) in changed.as_object().into_iter().flatten() {
        fields.remove(name);
        if !value.is_null() {
            fields.insert(name.clone(), value.clone());
        }
    }
    entry.to_string().into_bytes()
}

struct Case {
    changed: Value,
    names_target: bool,
}

/// Guards against entries of other writers that are used, so that requests run at a service to which
/// no route leads.
#[test]
fn entry_names_a_target_only_if_all_fields_are_there_and_of_their_type() {
    let usable = |changed| Case {
        changed,
        names_target: true,
    };
    let of_another_writer = |changed| Case {
        changed,
        names_target: false,
    };
    let mut cases = vec![
        usable(json!({})),
        usable(json!({"state": "draining"})),
        usable(json!({"warmupLeftS": 2.5})),
        usable(json!({"born": null})),
        usable(json!({"more": [1]})),
        of_another_writer(json!({"version": 1})),
        of_another_writer(json!({"seq": 1.5})),
        of_another_writer(json!({"seq": "1"})),
        of_another_writer(json!({"warmupLeftS": "0"})),
        of_another_writer(json!({"backend": ["one"]})),
        of_another_writer(json!({"zone": 1})),
        of_another_writer(json!({"slots": "2"})),
        of_another_writer(json!({"state": "idle"})),
        of_another_writer(json!({"born": 1.5})),
    ];
    let fields = "backend addr zone version slots state warmupLeftS seq";
    for name in fields.split(' ') {
        cases.push(of_another_writer(json!({ name: null })));
    }
    for Case {
        changed,
        names_target,
    } in cases
    {
        let is_target = decode_target("i-1", &entry(&changed)).is_ok();
        assert_eq!(is_target, names_target, "{changed}");
    }
}
