//! Extraction of the log lines that explain one request.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

/// Messages that report the state of a daemon; the latest one with each message is in effect.
const STATE_MESSAGES: [&str; 8] = [
    "configuration read",
    "store unreachable",
    "store reachable again",
    "slice holder read",
    "slice taken",
    // Logged by earlier versions instead of "store unreachable".
    "store lost",
    // Logged by earlier versions instead of "store reachable again".
    "store regained",
    // Logged by earlier versions instead of "slice holder read".
    "slice held",
];

type Entry = Map<String, Value>;

/// Collects the log lines of one request, preceded by the state of each host at that time.
pub struct RequestTrace {
    request_id: String,
    /// The latest state lines, by host, message and the table or data centre concerned.
    states: BTreeMap<(String, String, String), Entry>,
    entries: Vec<Entry>,
    lines_read: usize,
    unparsable_lines: Vec<usize>,
}

impl RequestTrace {
    /// Creates an empty trace of the request with the given id.
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            states: BTreeMap::new(),
            entries: Vec::new(),
            lines_read: 0,
            unparsable_lines: Vec::new(),
        }
    }

    /// Adds one log line; text before its JSON object is ignored.
    pub fn add_line(&mut self, line: &str) {
        self.lines_read += 1;
        if line.trim().is_empty() {
            return;
        }
        let json = line.find('{').map(|at| &line[at..]);
        let entry = json.and_then(|text| serde_json::from_str::<Entry>(text).ok());
        match entry {
            Some(entry) => self.add_entry(entry),
            None => self.unparsable_lines.push(self.lines_read),
        }
    }

    fn add_entry(&mut self, entry: Entry) {
        if text(&entry, "request_id") == self.request_id {
            self.add_states(&text(&entry, "host"));
            self.entries.push(entry);
            return;
        }
        let message = text(&entry, "message");
        if STATE_MESSAGES.contains(&message.as_str()) {
            let subject = text(&entry, "table") + &text(&entry, "data_centre");
            let key = (text(&entry, "host"), message, subject);
            self.states.insert(key, entry);
        }
    }

    /// Moves the pending state lines of `host` to the trace, in the order of their timestamps.
    fn add_states(&mut self, host: &str) {
        let of_host = |key: &(String, String, String)| key.0 == host;
        let keys: Vec<_> = self.states.keys().filter(|k| of_host(k)).cloned().collect();
        let states = keys.iter().filter_map(|key| self.states.remove(key));
        let mut states: Vec<Entry> = states.collect();
        states.sort_by_key(|entry| entry.get("at_ms").and_then(Value::as_u64));
        self.entries.append(&mut states);
    }

    /// Returns the log lines of the trace in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the numbers of the lines that could not be parsed, starting at 1.
    pub fn unparsable_lines(&self) -> &[usize] {
        &self.unparsable_lines
    }
}

fn text(entry: &Entry, key: &str) -> String {
    let value = entry.get(key).and_then(Value::as_str);
    value.unwrap_or_default().to_owned()
}
