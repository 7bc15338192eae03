"""Apply and retire records, read them back, and report status and decisions."""

from .apply import apply_documents, new_change_metadata
from .change import Change, ChangedRecord, ChangeMetadata
from .draft import Draft
from .explain import Explanation, LogLine, explain
from .files import ParsedRecords, read_record_files
from .logfile import LogExtract, extract_lines
from .plan import Action, Difference, Plan, Step, plan_apply, plan_retire
from .read import read_accepted, read_change, read_changes
from .rollout import RolloutStatus, rollout_status, wait_for_rollout
from .rows import RECORD_PREFIX, record_key
from .snapshot import AcceptedRecord, RecordName, RecordSnapshot
from .status import EndpointStatus, GatewayStatus, fetch_status
from .submit import require_base, submit

__all__ = [
    "RECORD_PREFIX",
    "AcceptedRecord",
    "Action",
    "Change",
    "ChangeMetadata",
    "ChangedRecord",
    "Difference",
    "Draft",
    "EndpointStatus",
    "Explanation",
    "GatewayStatus",
    "LogExtract",
    "LogLine",
    "ParsedRecords",
    "Plan",
    "RecordName",
    "RecordSnapshot",
    "RolloutStatus",
    "Step",
    "apply_documents",
    "explain",
    "extract_lines",
    "fetch_status",
    "new_change_metadata",
    "plan_apply",
    "plan_retire",
    "read_accepted",
    "read_change",
    "read_changes",
    "read_record_files",
    "record_key",
    "require_base",
    "rollout_status",
    "submit",
    "wait_for_rollout",
]
