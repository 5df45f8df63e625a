//! Reads [`Settings`] from JSON, for the adapter and for the front end.
use crate::interface::*;
use crate::json::{array, as_number, as_object, as_str, boolean, count, millis, number, object, string};
use miniserde::json::{Object, Value};

/// Drain grace if the settings do not state it, in microseconds.
const DRAIN_GRACE: Micros = 1_000_000;

impl Settings {
    /// Reads the simulator's `conf` object or the `settings` object of the platform's configuration.
    /// Unknown keys are ignored; an absent key counts as not stated.
    pub fn from_json(conf: &Object) -> Settings {
        let empty = Object::new();
        let section = |key: &str| object(conf, key).unwrap_or(&empty);
        let (limits, rules, family) = (section("limits"), section("rules"), section("family-info"));
        let items = |key: &str| array(conf, key).iter().filter_map(as_object);
        let class = |c: &Object| ClassSettings {
            name: string(c, "name").unwrap_or_default().to_owned(),
            retry_safety: match string(c, "effect") {
                Some("retryable") => RetrySafety::Safe,
                Some("dedup") => RetrySafety::Deduplicated,
                _ => RetrySafety::Unsafe,
            },
            dedup_scope: match string(c, "key-scope") {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Cell,
            },
            dedup_window: millis(c, "memory-span"),
            latency_target: millis(c, "goal-time"),
            client_timeout: millis(c, "give-up"),
            worth: number(c, "worth").unwrap_or(0.0),
        };
        let tenant = |t: &Object| TenantSettings {
            name: string(t, "name").unwrap_or_default().to_owned(),
            quota_per_s: number(t, "quota-per-s").unwrap_or(0.0),
        };
        let max_retry_after =
            if boolean(limits, "retry-after") { millis(limits, "max-retry-after") } else { 0 };
        Settings {
            front_ends: count(conf, "balancers"),
            index: count(conf, "index"),
            classes: items("classes").map(class).collect(),
            tenants: items("tenants").map(tenant).collect(),
            zones: names(array(conf, "failure-domains")),
            machine_types: names(array(conf, "flavors")),
            over_quota_worth: number(conf, "over-share-worth").unwrap_or(0.0),
            machine_memory_mb: array(family, "machine-mb")
                .iter()
                .map(|m| as_number(m).unwrap_or(0.0))
                .collect(),
            keep_alive: millis(family, "keep"),
            load_on_miss: string(family, "when-absent") == Some("load"),
            may_command: boolean(family, "orders"),
            command_timeout: millis(family, "load-wait"),
            load_window: millis(family, "load-span"),
            free_loads: number(family, "free-loads").unwrap_or(0.0),
            loads_per_request: number(family, "loads-per-request").unwrap_or(0.0),
            max_attempts: count(limits, "max-attempts"),
            may_cancel: boolean(limits, "may-cancel"),
            may_hedge: boolean(limits, "second-copies"),
            max_retry_after,
            probe_cost: number(section("deductions"), "probe").unwrap_or(0.0),
            connect_timeout: millis(limits, "connect-timeout"),
            connection_idle_timeout: millis(limits, "conn-idle"),
            streams_per_connection: count(limits, "streams-per-conn"),
            cold_capacity: number(rules, "cold-from").unwrap_or(0.0),
            warm_up_time: millis(rules, "warm-within"),
            overload_multiple: number(rules, "fall-multiple").unwrap_or(0.0),
            overload_window: millis(rules, "fall"),
            must_subscribe: string(conf, "registry-mode") == Some("ask"),
            drain_grace: number(rules, "drain-grace").map_or(DRAIN_GRACE, |_| millis(rules, "drain-grace")),
            may_probe: boolean(limits, "probes"),
            function_memory: 0, // a property of the process, not of the deployment
        }
    }

    /// Index of a class by its name; the number of classes if it is unknown.
    pub fn class_index(&self, name: &str) -> usize {
        self.classes.iter().position(|c| c.name == name).unwrap_or(self.classes.len())
    }

    /// Index of a tenant by its name.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t.name == name)
    }
}

fn names(values: &[Value]) -> Vec<String> {
    let name =
        |v: &Value| as_object(v).map_or(as_str(v), |o| string(o, "name")).unwrap_or_default().to_owned();
    values.iter().map(name).collect()
}
