//! KServe v2 workers from a file: endpoints in Envoy's xDS JSON form.
use crate::messages::{Member, Speech};
use heronslip_policy::json::{array, as_object, millis, object, string, unsigned};
use heronslip_policy::WorkerState;
use miniserde::json::{Object, Value};

/// Members of an xDS discovery response (or a single resource) of `ClusterLoadAssignment`s. What this
/// project needs beyond xDS stands in each endpoint's `metadata.filter_metadata["heronslip"]`.
pub fn endpoints(response: &Object) -> Result<Vec<Member>, String> {
    let single = [Value::Object(response.clone())];
    let resources = if response.contains_key("resources") { array(response, "resources") } else { &single };
    let mut members = Vec::new();
    let empty = Object::new();
    for assignment in resources.iter().filter_map(as_object) {
        for locality in array(assignment, "endpoints").iter().filter_map(as_object) {
            let zone = object(locality, "locality").and_then(|l| string(l, "zone")).unwrap_or_default();
            for lb in array(locality, "lb_endpoints").iter().filter_map(as_object) {
                let socket = object(lb, "endpoint")
                    .and_then(|e| object(e, "address"))
                    .and_then(|a| object(a, "socket_address"))
                    .ok_or("an endpoint without endpoint.address.socket_address")?;
                let host = string(socket, "address").ok_or("a socket_address without address")?;
                let port = unsigned(socket, "port_value").ok_or("a socket_address without port_value")?;
                let address = format!("{host}:{port}");
                let own = object(lb, "metadata").and_then(|m| object(m, "filter_metadata"));
                let own = own.and_then(|m| object(m, "heronslip")).unwrap_or(&empty);
                members.push(Member {
                    id: string(own, "id").unwrap_or(&address).to_owned(),
                    address: address.parse().map_err(|_| format!("not an address: {address}"))?,
                    // As Envoy reads it: what is not told counts as healthy.
                    state: match string(lb, "health_status") {
                        None | Some("UNKNOWN" | "HEALTHY" | "DEGRADED") => WorkerState::Ready,
                        Some("DRAINING") => WorkerState::Draining,
                        _ => WorkerState::Gone,
                    },
                    started_at: millis(own, "started_at_ms"),
                    zone: zone.to_owned(),
                    kind: string(own, "kind").unwrap_or_default().to_owned(),
                    cell: unsigned(own, "cell").unwrap_or(0),
                    speech: Speech::Kserve,
                });
            }
        }
    }
    Ok(members)
}
