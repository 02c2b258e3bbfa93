//! Checking a settings file as a whole.

use cicadaweir_core::{hash::HashKey, node, time::Duration};

use super::{
    Settings, SettingsError,
    error::{WrongValue, require},
};

impl Settings {
    /// Parses and checks settings; `env` looks up environment variables.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] that names every key that is wrong.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, SettingsError> {
        let mut settings: Self =
            toml::from_str(text).map_err(|err| SettingsError::Syntax(err.to_string()))?;
        let mut wrong = Vec::new();
        settings.override_from(env, &mut wrong);
        settings.check(&mut wrong);
        if wrong.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Values(wrong))
        }
    }

    fn override_from(&mut self, env: impl Fn(&str) -> Option<String>, wrong: &mut Vec<WrongValue>) {
        if let Some(key) = env("CICADAWEIR_HASH_KEY") {
            self.hash_key = key;
        }
        override_number("CICADAWEIR_MEMBER_ID", &env, &mut self.member.id, wrong);
        override_number("CICADAWEIR_MEMBER_ZONE", &env, &mut self.member.zone, wrong);
    }

    fn check(&self, wrong: &mut Vec<WrongValue>) {
        let mut require = |ok, key, value, allowed| require(wrong, ok, key, value, allowed);
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
            let named = !address.ip().is_unspecified() && address.port() != 0;
            let allowed = "an IP number other than 0.0.0.0 or ::, and a port above 0";
            require(named, key, address.to_string(), allowed);
        }
        require(
            self.listen.tunnel != self.listen.peer,
            "listen.peer",
            self.listen.peer.to_string(),
            "another address than listen.tunnel",
        );
        let l = &self.limits;
        let bounds = [
            ("limits.flows", u64::from(l.flows), 1_000, 16_000_000),
            ("limits.quiet_flow_secs", l.quiet_flow_secs, 60, 86_400),
            ("limits.quiet_udp_secs", l.quiet_udp_secs, 1, 3_600),
            ("limits.leave_secs", l.leave_secs, 1, 600),
            ("limits.quiet_stop_secs", l.quiet_stop_secs, 1, 600),
            ("limits.stop_secs", l.stop_secs, 1, 86_400),
            ("limits.silence_secs", l.silence_secs, 2, 600),
            ("limits.probe_ms", l.probe_ms, 50, 60_000),
            ("limits.answer_rate", l.answer_rate, 0, 100_000_000_000),
        ];
        for (key, value, least, most) in bounds {
            let fits = (least..=most).contains(&value);
            require(fits, key, value.to_string(), allowed_range(key));
        }
    }

    /// Returns the fleet's hash key.
    pub fn flow_key(&self) -> HashKey {
        let mut key = [0u8; 16];
        for (at, byte) in key.iter_mut().enumerate() {
            let digits = self.hash_key.get(2 * at..2 * at + 2).unwrap_or("00");
            *byte = u8::from_str_radix(digits, 16).unwrap_or(0);
        }
        HashKey(key)
    }

    /// Returns the options of the core.
    pub fn node_options(&self) -> node::Options {
        let mut options = node::Options::default();
        let l = &self.limits;
        options.max_flows = l.flows as usize;
        options.expiry.established = Duration::from_secs(l.quiet_flow_secs);
        options.expiry.datagram = Duration::from_secs(l.quiet_udp_secs);
        options.leave_timeout = Duration::from_secs(l.leave_secs);
        options.silence_timeout = Duration::from_secs(l.silence_secs);
        options.load.probe_interval = Duration::from_millis(l.probe_ms);
        options.load.refuse = l.refuse;
        options
    }
}

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

fn override_number<T: std::str::FromStr>(
    name: &'static str,
    env: impl Fn(&str) -> Option<String>,
    value: &mut T,
    wrong: &mut Vec<WrongValue>,
) {
    let Some(text) = env(name) else {
        return;
    };
    match text.parse() {
        Ok(number) => *value = number,
        Err(_) => wrong.push(WrongValue {
            key: name,
            value: text,
            allowed: "a whole number that fits",
        }),
    }
}
