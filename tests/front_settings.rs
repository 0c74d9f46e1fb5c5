//! Settings of an entry daemon: invalid values, their documentation, and the template.

use std::{collections::BTreeSet, path::Path};

use chervillug::config::{parse_front, SettingsError};

const PAGE: &str = include_str!("../docs/FRONT-SETTINGS.md");
const TEMPLATE: &str = include_str!("../deploy/front.json.template");

/// A valid settings file; `MORE` is a placeholder for further keys.
const VALID: &str = r#"{
  // Comments are allowed.
  "host": "entry-1",
  "data_centre": "a",
  "data_centres": ["a", "b"],
  "caller_address": "127.0.0.1:8080",
  "ready_address": "127.0.0.1:8081",
  "peer_address": "127.0.0.1:8082",
  "store_address": "127.0.0.1:8083",
  "key_withdrawal_s": 5,
  "shutdown_s": 6.5,
  "floor": 0.7,
  "quota_slack": 20MORE
}"#;

struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    line: usize,
    key: &'static str,
}

const CASES: [Case; 18] = [
    Case {
        name: "local data centre not listed",
        from: r#"["a", "b"]"#,
        to: r#"["b"]"#,
        line: 5,
        key: "data_centres",
    },
    Case {
        name: "invalid address",
        from: "127.0.0.1:8080",
        to: "here",
        line: 6,
        key: "caller_address",
    },
    Case {
        name: "key withdrawal time not above the margin",
        from: r#""key_withdrawal_s": 5"#,
        to: r#""key_withdrawal_s": 0.6"#,
        line: 10,
        key: "key_withdrawal_s",
    },
    Case {
        name: "shutdown time too short",
        from: "6.5",
        to: "1",
        line: 11,
        key: "shutdown_s",
    },
    Case {
        name: "negative time",
        from: "6.5",
        to: "-1",
        line: 11,
        key: "shutdown_s",
    },
    Case {
        name: "floor above 1",
        from: "0.7",
        to: "1.1",
        line: 12,
        key: "floor",
    },
    Case {
        name: "negative slack",
        from: "20MORE",
        to: "-1",
        line: 13,
        key: "quota_slack",
    },
    Case {
        name: "more than one retry for a request",
        from: "MORE",
        to: ",\n \"retry_ratio\": 1.5, \"retry_slack\": 3",
        line: 14,
        key: "retry_ratio",
    },
    Case {
        name: "negative slack of retries",
        from: "MORE",
        to: ",\n \"retry_ratio\": 0.2,\n \"retry_slack\": -3",
        line: 15,
        key: "retry_slack",
    },
    Case {
        name: "ratio of retries without slack",
        from: "MORE",
        to: ",\n \"retry_ratio\": 0.2",
        line: 14,
        key: "retry_ratio",
    },
    Case {
        name: "fewer requests at a cold target than it takes",
        from: "MORE",
        to: ",\n \"warmup_over\": 0.9, \"warmup_slack\": 8",
        line: 14,
        key: "warmup_over",
    },
    Case {
        name: "negative slack at a cold target",
        from: "MORE",
        to: ",\n \"warmup_over\": 1.5,\n \"warmup_slack\": -1",
        line: 15,
        key: "warmup_slack",
    },
    Case {
        name: "factor at a cold target without slack",
        from: "MORE",
        to: ",\n \"warmup_over\": 1.5",
        line: 14,
        key: "warmup_over",
    },
    Case {
        name: "more hedged requests than operators allow",
        from: "MORE",
        to: ",\n \"hedging\": 0.21",
        line: 14,
        key: "hedging",
    },
    Case {
        name: "no share of hedged requests",
        from: "MORE",
        to: ",\n \"hedging\": 0",
        line: 14,
        key: "hedging",
    },
    Case {
        name: "negative share of hedged requests",
        from: "MORE",
        to: ",\n \"hedging\": -0.1",
        line: 14,
        key: "hedging",
    },
    Case {
        name: "unknown key",
        from: "MORE",
        to: ",\n \"other\": 1",
        line: 14,
        key: "other",
    },
    Case {
        name: "limit of zero",
        from: "MORE",
        to: ",\n \"limits\": {\"in_flight\": 0}",
        line: 14,
        key: "in_flight",
    },
];

fn parse(text: &str) -> Result<(), SettingsError> {
    let text = text.replace("MORE", "");
    parse_front(&text, Path::new("front.json")).map(|_| ())
}

#[test]
fn invalid_settings_are_reported_with_line_and_key() {
    assert!(parse(VALID).is_ok());
    for case in &CASES {
        let e = parse(&VALID.replace(case.from, case.to)).expect_err(case.name);
        assert_eq!(e.line, Some(case.line), "{}: {e}", case.name);
        assert!(e.to_string().contains(case.key), "{}: {e}", case.name);
    }
}

/// Returns the valid keys, as listed in the error for an unknown one.
fn known_keys() -> BTreeSet<String> {
    let e = parse(&VALID.replace("MORE", ", \"other\": 1")).expect_err("an unknown key");
    let text = e.to_string();
    let listed = text
        .split("expected one of ")
        .nth(1)
        .expect("the known keys");
    let quoted = listed.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

#[test]
fn page_documents_every_key() {
    let rows = PAGE.lines().filter_map(|l| l.strip_prefix("| `"));
    let documented: BTreeSet<String> = rows
        .filter_map(|l| l.split('`').next())
        .map(str::to_owned)
        .collect();
    assert_eq!(documented, known_keys());
}

#[test]
fn template_sets_only_known_keys() {
    let keys = TEMPLATE.lines().filter_map(|l| l.trim().strip_prefix('"'));
    let keys: BTreeSet<String> = keys
        .filter_map(|l| l.split('"').next())
        .map(str::to_owned)
        .collect();
    assert!(keys.len() > 8);
    assert!(keys.is_subset(&known_keys()), "{keys:?}");
}

/// The platform's fields that the template names, as far as a platform has them.
struct Fields {
    /// Values by their names in the template.
    values: &'static [(&'static str, &'static str)],
    /// Whether the renderer knows sections and other forms of values of bounds that came later.
    knows_later_bounds: bool,
    retry_ratio: Option<f64>,
    warmup_over: Option<f64>,
}

/// Renders one section of the template, whose text is left out without a value.
fn render_section(text: &str, name: &str, inner: Option<&str>) -> String {
    let (start, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let (before, rest) = text.split_once(&start).expect("a section");
    let (section, after) = rest.split_once(&end).expect("the end of the section");
    let section = inner.map_or("", |inner| if inner.is_empty() { section } else { inner });
    format!("{before}{section}{after}")
}

fn render(fields: &Fields) -> String {
    let mut text = render_section(TEMPLATE, "zones", Some("\"a\", \"b\""));
    let start = "{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}";
    text = text.replace(start, "true");
    if fields.knows_later_bounds {
        for name in ["bounds.retryRatio", "bounds.warmupOver"] {
            let is_set = fields.values.iter().any(|(n, _)| *n == name);
            text = render_section(&text, name, is_set.then_some(""));
        }
        text = text.replace("{{^node}}{{/node}}", "");
    }
    for (name, value) in FIRST_VALUES.iter().chain(fields.values) {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
        if fields.knows_later_bounds {
            text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        }
    }
    text
}

/// Values that each platform has.
const FIRST_VALUES: [(&str, &str); 11] = [
    ("node", "entry-1"),
    ("zone", "a"),
    ("listen.front", "127.0.0.1:8080"),
    ("listen.ready", "127.0.0.1:8081"),
    ("ip", "127.0.0.1"),
    ("portRange.0", "8082"),
    ("provider.addr", "127.0.0.1:8083"),
    ("bounds.revokeS", "5"),
    ("bounds.graceS", "6"),
    ("bounds.floorShare", "0.7"),
    ("bounds.quotaSlack", "20"),
];

/// Guards against a template that a platform without the later bounds, or with a renderer that does
/// not know their form, turns into settings that no daemon starts with.
#[test]
fn template_is_valid_with_and_without_the_later_bounds() {
    let cases = [
        Fields {
            values: &[],
            knows_later_bounds: false,
            retry_ratio: None,
            warmup_over: None,
        },
        Fields {
            values: &[],
            knows_later_bounds: true,
            retry_ratio: None,
            warmup_over: None,
        },
        Fields {
            values: &[("bounds.retryRatio", "0.2"), ("bounds.retrySlack", "64")],
            knows_later_bounds: true,
            retry_ratio: Some(0.2),
            warmup_over: None,
        },
        Fields {
            values: &[
                ("bounds.retryRatio", "0.2"),
                ("bounds.retrySlack", "64"),
                ("bounds.warmupOver", "1.5"),
                ("bounds.warmupSlack", "8"),
            ],
            knows_later_bounds: true,
            retry_ratio: Some(0.2),
            warmup_over: Some(1.5),
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let text = render(case);
        let settings = parse_front(&text, Path::new("front.json"));
        let settings = settings.unwrap_or_else(|e| panic!("{i}: {e}\n{text}"));
        assert_eq!(settings.retry_ratio, case.retry_ratio, "{i}");
        assert_eq!(settings.warmup_over, case.warmup_over, "{i}");
    }
}

/// Guards against names that a renderer which knows the first bounds only cannot resolve.
#[test]
fn template_names_later_bounds_in_a_form_that_earlier_renderers_leave_alone() {
    let names = TEMPLATE
        .split("{{")
        .skip(1)
        .filter_map(|t| t.split("}}").next());
    let is_plain = |name: &&str| name.chars().all(|c| c.is_ascii_alphanumeric() || c == '.');
    let known: BTreeSet<&str> = FIRST_VALUES.iter().map(|(name, _)| *name).collect();
    let plain: BTreeSet<&str> = names.filter(is_plain).collect();
    assert_eq!(plain, known);
}
