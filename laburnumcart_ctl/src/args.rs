//! Command line of each command.

use laburnumcart::unit;

use crate::{
    error,
    paths,
    settings, //
};

/// A command: its name, its arguments and one line on what it does.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// Name.
    pub name: &'static str,
    /// Arguments and its own options, as shown in the usage.
    pub usage: &'static str,
    /// What it does.
    pub about: &'static str,
    /// Options that take a value, with their help.
    options: &'static [(&'static str, &'static str, &'static str)],
    /// Fewest and most free arguments.
    free: (usize, usize),
}

const KEY: (&str, &str, &str) = ("key", "FILE", "file with the secret key");
const OUT: (&str, &str, &str) = ("out", "FILE", "file to write");
const ON: (&str, &str, &str) = ("on", "GENERATION", "succeed only on top of this generation");
const LIMIT: (&str, &str, &str) = ("limit", "PERIOD", "longest time to try, such as 10s");
const NAME: (&str, &str, &str) = ("name", "NAME", "name of the signer");

/// All commands.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "keygen",
        usage: "--name NAME --out FILE",
        about: "make a key that signs bundles",
        options: &[NAME, OUT],
        free: (0, 0),
    },
    Command {
        name: "check",
        usage: "FILE",
        about: "report every fault of a bundle",
        options: &[],
        free: (1, 1),
    },
    Command {
        name: "sign",
        usage: "FILE --key FILE --out FILE",
        about: "sign a bundle, or add a signature to a signed one",
        options: &[KEY, OUT],
        free: (1, 1),
    },
    Command {
        name: "verify",
        usage: "FILE",
        about: "verify a signed bundle as the fleet will",
        options: &[],
        free: (1, 1),
    },
    Command {
        name: "accept",
        usage: "FILE [--on GENERATION] [--limit PERIOD]",
        about: "put a signed bundle in force",
        options: &[ON, LIMIT],
        free: (1, 1),
    },
    Command {
        name: "rollback",
        usage: "GENERATION [--on GENERATION] [--limit PERIOD]",
        about: "put the bundle of an earlier generation in force, under a new one",
        options: &[ON, LIMIT],
        free: (1, 1),
    },
    Command {
        name: "status",
        usage: "[ADDRESS...]",
        about: "show the head and the state of the processes",
        options: &[],
        free: (0, usize::MAX),
    },
    Command {
        name: "gateways",
        usage: "ADDRESS...",
        about: "show what gateways know: evacuations, owners of queues, targets held back",
        options: &[],
        free: (1, usize::MAX),
    },
    Command {
        name: "drain",
        usage: "ADDRESS...",
        about: "let processes finish what they have and exit",
        options: &[],
        free: (1, usize::MAX),
    },
    Command {
        name: "teams",
        usage: "issue | digest < FILE | list FILE",
        about: "issue a token, digest one for the bundle, or list a bundle's teams",
        options: &[],
        free: (1, 2),
    },
    Command {
        name: "explain",
        usage: "ID FILE...",
        about: "tell from gateways' logs why a request ended as it did",
        options: &[],
        free: (2, usize::MAX),
    },
    Command {
        name: "times",
        usage: "FILE...",
        about: "tell from gateways' logs where requests spend their time, by route",
        options: &[],
        free: (1, usize::MAX),
    },
    Command {
        name: "schema",
        usage: "bundle | settings",
        about: "print the JSON Schema of bundles or of this program's settings",
        options: &[],
        free: (1, 1),
    },
];

/// What the command line asks for.
#[derive(Debug)]
pub enum Request {
    /// Print a text.
    Print(String),
    /// Run a command.
    Run(Args),
}

/// Arguments of one command.
#[derive(Debug)]
pub struct Args {
    /// The command.
    pub command: &'static Command,
    matches: getopts::Matches,
}

impl Args {
    /// Returns the free arguments.
    pub fn free(&self) -> &[String] {
        &self.matches.free
    }

    /// Returns the first free argument.
    pub fn first(&self) -> &str {
        self.free().first().map_or("", String::as_str)
    }

    /// Returns an option's value, which must be there.
    pub fn required(&self, name: &str) -> Result<String, error::Error> {
        let value = self.matches.opt_str(name);
        let Self { command, .. } = self;
        let missing = || {
            let (program, usage) = (command.name, command.usage);
            error::Error::Usage(format!(
                "--{name} is required: laburnumctl {program} {usage}"
            ))
        };
        value.ok_or_else(missing)
    }

    /// Returns an option's value.
    pub fn optional<T>(&self, name: &str) -> Result<Option<T>, error::Error>
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        let value = self.matches.opt_str(name);
        value.map(|text| parse_value(name, &text)).transpose()
    }

    /// Returns the longest time to try.
    pub fn limit(&self) -> Result<unit::Period, error::Error> {
        let limit = self.optional("limit")?;
        Ok(limit.unwrap_or(unit::Period::from_secs(20)))
    }

    /// Reads the settings.
    pub fn settings(&self) -> Result<settings::Checked, error::Error> {
        let file = self.matches.opt_str("settings");
        settings::Checked::load(file.as_deref().unwrap_or(paths::SETTINGS))
    }
}

/// Parses the value of an argument.
pub fn parse_value<T>(name: &str, text: &str) -> Result<T, error::Error>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let error = |e| error::Error::Usage(format!("{name}: {e}"));
    text.parse().map_err(error)
}

/// Parses the command line after the program's name.
pub fn parse(args: &[String]) -> Result<Request, error::Error> {
    let Some((name, rest)) = args.split_first() else {
        return Err(error::Error::Usage("no command".into()));
    };
    match name.as_str() {
        "--help" | "-h" | "help" => return Ok(Request::Print(overview())),
        "--version" | "-V" => {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Request::Print(format!("laburnumctl {version}")));
        }
        _ => {}
    }
    let command = COMMANDS.iter().find(|command| command.name == name);
    let command = command.ok_or_else(|| unknown(name))?;
    let matches = options(command).parse(rest);
    let matches = matches.map_err(|e| error::Error::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Request::Print(usage(command)));
    }
    let (least, most) = command.free;
    if !(least..=most).contains(&matches.free.len()) {
        let text = format!("usage: laburnumctl {} {}", command.name, command.usage);
        return Err(error::Error::Usage(text));
    }
    Ok(Request::Run(Args { command, matches }))
}

fn unknown(name: &str) -> error::Error {
    let names = COMMANDS.iter().map(|command| command.name);
    error::Error::Usage(laburnumcart::document::describe_unknown(
        "command", name, names,
    ))
}

fn options(command: &Command) -> getopts::Options {
    let mut options = getopts::Options::new();
    for (name, hint, help) in command.options {
        options.optopt("", name, help, hint);
    }
    let help = format!("file with the settings, {} unless set", paths::SETTINGS);
    options.optopt("s", "settings", &help, "FILE");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this text");
    options
}

fn usage(command: &Command) -> String {
    let brief = format!(
        "{}\n\nUsage: laburnumctl {} {}",
        command.about, command.name, command.usage
    );
    options(command).usage(&brief)
}

fn overview() -> String {
    let mut text = String::from("Operator command line.\n\nUsage: laburnumctl COMMAND ...\n\n");
    for command in COMMANDS {
        text += &format!("  {:<9} {}\n", command.name, command.about);
    }
    text += "\nExit codes: 0 done, 2 bad input, 3 conflict, 4 unavailable, 5 refused.\n\
             `laburnumctl COMMAND --help` tells more, `laburnumctl --version` its version.";
    text
}
