"""Parses the configuration and the plan once for all services."""

from godwitlanding.base.config import CONFIG_KIND, parse_config
from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_error
from godwitlanding.decisions.plan import EMPTY_PLAN, parse_plan


class Configuration(Service):
    """Holds the latest valid configuration and plan."""

    name = "configuration"

    def __init__(self, context):
        self.config = None
        self.plan = EMPTY_PLAN
        self.version = 0
        self.plan_version = 0
        self._context = context

    async def start(self, kernel):
        """Listen to the replica.

        Listeners that are added later are called after this one, and so see
        the parsed objects.
        """
        self._context.replica.listen(self._apply_state)

    def get_status(self):
        """Return the versions in force."""
        return {
            "version": self.version,
            "plan_version": self.plan_version,
            "plan_step": self.plan.step,
            "plan_why": self.plan.why,
        }

    def _apply_state(self, state):
        if state.kind == CONFIG_KIND:
            self._apply_config(state)
        elif state.kind == "plan":
            self._apply_plan(state)

    def _apply_config(self, state):
        parsed = parse_config(state.body.decode(errors="replace"))
        # The text was written without the checks of godwitctl. The last valid
        # configuration stays in force; the log and the counter report it.
        if parsed.is_err():
            self._context.counters.add("config_refused")
            problems = [str(problem) for problem in parsed.unwrap_err()[:5]]
            log_error("config:refused", version=state.version, problems=problems)
            return
        self.config = parsed.unwrap()
        self.version = state.version

    def _apply_plan(self, state):
        try:
            self.plan = parse_plan(state.body)
            self.plan_version = state.version
        except ValueError as error:
            self._context.counters.add("plan_refused")
            log_error("plan:refused", version=state.version, error=str(error))
