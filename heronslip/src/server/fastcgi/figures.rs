//! The list of further figures of a request: `name:value` items, separated by semicolons.
use crate::server::validation::{Field, Figures, InvalidRequest};

/// Parses a list such as `memory_mb:512;lanes:2;load_ms:640`. It may be empty, and may end with a separator.
/// Figures under other names are ignored, but must be numbers or booleans too.
///
/// # Errors
/// Fails unless the whole list has this form and states each figure once.
pub fn parse_figures(list: &str) -> Result<Figures, InvalidRequest> {
    let mut figures = Figures::default();
    if list.trim().is_empty() {
        return Ok(figures);
    }
    for item in list.strip_suffix(';').unwrap_or(list).split(';') {
        let (name, value) = item.split_once(':').ok_or(InvalidRequest::Malformed(Field::Figures))?;
        let (name, value) = (name.trim(), value.trim());
        let (figure, field) = match name {
            "memory_mb" => (&mut figures.memory_mb, Field::Memory),
            "lanes" => (&mut figures.lanes, Field::Lanes),
            "load_ms" => (&mut figures.load_ms, Field::LoadTime),
            _ if is_name(name) && is_figure(value) => continue,
            _ => return Err(InvalidRequest::Malformed(Field::Figures)),
        };
        let number = value.parse().map_err(|_| InvalidRequest::Malformed(field))?;
        if figure.is_some_and(|stated| stated != number) {
            return Err(InvalidRequest::Ambiguous(field));
        }
        *figure = Some(number);
    }
    Ok(figures)
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"_-.".contains(&b))
}

fn is_figure(text: &str) -> bool {
    text.parse::<bool>().is_ok() || text.parse::<f64>().is_ok_and(f64::is_finite)
}
