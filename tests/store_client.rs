//! What the clients of the stores make of statuses.

use std::{mem::ManuallyDrop, rc::Rc};

use bytes::Bytes;
use chervillug::{
    platform::RowClient,
    store::{RowPut, RowStore as _, StoreError, WriteOutcome},
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
