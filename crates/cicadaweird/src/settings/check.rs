//! Validating the settings of the Geneve carrier.

use cicadaweir_core::{hash::HashKey, node, time::Duration};

use super::{
    Settings, SettingsError,
    error::{InvalidValue, require},
};

impl Settings {
    /// Parses and validates settings; `env` looks up environment variables.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if `text` can't be parsed, or with all invalid
    /// values.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, SettingsError> {
        let mut settings: Self =
            toml::from_str(text).map_err(|err| SettingsError::Syntax(err.to_string()))?;
        let mut invalid = Vec::new();
        settings.apply_environment(env, &mut invalid);
        settings.check(&mut invalid);
        if invalid.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Values(invalid))
        }
    }

    fn apply_environment(
        &mut self,
        env: impl Fn(&str) -> Option<String>,
        invalid: &mut Vec<InvalidValue>,
    ) {
        if let Some(key) = env("CICADAWEIR_HASH_KEY") {
            self.hash_key = key;
        }
        override_number("CICADAWEIR_MEMBER_ID", &env, &mut self.member.id, invalid);
        override_number(
            "CICADAWEIR_MEMBER_ZONE",
            &env,
            &mut self.member.zone,
            invalid,
        );
    }

    fn check(&self, invalid: &mut Vec<InvalidValue>) {
        let mut require = |ok, key, value, expected| require(invalid, ok, key, value, expected);
        let hex = self.hash_key.len() == 32 && self.hash_key.bytes().all(|b| b.is_ascii_hexdigit());
        require(
            hex,
            "hash_key",
            self.hash_key.clone(),
            "32 hexadecimal digits",
        );
        let addresses = [
            ("listen.tunnel", self.listen.tunnel),
            ("listen.peer", self.listen.peer),
            ("listen.control", self.listen.control),
            ("fabric", self.fabric),
        ];
        for (key, address) in addresses {
            let specified = !address.ip().is_unspecified() && address.port() != 0;
            let expected = "an IP address other than 0.0.0.0 or ::, and a port above 0";
            require(specified, key, address.to_string(), expected);
        }
        require(
            self.listen.tunnel != self.listen.peer,
            "listen.peer",
            self.listen.peer.to_string(),
            "an address other than listen.tunnel",
        );
        let limits = &self.limits;
        let bounds = [
            ("limits.flows", u64::from(limits.flows), 1_000, 16_000_000),
            ("limits.quiet_flow_secs", limits.quiet_flow_secs, 60, 86_400),
            ("limits.quiet_udp_secs", limits.quiet_udp_secs, 1, 3_600),
            ("limits.leave_secs", limits.leave_secs, 1, 600),
            ("limits.quiet_stop_secs", limits.quiet_stop_secs, 1, 600),
            ("limits.stop_secs", limits.stop_secs, 1, 86_400),
            ("limits.silence_secs", limits.silence_secs, 2, 600),
            ("limits.probe_ms", limits.probe_ms, 50, 60_000),
            ("limits.answer_rate", limits.answer_rate, 0, 100_000_000_000),
        ];
        for (key, value, min, max) in bounds {
            let in_range = (min..=max).contains(&value);
            require(in_range, key, value.to_string(), allowed_range(key));
        }
    }

    /// Returns the key for hashing flows, which all entry VMs share; `hash_key`
    /// must be valid.
    pub fn flow_hash_key(&self) -> HashKey {
        let mut key = [0u8; 16];
        for (at, byte) in key.iter_mut().enumerate() {
            let digits = self.hash_key.get(2 * at..2 * at + 2).unwrap_or("00");
            *byte = u8::from_str_radix(digits, 16).unwrap_or(0);
        }
        HashKey(key)
    }

    /// Returns the core's options for these settings.
    pub fn node_options(&self) -> node::Options {
        let mut options = node::Options::default();
        let limits = &self.limits;
        options.max_flows = limits.flows as usize;
        options.expiry.established = Duration::from_secs(limits.quiet_flow_secs);
        options.expiry.datagram = Duration::from_secs(limits.quiet_udp_secs);
        options.leave_timeout = Duration::from_secs(limits.leave_secs);
        options.silence_timeout = Duration::from_secs(limits.silence_secs);
        options.load.probe_interval = Duration::from_millis(limits.probe_ms);
        options.load.refuse = limits.refuse;
        options
    }
}

/// Returns the allowed range of a limit, for error messages.
fn allowed_range(key: &str) -> &'static str {
    match key {
        "limits.flows" => "1000 to 16000000",
        "limits.quiet_flow_secs" => "60 to 86400",
        "limits.quiet_udp_secs" => "1 to 3600",
        "limits.leave_secs" | "limits.quiet_stop_secs" => "1 to 600",
        "limits.stop_secs" => "1 to 86400",
        "limits.silence_secs" => "2 to 600",
        "limits.answer_rate" => "0 to 100000000000",
        _ => "50 to 60000",
    }
}

/// Overrides a number by an environment variable, if it is set.
fn override_number<T: std::str::FromStr>(
    name: &'static str,
    env: impl Fn(&str) -> Option<String>,
    value: &mut T,
    invalid: &mut Vec<InvalidValue>,
) {
    let Some(text) = env(name) else {
        return;
    };
    match text.parse() {
        Ok(number) => *value = number,
        Err(_) => invalid.push(InvalidValue {
            key: name,
            value: text,
            expected: "a whole number in range",
        }),
    }
}
