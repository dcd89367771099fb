//! Service registry, task life cycles and staged shutdown.
//!
//! ```
//! use fighall_kernel::kernel::MicroKernel;
//! use std::rc::Rc;
//!
//! let kernel = MicroKernel::new();
//! kernel.register("answers", Rc::new(42_u32)).unwrap();
//! let answer = kernel.find::<u32>("answers").unwrap();
//! assert_eq!(*answer, 42);
//! ```

#![forbid(unsafe_code)]

pub mod errors;
pub mod kernel;
pub mod program;
pub mod stage;
pub mod turn;
