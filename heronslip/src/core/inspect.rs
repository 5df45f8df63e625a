//! The core's state as JSON, for the administration API.
use super::Core;
use miniserde::json::{self, Number, Object, Value};

impl Core {
    /// Tenants with their quotas and counters, workers, and the number of open requests, as JSON.
    pub(super) fn state_json(&self) -> String {
        let object = |fields: Vec<(&str, Value)>| {
            Value::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect::<Object>())
        };
        let count = |n: u64| Value::Number(Number::U64(n));
        let tenants = self.tenant_counters.iter().enumerate().map(|(index, counters)| {
            let tenant = self.settings.tenants.get(index);
            object(vec![
                ("name", Value::String(tenant.map_or("(unknown)", |t| &t.name).to_owned())),
                ("quota_per_s", Value::Number(Number::F64(tenant.map_or(0.0, |t| t.quota_per_s)))),
                ("asked", count(counters.received)),
                ("served", count(counters.served)),
                ("refused", count(counters.refused)),
                ("failed", count(counters.failed)),
                ("withdrawn", count(counters.cancelled)),
            ])
        });
        let endpoints = self.workers.values().map(|worker| {
            let listing = &worker.listing;
            object(vec![
                ("name", Value::String(listing.id.clone())),
                ("address", Value::String(listing.address.to_string())),
                ("state", Value::String(format!("{:?}", listing.state).to_lowercase())),
                ("zone", Value::String(listing.zone.clone())),
                ("speech", Value::String(format!("{:?}", listing.protocol).to_lowercase())),
            ])
        });
        let fields = vec![
            ("tenants", Value::Array(tenants.collect())),
            ("endpoints", Value::Array(endpoints.collect())),
            ("open_requests", count(self.requests.len() as u64)),
        ];
        json::to_string(&object(fields))
    }
}
