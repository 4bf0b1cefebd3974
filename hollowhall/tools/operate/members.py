"""The operators' command for the membership of the store. It sends HTTP requests to a gateway."""

from cleo.helpers import argument, option

from .commands import OperateCommand, common


class MembersCommand(OperateCommand):
    """Lists, adds, removes and replaces members of the store."""

    name = "members"
    description = "Show or change the store's members: list, add, remove, replace."
    arguments = [
        argument("do", "list, add, remove or replace.", optional=True, default="list"),
        argument("addr", "IP:port of the member.", optional=True, default=""),
        argument("by", "For replace: IP:port of the new member.", optional=True, default=""),
    ]
    options = common() + [
        option("base", None, "Version that the change is based on; default: the current one.", flag=False)
    ]

    def handle(self):
        status, answer = self.ask("GET", "/v1/members")
        do = self.argument("do")
        if status == 200 and do != "list":
            base = self.option("base") or str(answer["version"])
            if not base.isdigit():
                self.line_error("--base: a number is wanted")
                return 2
            status, answer = self.ask(
                "POST",
                "/v1/members",
                {"base": int(base), "do": do, "addr": self.argument("addr"), "by": self.argument("by")},
            )
        up = answer.get("up") if status == 200 else None
        return self.show(
            status,
            answer,
            lambda answer: (
                [f"version {answer['version']}"]
                + [
                    f"{addr}  member" + ("" if up is None or addr in up else "  not heard")
                    for addr in answer["voters"]
                ]
                + [
                    f"{answer[key]}  {note}"
                    for key, note in (("learner", "learning, not counted yet"), ("out", "to be taken out"))
                    if answer[key]
                ]
            ),
        )


MEMBERS = [MembersCommand]
