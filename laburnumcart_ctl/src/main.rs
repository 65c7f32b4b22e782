//! Entry point of `laburnumctl`.

use std::{
    env,
    process, //
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    laburnumcart_ctl::run(env::args().skip(1)).await
}
