//! `schema`: JSON Schemas of the documents that operators write.

use laburnumcart::{
    bundle,
    document, //
};

use crate::{
    args,
    error,
    output,
    settings, //
};

/// Prints the JSON Schema of a document.
pub(super) fn schema(args: &args::Args) -> Result<output::Output, error::Error> {
    let schema = match args.first_positional() {
        "bundle" => document::schema::<bundle::Bundle>(),
        "settings" => document::schema::<settings::Settings>(),
        name => {
            let problem =
                document::describe_unknown("document", name, ["bundle", "settings"].into_iter());
            return Err(error::Error::Usage(problem));
        }
    };
    Ok(output::Output::from_json(schema))
}
