//! Decoding of the operator's configuration with routes of different types.

use chervillug::{platform::decode_configuration, routing::HostRoute};

struct Case {
    name: &'static str,
    /// Fields of the route beside host, prefix and service.
    fields: &'static str,
    repeatable: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "safe",
        fields: r#""type":"safe""#,
        repeatable: true,
    },
    Case {
        name: "unsafe",
        fields: r#""type":"unsafe""#,
        repeatable: false,
    },
    Case {
        name: "upload",
        fields: r#""type":"upload""#,
        repeatable: false,
    },
    Case {
        name: "unknown type",
        fields: r#""type":"batch""#,
        repeatable: false,
    },
    Case {
        name: "empty type",
        fields: r#""type":"""#,
        repeatable: false,
    },
    Case {
        name: "unknown field",
        fields: r#""type":"safe","shadow":{"share":0.5}"#,
        repeatable: true,
    },
    Case {
        name: "without timeout, attempts and priority",
        fields: r#""type":"unsafe","anonymous":true"#,
        repeatable: false,
    },
];

fn configuration(fields: &str) -> String {
    format!(
        r#"{{"version":"0000000c","services":{{"a":{{"healthPath":"/healthz"}}}},
        "routes":{{"r-1":{{"host":"x.example","prefix":"/known/","type":"safe","backend":"a"}},
        "r-2":{{"host":"x.example","prefix":"/case/","backend":"a",{fields}}}}}}}"#
    )
}

fn route<'a>(routes: &'a [HostRoute], prefix: &str) -> &'a HostRoute {
    let found = routes.iter().find(|r| r.prefix == prefix);
    found.expect("route is decoded")
}

/// A route of a type that this build does not know must not take the whole configuration, and with
/// it all other routes, out of service, and its requests must not be repeated.
#[test]
fn unknown_route_type_leaves_all_routes_in_service() {
    for case in CASES {
        let decoded = decode_configuration(configuration(case.fields).as_bytes());
        let cfg = decoded.unwrap_or_else(|e| panic!("{}: {e}", case.name));
        assert!(route(&cfg.routes, "/known/").repeatable, "{}", case.name);
        let repeatable = route(&cfg.routes, "/case/").repeatable;
        assert_eq!(repeatable, case.repeatable, "{}", case.name);
    }
}

/// A configuration that names a service which it does not define is refused as a whole, so that the
/// version in force stays in force instead of losing a route.
#[test]
fn configuration_with_an_undefined_service_is_refused() {
    let text =
        configuration(r#""type":"safe""#).replacen(r#""backend":"a""#, r#""backend":"b""#, 1);
    assert!(decode_configuration(text.as_bytes()).is_err());
}
