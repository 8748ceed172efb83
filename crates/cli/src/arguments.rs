//! What several commands read of their arguments.

use crate::error::CommandError;
use clap::ArgMatches;

/// The text of an argument; empty where it was not given.
pub fn text_of<'a>(given: &'a ArgMatches, id: &str) -> &'a str {
    given.get_one::<String>(id).map_or("", String::as_str)
}

/// The text of an argument that names something, and so is not empty. `value_name`: as the help calls it.
pub fn name_of<'a>(given: &'a ArgMatches, id: &str, value_name: &str) -> Result<&'a str, CommandError> {
    match text_of(given, id) {
        "" => Err(CommandError::Usage(format!("{value_name}: expected a name that is not empty"))),
        name => Ok(name),
    }
}
