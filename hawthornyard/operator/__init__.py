"""Apply and retire records, read them back, and report status and decisions."""

from .accepted import Accepted, AcceptedRecord, RecordName
from .apply import apply_documents, new_note
from .change import Change, ChangedRecord, ChangeNote
from .draft import Draft
from .explain import Explanation, LogLine, explain
from .files import RecordFiles, read_record_files
from .force import InForce, in_force, wait_in_force
from .logfile import LogExtract, extract_lines
from .plan import Action, Difference, Plan, Step, plan_apply, plan_retire
from .read import read_accepted, read_change, read_changes
from .rows import RECORD_PREFIX, record_key
from .status import EndpointStatus, GatewayStatus, fetch_status
from .submit import require_base, submit

__all__ = [
    "RECORD_PREFIX",
    "Accepted",
    "AcceptedRecord",
    "Action",
    "Change",
    "ChangeNote",
    "ChangedRecord",
    "Difference",
    "Draft",
    "EndpointStatus",
    "Explanation",
    "GatewayStatus",
    "InForce",
    "LogExtract",
    "LogLine",
    "Plan",
    "RecordFiles",
    "RecordName",
    "Step",
    "apply_documents",
    "explain",
    "extract_lines",
    "fetch_status",
    "in_force",
    "new_note",
    "plan_apply",
    "plan_retire",
    "read_accepted",
    "read_change",
    "read_changes",
    "read_record_files",
    "record_key",
    "require_base",
    "submit",
    "wait_in_force",
]
