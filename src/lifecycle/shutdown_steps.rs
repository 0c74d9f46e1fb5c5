//! Steps of a graceful shutdown after the last request.

use std::{future::Future, pin::Pin, time::Duration};

use monoio::time::timeout;

struct Step {
    name: &'static str,
    work: Pin<Box<dyn Future<Output = ()>>>,
}

/// Steps of a graceful shutdown after the last request, such as handing over leases.
#[derive(Default)]
pub struct ShutdownSteps {
    steps: Vec<Step>,
}

impl ShutdownSteps {
    /// Adds a step that runs after those added before it.
    pub fn add(&mut self, name: &'static str, work: impl Future<Output = ()> + 'static) {
        let work = Box::pin(work);
        self.steps.push(Step { name, work });
    }

    /// Runs the steps in order, each for at most `limit`.
    pub async fn run(self, limit: Duration) {
        for step in self.steps {
            if timeout(limit, step.work).await.is_err() {
                log::error!("shutdown step '{}' timed out", step.name);
            }
        }
    }
}
