//! JSON body of an answer, with a report on each stage.

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

/// Resources that one stage used.
#[derive(Clone, Debug, Serialize)]
pub struct StageReport {
    /// Name of the stage.
    pub name: id::StageName,
    /// Target that executed the stage.
    pub target: id::TargetName,
    /// Number of attempts.
    pub attempts: u32,
    /// Processing time at the target.
    pub busy: unit::Period,
    /// Queueing time at the agent.
    pub queued: unit::Period,
}

/// Body of a complete answer.
#[derive(Debug, Serialize)]
pub struct Answer<'a> {
    request: id::RequestId,
    generation: id::Generation,
    output: Option<Box<value::RawValue>>,
    stages: &'a [StageReport],
}

impl Answer<'_> {
    /// Serializes the body of a complete answer.
    pub fn to_json(
        head: &request::Head,
        output: Option<Box<value::RawValue>>,
        stages: &[StageReport],
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

/// Output of an engine stage.
#[derive(Deserialize)]
struct TextOutput {
    text: String,
}

#[derive(Deserialize)]
struct StoredAnswer {
    output: TextOutput,
}

/// Returns the text output of a stored answer; `None` if its last stage is not an engine stage.
pub fn generated_text(body: &str) -> Option<String> {
    let stored: StoredAnswer = serde_json::from_str(body).ok()?;
    Some(stored.output.text)
}
