//! KServe v2 workers from a file: endpoints in Envoy's xDS JSON form.
use crate::messages::{Member, Speech};
use heronslip_policy::json::{list, object, part, span, text, whole};
use heronslip_policy::WorkerState;
use miniserde::json::{Object, Value};

/// Parses the workers in an xDS discovery response (or a single resource) of `ClusterLoadAssignment`s. Each endpoint's
/// `metadata.filter_metadata["heronslip"]` holds what this front end needs beyond xDS.
///
/// # Errors
/// Returns which required field is missing or invalid.
pub fn parse_endpoints(response: &Object) -> Result<Vec<Member>, String> {
    let single = [Value::Object(response.clone())];
    let resources = if response.contains_key("resources") { list(response, "resources") } else { &single };
    let mut members = Vec::new();
    let empty = Object::new();
    for assignment in resources.iter().filter_map(object) {
        for locality in list(assignment, "endpoints").iter().filter_map(object) {
            let zone = part(locality, "locality").and_then(|l| text(l, "zone")).unwrap_or_default();
            for lb in list(locality, "lb_endpoints").iter().filter_map(object) {
                let socket = part(lb, "endpoint")
                    .and_then(|e| part(e, "address"))
                    .and_then(|a| part(a, "socket_address"))
                    .ok_or("an lb_endpoint without endpoint.address.socket_address")?;
                let host = text(socket, "address").ok_or("a socket_address without address")?;
                let port = whole(socket, "port_value").ok_or("a socket_address without port_value")?;
                let address = format!("{host}:{port}");
                let metadata = part(lb, "metadata").and_then(|m| part(m, "filter_metadata"));
                let metadata = metadata.and_then(|m| part(m, "heronslip")).unwrap_or(&empty);
                members.push(Member {
                    id: text(metadata, "id").unwrap_or(&address).to_owned(),
                    address: address.parse().map_err(|_| format!("not an IP address and port: {address}"))?,
                    // As in Envoy, an endpoint of unknown health counts as healthy.
                    state: match text(lb, "health_status") {
                        None | Some("UNKNOWN" | "HEALTHY" | "DEGRADED") => WorkerState::Ready,
                        Some("DRAINING") => WorkerState::Draining,
                        _ => WorkerState::Gone,
                    },
                    started_at: span(metadata, "started_at_ms"),
                    zone: zone.to_owned(),
                    kind: text(metadata, "kind").unwrap_or_default().to_owned(),
                    cell: whole(metadata, "cell").unwrap_or(0),
                    speech: Speech::Kserve,
                });
            }
        }
    }
    Ok(members)
}
