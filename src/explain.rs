//! The story of one request, from the log lines of its daemons.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

/// Messages of lines that tell what a daemon believes, of which the last one stands.
const BELIEFS: [&str; 5] = [
    "configuration read",
    "store lost",
    "store regained",
    "slice held",
    "slice taken",
];

type Entry = Map<String, Value>;

/// Collects the lines of one request, each host's behind the beliefs that it held then.
pub struct RequestTrace {
    request_id: String,
    /// The last line of each belief, by host, message and the table or data centre it is about.
    beliefs: BTreeMap<(String, String, String), Entry>,
    entries: Vec<Entry>,
    lines: usize,
    unparsable_lines: Vec<usize>,
}

impl RequestTrace {
    /// Makes the story of a request of which nothing was read yet.
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            beliefs: BTreeMap::new(),
            entries: Vec::new(),
            lines: 0,
            unparsable_lines: Vec::new(),
        }
    }

    /// Takes one line; text in front of its JSON object is passed over.
    pub fn add_line(&mut self, line: &str) {
        self.lines += 1;
        if line.trim().is_empty() {
            return;
        }
        let object = line.find('{').map(|at| &line[at..]);
        let entry = object.and_then(|text| serde_json::from_str::<Entry>(text).ok());
        match entry {
            Some(entry) => self.take(entry),
            None => self.unparsable_lines.push(self.lines),
        }
    }

    fn take(&mut self, entry: Entry) {
        if text(&entry, "request_id") == self.request_id {
            self.add_beliefs(&text(&entry, "host"));
            self.entries.push(entry);
            return;
        }
        let message = text(&entry, "message");
        if BELIEFS.contains(&message.as_str()) {
            let about = text(&entry, "table") + &text(&entry, "data_centre");
            let key = (text(&entry, "host"), message, about);
            self.beliefs.insert(key, entry);
        }
    }

    /// Adds what `host` believes, once, in the order in which it came to believe it.
    fn add_beliefs(&mut self, host: &str) {
        let of_host = |key: &(String, String, String)| key.0 == host;
        let keys: Vec<_> = self
            .beliefs
            .keys()
            .filter(|k| of_host(k))
            .cloned()
            .collect();
        let held = keys.iter().filter_map(|key| self.beliefs.remove(key));
        let mut held: Vec<Entry> = held.collect();
        held.sort_by_key(|entry| entry.get("at_ms").and_then(Value::as_u64));
        self.entries.append(&mut held);
    }

    /// Returns the lines of the story, in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the numbers of the lines that could not be read, from 1.
    pub fn unparsable_lines(&self) -> &[usize] {
        &self.unparsable_lines
    }
}

fn text(entry: &Entry, key: &str) -> String {
    let value = entry.get(key).and_then(Value::as_str);
    value.unwrap_or_default().to_owned()
}
