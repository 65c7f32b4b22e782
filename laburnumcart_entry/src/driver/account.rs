//! What a request took, and the body of its answer.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value;

use laburnumcart::{
    id,
    unit,
    verdict, //
};

use crate::request;

/// What one stage took.
#[derive(Clone, Debug, Serialize)]
pub struct Account {
    /// Name of the stage.
    pub name: id::StageName,
    /// Target that executed it.
    pub target: id::TargetName,
    /// Number of attempts.
    pub attempts: u32,
    /// Time that the target spent on it.
    pub busy: unit::Period,
    /// Time that it waited at the agent.
    pub queued: unit::Period,
}

/// Body of a whole answer.
#[derive(Debug, Serialize)]
pub struct Answer<'a> {
    request: id::RequestId,
    generation: id::Generation,
    output: Option<Box<value::RawValue>>,
    stages: &'a [Account],
}

impl Answer<'_> {
    /// Writes the body of a whole answer as JSON text.
    pub fn text(
        head: &request::Head,
        output: Option<Box<value::RawValue>>,
        stages: &[Account],
    ) -> Result<String, verdict::Refusal> {
        let answer = Answer {
            request: head.id,
            generation: head.rules.generation,
            output,
            stages,
        };
        serde_json::to_string(&answer)
            .map_err(|_| verdict::Refusal::may_have_run(verdict::Reason::Corrupt))
    }
}

/// Output of a stage that generates text.
#[derive(Deserialize)]
struct Generated {
    text: String,
}

#[derive(Deserialize)]
struct Kept {
    output: Generated,
}

/// Returns the text of a whole answer; `None` if its last stage has not generated any.
pub fn generated(body: &str) -> Option<String> {
    let kept: Kept = serde_json::from_str(body).ok()?;
    Some(kept.output.text)
}
