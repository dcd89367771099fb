//! Life stages of a process.

use event_listener::Event;
use fighall_core::tag;
use std::cell::Cell;

tag! {
    /// `LifeStage` is a stage of a process from start to shutdown. Stages are ordered and only advance.
    pub enum LifeStage {
        /// Services are being started.
        Starting,
        /// Work is accepted.
        Running,
        /// The shutdown is announced to other hosts; work is still accepted.
        Announcing,
        /// New work is refused.
        Refusing,
        /// Work in flight is completed.
        Finishing,
        /// All work has ended; background tasks are cancelled.
        Left,
    }
}

/// `StageSignal` holds the current stage and wakes tasks that wait for a later one.
#[derive(Debug)]
pub struct StageSignal {
    stage: Cell<LifeStage>,
    changed: Event,
}

impl StageSignal {
    /// Creates a signal in the first stage.
    pub fn new() -> Self {
        Self {
            stage: Cell::new(LifeStage::Starting),
            changed: Event::new(),
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> LifeStage {
        self.stage.get()
    }

    /// Advances to `stage`; ignored unless it is later than the current stage.
    pub fn enter(&self, stage: LifeStage) {
        if stage > self.stage.get() {
            self.stage.set(stage);
            self.changed.notify(usize::MAX);
        }
    }

    /// Waits until `stage` or a later one is reached.
    pub async fn wait_for(&self, stage: LifeStage) {
        while self.stage.get() < stage {
            let listener = self.changed.listen();
            if self.stage.get() >= stage {
                break;
            }
            listener.await;
        }
    }
}

impl Default for StageSignal {
    fn default() -> Self {
        Self::new()
    }
}
