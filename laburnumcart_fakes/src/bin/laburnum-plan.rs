//! Writes the settings of a demo to a directory.

use std::process;

use getopts::Options;
use laburnumcart_fakes::{
    demo::{
        self,
        layout,
        shape, //
    },
    program,
};

/// Default first port.
const DEFAULT_BASE_PORT: u16 = 17_000;

/// Parsed arguments.
struct Arguments {
    layout: layout::Layout,
    dir: String,
    keys: Vec<(String, String)>,
}

fn main() -> process::ExitCode {
    program::run(
        "laburnum-plan",
        "--dir DIR --key NAME=BASE64",
        &options(),
        parse,
        run,
    )
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt(
            "",
            "shape",
            "services and teams (both)",
            "araya|quetzal|both",
        )
        .optopt("", "size", "number of targets (small)", "small|brief")
        .reqopt("", "dir", "directory to write", "DIR")
        .optopt("", "pace", "factor on the times of targets (1)", "N")
        .optopt("", "base-port", "first port (17000)", "PORT")
        .optmulti("", "key", "public key that signs bundles", "NAME=BASE64")
        .optflag("h", "help", "show this text");
    options
}

fn parse(options: &Options, arguments: &[String]) -> program::Result<Arguments> {
    let matches = options.parse(arguments)?;
    let shape = matches.opt_get_default("shape", shape::Shape::Both)?;
    let size = matches.opt_get_default("size", shape::Size::Small)?;
    let base_port = matches.opt_get_default("base-port", DEFAULT_BASE_PORT)?;
    let keys = matches.opt_strs("key");
    let key = |text: &String| {
        let pair = text.split_once('=').ok_or("--key is not NAME=BASE64")?;
        Ok((pair.0.into(), pair.1.into()))
    };
    let mut layout = layout::Layout::new(shape, size, base_port);
    layout.time_factor = matches.opt_get_default("pace", layout.time_factor)?.max(1);
    Ok(Arguments {
        layout,
        dir: matches.opt_str("dir").unwrap_or_default(),
        keys: keys.iter().map(key).collect::<program::Result<_>>()?,
    })
}

fn run(arguments: Arguments) -> program::Result<()> {
    demo::write(&arguments.layout, &arguments.dir, &arguments.keys)?;
    Ok(())
}
