//! Parser of the command line: the commands, their options and help texts.

use laburnumcart::unit;

use crate::{
    error,
    paths,
    settings, //
};

/// A command with its arguments and help.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// Arguments and options of the command, as the usage line shows them.
    pub usage: &'static str,
    /// One-line description for the help.
    pub about: &'static str,
    /// Options that take a value: name, placeholder of the value and help text.
    ///
    /// An option whose placeholder ends in `...` may be repeated.
    options: &'static [(&'static str, &'static str, &'static str)],
    /// Smallest and largest number of positional arguments.
    positional: (usize, usize),
}

const KEY: (&str, &str, &str) = ("key", "FILE", "file with the secret key");
const OUT: (&str, &str, &str) = ("out", "FILE", "file to write");
const ON: (&str, &str, &str) = (
    "on",
    "GENERATION",
    "succeed only if this is the accepted generation",
);
const LIMIT: (&str, &str, &str) = ("limit", "PERIOD", "time limit of the change, such as 10s");
const NAME: (&str, &str, &str) = ("name", "NAME", "name of the signer");

/// All commands.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "keygen",
        usage: "--name NAME --out FILE",
        about: "generate a key that signs bundles",
        options: &[NAME, OUT],
        positional: (0, 0),
    },
    Command {
        name: "check",
        usage: "FILE",
        about: "report every fault of a bundle",
        options: &[],
        positional: (1, 1),
    },
    Command {
        name: "sign",
        usage: "FILE --key FILE --out FILE",
        about: "sign a bundle, or add a signature to a signed one",
        options: &[KEY, OUT],
        positional: (1, 1),
    },
    Command {
        name: "verify",
        usage: "FILE",
        about: "verify a signed bundle by the same rules as the fleet",
        options: &[],
        positional: (1, 1),
    },
    Command {
        name: "accept",
        usage: "FILE [--on GENERATION] [--limit PERIOD]",
        about: "put a signed bundle in force",
        options: &[ON, LIMIT],
        positional: (1, 1),
    },
    Command {
        name: "rollback",
        usage: "GENERATION [--on GENERATION] [--limit PERIOD]",
        about: "put the bundle of an earlier generation in force, under a new one",
        options: &[ON, LIMIT],
        positional: (1, 1),
    },
    Command {
        name: "status",
        usage: "[ADDRESS...]",
        about: "show the accepted generations and the state of the processes",
        options: &[],
        positional: (0, usize::MAX),
    },
    Command {
        name: "gateways",
        usage: "ADDRESS...",
        about: "show the state of gateways: evacuations, queue owners, restricted targets",
        options: &[],
        positional: (1, usize::MAX),
    },
    Command {
        name: "route",
        usage: "--gateway ADDRESS --host HOST --path PATH [--method METHOD] [--team TEAM] \
                [--tokens N] [--part ID:TOKENS]...",
        about: "show where a gateway would send a request now, and why, without sending it",
        options: &[
            ("gateway", "ADDRESS", "admin address of the gateway"),
            ("host", "HOST", "host of the request"),
            ("path", "PATH", "path of the request"),
            ("method", "METHOD", "HTTP method, by default POST"),
            ("team", "TEAM", "team of the caller"),
            ("tokens", "N", "tokens of the prompt"),
            ("part", "ID:TOKENS...", "part of the prompt, in order"),
        ],
        positional: (0, 0),
    },
    Command {
        name: "drain",
        usage: "ADDRESS...",
        about: "shut processes down after their work in progress has completed",
        options: &[],
        positional: (1, usize::MAX),
    },
    Command {
        name: "teams",
        usage: "issue | digest < FILE | list FILE",
        about: "issue a token, digest one for the bundle, or list a bundle's teams",
        options: &[],
        positional: (1, 2),
    },
    Command {
        name: "explain",
        usage: "ID FILE...",
        about: "explain the outcome of a request from the logs of gateways",
        options: &[],
        positional: (2, usize::MAX),
    },
    Command {
        name: "times",
        usage: "FILE...",
        about: "show where requests spend their time, by route, from the logs of gateways",
        options: &[],
        positional: (1, usize::MAX),
    },
    Command {
        name: "schema",
        usage: "bundle | settings",
        about: "print the JSON Schema of bundles or of this program's settings",
        options: &[],
        positional: (1, 1),
    },
];

/// Action that the command line requests.
#[derive(Debug)]
pub enum Action {
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
    /// Returns the positional arguments.
    pub fn positional(&self) -> &[String] {
        &self.matches.free
    }

    /// Returns the first positional argument; empty if there is none.
    pub fn first_positional(&self) -> &str {
        self.positional().first().map_or("", String::as_str)
    }

    /// Returns the value of an option, or a usage error if it is missing.
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

    /// Returns the parsed value of an option, if it is set.
    pub fn optional<T>(&self, name: &str) -> Result<Option<T>, error::Error>
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        let value = self.matches.opt_str(name);
        value.map(|text| parse_value(name, &text)).transpose()
    }

    /// Returns the parsed values of an option that may be repeated, in order.
    pub fn repeated<T>(&self, name: &str) -> Result<Vec<T>, error::Error>
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        let values = self.matches.opt_strs(name);
        values.iter().map(|text| parse_value(name, text)).collect()
    }

    /// Returns the time limit of a change, by default 20 s.
    pub fn time_limit(&self) -> Result<unit::Period, error::Error> {
        let limit = self.optional("limit")?;
        Ok(limit.unwrap_or(unit::Period::from_secs(20)))
    }

    /// Reads and validates the settings file.
    pub fn settings(&self) -> Result<settings::Validated, error::Error> {
        let file = self.matches.opt_str("settings");
        settings::Validated::load(file.as_deref().unwrap_or(paths::SETTINGS))
    }
}

/// Parses the value of an argument; `name` identifies it in the error.
pub fn parse_value<T>(name: &str, text: &str) -> Result<T, error::Error>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let error = |e| error::Error::Usage(format!("{name}: {e}"));
    text.parse().map_err(error)
}

/// Parses the command line without the name of the program.
pub fn parse(args: &[String]) -> Result<Action, error::Error> {
    let Some((name, rest)) = args.split_first() else {
        return Err(error::Error::Usage("no command".into()));
    };
    match name.as_str() {
        "--help" | "-h" | "help" => return Ok(Action::Print(overview())),
        "--version" | "-V" => {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Action::Print(format!("laburnumctl {version}")));
        }
        _ => {}
    }
    let command = COMMANDS.iter().find(|command| command.name == name);
    let command = command.ok_or_else(|| unknown_command(name))?;
    let matches = options(command).parse(rest);
    let matches = matches.map_err(|e| error::Error::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Action::Print(usage(command)));
    }
    let (min, max) = command.positional;
    if !(min..=max).contains(&matches.free.len()) {
        let text = format!("usage: laburnumctl {} {}", command.name, command.usage);
        return Err(error::Error::Usage(text));
    }
    Ok(Action::Run(Args { command, matches }))
}

fn unknown_command(name: &str) -> error::Error {
    let names = COMMANDS.iter().map(|command| command.name);
    error::Error::Usage(laburnumcart::document::describe_unknown(
        "command", name, names,
    ))
}

fn options(command: &Command) -> getopts::Options {
    let mut options = getopts::Options::new();
    for (name, hint, help) in command.options {
        match hint.strip_suffix("...") {
            Some(hint) => options.optmulti("", name, help, hint),
            None => options.optopt("", name, help, hint),
        };
    }
    let help = format!("settings file, by default {}", paths::SETTINGS);
    options.optopt("s", "settings", &help, "FILE");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help");
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
             `laburnumctl COMMAND --help` shows the options, `laburnumctl --version` the version.";
    text
}
