//! Parsing and validation of settings files.

use cicadaweird::settings::{CookieSettings, Settings, SettingsError};

const EXAMPLE: &str = include_str!("../../../examples/entry-vm.toml");

fn no_environment(_: &str) -> Option<String> {
    None
}

#[test]
fn the_example_is_valid() {
    let settings = Settings::parse(EXAMPLE, no_environment).expect("the example is valid");
    assert_eq!(settings.member.id, 1);
    assert_eq!(settings.flow_hash_key().0[1], 0x11);
}

#[test]
fn all_invalid_values_are_reported_together() {
    let text = EXAMPLE
        .replace("00112233445566778899aabbccddeeff", "short")
        .replace("fabric = \"10.0.0.1:6081\"", "fabric = \"0.0.0.0:6081\"")
        .replace("flows = 600000", "flows = 5");
    let err = Settings::parse(&text, no_environment).expect_err("three values are invalid");
    let SettingsError::Values(invalid) = &err else {
        panic!("{err}");
    };
    let keys: Vec<&str> = invalid.iter().map(|v| v.key).collect();
    assert_eq!(keys, ["hash_key", "fabric", "limits.flows"]);
    assert!(
        err.to_string().contains("expected 1000 to 16000000"),
        "{err}"
    );
}

#[test]
fn an_unknown_key_is_rejected_and_named() {
    let text = format!("{EXAMPLE}\n[limit]\nflows = 1\n");
    let err = Settings::parse(&text, no_environment).expect_err("the table is unknown");
    assert!(err.to_string().contains("limit"), "{err}");
}

#[test]
fn environment_variables_override_the_file() {
    let env = |name: &str| (name == "CICADAWEIR_MEMBER_ID").then(|| "9".to_owned());
    assert_eq!(
        Settings::parse(EXAMPLE, env)
            .expect("valid settings")
            .member
            .id,
        9
    );
    let env = |name: &str| (name == "CICADAWEIR_MEMBER_ZONE").then(|| "x".to_owned());
    let err = Settings::parse(EXAMPLE, env).expect_err("the zone is not a number");
    assert!(err.to_string().contains("CICADAWEIR_MEMBER_ZONE"), "{err}");
}

#[test]
fn openings_are_refused_under_overload_unless_the_settings_say_otherwise() {
    let text = "carrier = \"cookie\"\n[member]\nname = \"vm\"\nzone = \"a\"\n[listen]\n\
        packets = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\nmetrics = \"127.0.0.1:3\"\n\
        peer = \"127.0.0.1:4\"\n[store]\naddress = \"127.0.0.1:5\"\n";
    let settings = CookieSettings::parse(text).expect("valid settings");
    assert!(settings.limits.refuse);
    let text = format!("{text}[limits]\nrefuse = false\n");
    let settings = CookieSettings::parse(&text).expect("valid settings");
    assert!(!settings.limits.refuse);
    let text = text.replace("false", "\"no\"");
    let err = CookieSettings::parse(&text).expect_err("not a boolean");
    assert!(err.to_string().contains("refuse"), "{err}");
}
