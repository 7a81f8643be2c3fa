//! Parsing of the tasks of the section `lease`.

use super::limiters::read_address;
use super::{LeaseConfigError, Task, TaskAction};
use crate::fault::Faults;
use crate::reader::{text, Alias, Reader};
use crate::tree::Node;
use std::sync::Arc;
use std::time::Duration;

const MAX_TASK_NAME_BYTES: usize = 64;
const DEFAULT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_MAX_OPERATION_DURATION: Duration = Duration::from_millis(250);

/// The former names of a task's keys.
const ALIASES: &[Alias] = &[Alias::new("longest", "max_operation_duration")];

pub(super) fn read_task(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Task> {
    let mut reader = Reader::new(file, "lease.tasks", node, faults).with_aliases(ALIASES);
    let name = reader.need("name", faults, |node| {
        read_task_name(node).map_err(|error| error.to_string())
    });
    let action = read_action(file, &mut reader, faults);
    let interval = reader.duration("every", faults).unwrap_or(DEFAULT_INTERVAL);
    let max_operation_duration = reader
        .duration("max_operation_duration", faults)
        .unwrap_or(DEFAULT_MAX_OPERATION_DURATION);
    if interval.is_zero() || max_operation_duration.is_zero() {
        let problem = LeaseConfigError::ZeroInterval;
        reader.fault("every", problem.to_string(), faults);
    }
    reader.end(faults);
    Some(Task {
        name: name?,
        action: action?,
        interval,
        max_operation_duration,
    })
}

fn read_task_name(node: &Node) -> Result<String, LeaseConfigError> {
    let name = text(node)?;
    let is_valid = (1..=MAX_TASK_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid
        .then_some(name)
        .ok_or(LeaseConfigError::InvalidTaskName)
}

fn read_action(
    file: &Arc<str>,
    reader: &mut Reader<'_>,
    faults: &mut Faults,
) -> Option<TaskAction> {
    let target = reader.take("target", faults, |node| {
        read_address(node).map_err(|error| error.to_string())
    });
    let export = reader
        .node("export")
        .map(|node| read_export(file, node, faults));
    let action = match (target, export) {
        (Some(target), None) => Some(TaskAction::Heartbeat { target }),
        (None, Some(export)) => export,
        (None, None) => None,
        (Some(_), Some(_)) => {
            let problem = LeaseConfigError::TargetAndExport;
            reader.fault("export", problem.to_string(), faults);
            None
        }
    };
    // An earlier fault may be the reason why there is no action, so nothing is added to it.
    if action.is_none() && faults.is_empty() {
        let problem = LeaseConfigError::MissingAction;
        reader.fault("name", problem.to_string(), faults);
    }
    action
}

fn read_export(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<TaskAction> {
    let mut reader = Reader::new(file, "lease.tasks.export", node, faults);
    let spool = reader.need("spool", faults, text);
    let sink = reader.need("sink", faults, text);
    reader.end(faults);
    Some(TaskAction::ExportUsage {
        spool: spool?.into(),
        sink: sink?.into(),
    })
}
