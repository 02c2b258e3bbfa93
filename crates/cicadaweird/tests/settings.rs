//! Settings files, right and wrong.

use cicadaweird::settings::{Settings, SettingsError};

const EXAMPLE: &str = include_str!("../../../examples/entry-vm.toml");

fn nothing(_: &str) -> Option<String> {
    None
}

#[test]
fn the_example_is_valid() {
    let settings = Settings::parse(EXAMPLE, nothing).expect("the example");
    assert_eq!(settings.member.id, 1);
    assert_eq!(settings.flow_key().0[1], 0x11);
}

#[test]
fn every_wrong_value_is_named_at_once() {
    let text = EXAMPLE
        .replace("00112233445566778899aabbccddeeff", "short")
        .replace("fabric = \"10.0.0.1:6081\"", "fabric = \"0.0.0.0:6081\"")
        .replace("flows = 600000", "flows = 5");
    let err = Settings::parse(&text, nothing).expect_err("three wrong values");
    let SettingsError::Values(wrong) = &err else {
        panic!("{err}");
    };
    let keys: Vec<&str> = wrong.iter().map(|w| w.key).collect();
    assert_eq!(keys, ["hash_key", "fabric", "limits.flows"]);
    assert!(
        err.to_string().contains("allowed is 1000 to 16000000"),
        "{err}"
    );
}

#[test]
fn an_unknown_key_is_refused_with_its_line() {
    let text = format!("{EXAMPLE}\n[limit]\nflows = 1\n");
    let err = Settings::parse(&text, nothing).expect_err("an unknown table");
    assert!(err.to_string().contains("limit"), "{err}");
}

#[test]
fn the_environment_goes_before_the_file() {
    let env = |name: &str| (name == "CICADAWEIR_MEMBER_ID").then(|| "9".to_owned());
    assert_eq!(Settings::parse(EXAMPLE, env).expect("valid").member.id, 9);
    let env = |name: &str| (name == "CICADAWEIR_MEMBER_ZONE").then(|| "x".to_owned());
    let err = Settings::parse(EXAMPLE, env).expect_err("not a number");
    assert!(err.to_string().contains("CICADAWEIR_MEMBER_ZONE"), "{err}");
}
