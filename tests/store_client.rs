//! What the clients of the stores make of statuses.

use std::{mem::ManuallyDrop, rc::Rc};

use bytes::Bytes;
use chervillug::{
    platform::RowClient,
    store::{read_part, RowPut, RowStore as _, StoreError, WriteOutcome},
};
use monoio::{LegacyDriver, RuntimeBuilder};
use standins::{free_address, RowStore, RowStoreFaults};

fn refuse_with(refuse_with: Option<u16>) -> RowStoreFaults {
    RowStoreFaults {
        refuse_with,
        ..RowStoreFaults::default()
    }
}

#[test]
fn only_a_status_that_promises_it_means_that_nothing_took_effect() {
    struct Case {
        status: u16,
        error: StoreError,
    }
    let cases = [
        (400, StoreError::Refused),
        (403, StoreError::Refused),
        (429, StoreError::Refused),
        (503, StoreError::Refused),
        (507, StoreError::Refused),
        (500, StoreError::BadAnswer),
        (502, StoreError::BadAnswer),
        (504, StoreError::BadAnswer),
        (302, StoreError::BadAnswer),
        (204, StoreError::BadAnswer),
    ];
    let store = RowStore::start(free_address().unwrap()).expect("a store");
    let client = RowClient::new(store.address(), Rc::default());
    let put = RowPut {
        table: "t",
        part: "p".to_owned(),
        key: "k".to_owned(),
        expected: None,
        value: Bytes::from_static(b"v"),
    };
    let mut runtime = ManuallyDrop::new(
        RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("a runtime"),
    );
    runtime.block_on(async {
        for case in cases.map(|(status, error)| Case { status, error }) {
            store.set_faults(refuse_with(Some(case.status)));
            let written = client.write(std::slice::from_ref(&put)).await;
            assert_eq!(written, Err(case.error), "write, status {}", case.status);
            let read = client.read("t", "p", "").await;
            assert_eq!(
                read.map(|_| ()),
                Err(case.error),
                "read, status {}",
                case.status
            );
        }
        store.set_faults(refuse_with(None));
        let written = client.write(std::slice::from_ref(&put)).await;
        assert!(matches!(written, Ok(WriteOutcome::Committed { .. })));
    });
}

/// Guards against a read of a table that never ends, or misses rows, since the key of a page's last
/// row has a meaning in a query.
#[test]
fn rows_with_odd_keys_are_read_page_by_page() {
    let store = RowStore::start(free_address().unwrap()).expect("a store");
    let mut runtime = ManuallyDrop::new(
        RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("a runtime"),
    );
    let client = RowClient::new(store.address(), Rc::default());
    for (table, odd) in [("plain", "k-"), ("odd", "k&from=#%41 +?="), ("wide", "ké")] {
        let keys: Vec<String> = (0..1200).map(|i| format!("{odd}{i:04}")).collect();
        keys.iter().for_each(|key| store.put(table, key, b"v"));
        let read = runtime.block_on(async {
            let read = read_part(&client, table, "");
            monoio::time::timeout(std::time::Duration::from_secs(5), read).await
        });
        let read = read
            .unwrap_or_else(|_| panic!("{table}: no end"))
            .expect("no rows");
        let read: Vec<&str> = read.rows.iter().map(|r| r.key.as_str()).collect();
        assert!(read == keys, "{table}: {} rows", read.len());
    }
}
