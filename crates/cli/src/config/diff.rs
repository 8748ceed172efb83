//! What differs between two configurations, item by item, as they are laid out: fields that this program does not
//! know count too, the order of columns does not.

use crate::table::cell;
use jzon::JsonValue;
use std::collections::{BTreeMap, BTreeSet};

/// Fields whose values are not for screens.
const SECRET: [&str; 1] = ["access_keys"];

type Item = BTreeMap<String, JsonValue>;

pub fn between(before: &JsonValue, after: &JsonValue) -> String {
    let mut out = String::new();
    let keys = |v: &JsonValue| v.entries().map(|(k, _)| k.to_string()).collect::<Vec<_>>();
    let all: BTreeSet<String> = keys(before).into_iter().chain(keys(after)).collect();
    for key in &all {
        let (old, new) = (&before[key.as_str()], &after[key.as_str()]);
        if old.has_key("row_set") || new.has_key("row_set") {
            if old.is_null() || new.is_null() {
                out.push_str(&format!("{} {key}\n", if old.is_null() { "+" } else { "-" }));
            }
            items(key, &table(old), &table(new), &mut out);
        } else if old.is_object() || new.is_object() {
            let flat = |v: &JsonValue| v.entries().map(|(k, v)| (k.to_string(), v.clone())).collect();
            fields(key, &flat(old), &flat(new), &mut out);
        } else if old != new {
            out.push_str(&format!("~ {key}: {} -> {}\n", cell(old), cell(new)));
        }
    }
    if out.is_empty() { "no difference\n".into() } else { out }
}

/// The items of a table by name; what is null counts as left out.
fn table(table: &JsonValue) -> BTreeMap<String, Item> {
    let columns: Vec<&str> = table["column_set"].members().filter_map(|c| c.as_str()).collect();
    let item = |row: &JsonValue| {
        let fields = columns.iter().zip(row.members()).filter(|(_, v)| !v.is_null());
        let item: Item = fields.map(|(c, v)| (c.to_string(), v.clone())).collect();
        (item.get("entity_name").map(cell).unwrap_or_default(), item)
    };
    table["row_set"].members().map(item).collect()
}

fn items(key: &str, old: &BTreeMap<String, Item>, new: &BTreeMap<String, Item>, out: &mut String) {
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        out.push_str(&format!("- {key} {name}\n"));
    }
    for (name, item) in new {
        match old.get(name) {
            None => {
                let fields = item.iter().filter(|(field, _)| *field != "entity_name");
                let fields = fields.map(|(field, v)| format!("{field} {}", shown(field, v)));
                out.push_str(&format!("+ {key} {name}: {}\n", fields.collect::<Vec<_>>().join(", ")));
            }
            Some(was) => fields(&format!("{key} {name}"), was, item, out),
        }
    }
}

fn fields(of: &str, old: &Item, new: &Item, out: &mut String) {
    let all: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for field in all {
        let (was, is) =
            (old.get(field).unwrap_or(&JsonValue::Null), new.get(field).unwrap_or(&JsonValue::Null));
        if was != is {
            out.push_str(&format!("~ {of} {field}: {} -> {}\n", shown(field, was), shown(field, is)));
        }
    }
}

fn shown(field: &str, value: &JsonValue) -> String {
    match SECRET.contains(&field) {
        true if !value.is_null() => format!("({} held back)", value.len()),
        _ => cell(value),
    }
}
