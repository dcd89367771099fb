//! Stages of a process's life, and waiting for them.

use event_listener::Event;
use fighall_core::tag;
use std::cell::Cell;

tag! {
    /// `LifeStage` is how far a process is in its life. Stages only go forward.
    pub enum LifeStage {
        /// Services start.
        Starting,
        /// Work is taken.
        Running,
        /// Others are told that this process leaves; work is still taken.
        Announcing,
        /// New work is refused.
        Refusing,
        /// Work in flight ends.
        Finishing,
        /// Everything has ended.
        Left,
    }
}

/// `StageSignal` holds the current stage and wakes those who wait for a later one.
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

    /// Gets the current stage.
    pub fn stage(&self) -> LifeStage {
        self.stage.get()
    }

    /// Moves on to `stage`; an earlier stage than the current one is ignored.
    pub fn enter(&self, stage: LifeStage) {
        if stage > self.stage.get() {
            self.stage.set(stage);
            self.changed.notify(usize::MAX);
        }
    }

    /// Waits until `stage` or a later one is reached.
    pub async fn reached(&self, stage: LifeStage) {
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
