//! Micro-kernel: service registry, background tasks and graceful shutdown.

use crate::{
    errors::{Error, Result},
    stage::{LifeStage, StageSignal},
};
use event_listener::Event;
use futures_util::{FutureExt, future::Future, pin_mut, select_biased};
use std::{
    any::Any,
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

/// `MicroKernel` is the service registry of a process and runs the tasks of its services.
#[derive(Debug)]
pub struct MicroKernel {
    services: RefCell<BTreeMap<String, Rc<dyn Any>>>,
    registration_order: RefCell<Vec<String>>,
    signal: StageSignal,
    work_tasks: Cell<usize>,
    idle: Event,
}

impl MicroKernel {
    /// Creates an empty kernel in the first life stage.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            services: RefCell::new(BTreeMap::new()),
            registration_order: RefCell::new(Vec::new()),
            signal: StageSignal::new(),
            work_tasks: Cell::new(0),
            idle: Event::new(),
        })
    }

    /// Registers a service under a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::AlreadyRegistered`] if the name is in use.
    pub fn register<T: 'static>(&self, name: &str, service: Rc<T>) -> Result<()> {
        let mut services = self.services.borrow_mut();
        if services.contains_key(name) {
            return Err(Error::already_registered(name));
        }
        services.insert(name.to_owned(), service);
        self.registration_order.borrow_mut().push(name.to_owned());
        Ok(())
    }

    /// Looks up the service registered under a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotRegistered`] if there is none, or [`Error::WrongType`] if it is not a `T`.
    pub fn find<T: 'static>(&self, name: &str) -> Result<Rc<T>> {
        let service = self.services.borrow().get(name).cloned();
        let service = service.ok_or_else(|| Error::not_registered(name))?;
        service
            .downcast::<T>()
            .map_err(|_| Error::wrong_type::<T>(name))
    }

    /// Returns the names of the services in order of registration.
    pub fn service_names(&self) -> Vec<String> {
        self.registration_order.borrow().clone()
    }

    /// Returns the signal that holds the current life stage.
    pub fn signal(&self) -> &StageSignal {
        &self.signal
    }

    /// Spawns a background task, which is cancelled when the process reaches [`LifeStage::Left`].
    pub fn spawn_service(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let kernel = Rc::clone(self);
        let wrapped_task = async move {
            let task = task.fuse();
            let shutdown = kernel.signal.wait_for(LifeStage::Left).fuse();
            pin_mut!(task, shutdown);
            select_biased! {
                () = shutdown => {}
                () = task => {}
            }
        };
        compio::runtime::spawn(wrapped_task).detach();
    }

    /// Spawns a task that a graceful shutdown waits for, such as the connection of a caller.
    pub fn spawn_work(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let kernel = Rc::clone(self);
        kernel.work_tasks.set(kernel.work_tasks.get() + 1);
        let wrapped_task = async move {
            // The guard decrements the counter even if the task panics.
            let _guard = WorkGuard(kernel);
            task.await;
        };
        compio::runtime::spawn(wrapped_task).detach();
    }

    /// Returns the number of running tasks that a graceful shutdown waits for.
    pub fn work_count(&self) -> usize {
        self.work_tasks.get()
    }

    /// Waits until all tasks of [`Self::spawn_work`] have ended.
    pub async fn wait_for_work(&self) {
        while self.work_tasks.get() > 0 {
            let listener = self.idle.listen();
            if self.work_tasks.get() == 0 {
                break;
            }
            listener.await;
        }
    }
}

struct WorkGuard(Rc<MicroKernel>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let remaining = self.0.work_tasks.get().saturating_sub(1);
        self.0.work_tasks.set(remaining);
        if remaining == 0 {
            self.0.idle.notify(usize::MAX);
        }
    }
}

/// Number of the interrupt signal, as sent by a terminal.
const SIGINT: i32 = 2;
/// Number of the signal that requests termination.
pub const SIGTERM: i32 = 15;
/// Number of the signal that requests a reload of the settings.
pub const SIGHUP: i32 = 1;

/// Keeps a handler for a signal registered until the process ends. Without it, a signal that arrives
/// between two waits triggers the default action, which terminates the process.
pub async fn keep_signal_handler(number: i32) {
    while compio::signal::unix::signal(number).await.is_ok() {}
}

/// Waits for `SIGTERM` or `SIGINT`.
pub async fn wait_for_stop_signal() {
    let interrupt = compio::signal::unix::signal(SIGINT).fuse();
    let terminate = compio::signal::unix::signal(SIGTERM).fuse();
    pin_mut!(interrupt, terminate);
    select_biased! {
        _ = interrupt => {}
        _ = terminate => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn registration_and_lookup_failures_are_typed_errors() {
        let kernel = MicroKernel::new();
        assert_eq!(
            kernel.find::<u8>("a").unwrap_err(),
            Error::not_registered("a")
        );
        kernel.register("a", Rc::new(1_u8)).unwrap();
        assert_eq!(
            kernel.register("a", Rc::new(2_u8)).unwrap_err(),
            Error::already_registered("a")
        );
        assert!(matches!(
            kernel.find::<u16>("a").unwrap_err(),
            Error::WrongType { .. }
        ));
        assert_eq!(*kernel.find::<u8>("a").unwrap(), 1);
    }

    #[test]
    fn stages_only_advance_and_wake_waiters() {
        let runtime = compio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let kernel = MicroKernel::new();
            let waiter = Rc::clone(&kernel);
            let task = compio::runtime::spawn(async move {
                waiter.signal().wait_for(LifeStage::Refusing).await;
                waiter.signal().stage()
            });
            kernel.signal().enter(LifeStage::Running);
            kernel.signal().enter(LifeStage::Finishing);
            kernel.signal().enter(LifeStage::Running);
            assert_eq!(task.await.unwrap(), LifeStage::Finishing);
        });
    }

    #[test]
    fn shutdown_waits_for_work() {
        let runtime = compio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let kernel = MicroKernel::new();
            let done = Rc::new(Cell::new(false));
            let flag = Rc::clone(&done);
            kernel.spawn_work(async move {
                compio::time::sleep(std::time::Duration::from_millis(20)).await;
                flag.set(true);
            });
            kernel.wait_for_work().await;
            assert!(done.get());
        });
    }
}
