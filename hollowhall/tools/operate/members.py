"""The operators' command for the store's members. It asks a mast over HTTP, as any caller does."""

from cleo.helpers import argument, option

from .commands import OperateCommand, common


class MembersCommand(OperateCommand):
    name = "members"
    description = "Show or change the store's members: list, add, remove, replace."
    arguments = [
        argument("do", "list, add, remove or replace.", optional=True, default="list"),
        argument("addr", "IP:port of the member.", optional=True, default=""),
        argument("by", "For replace: IP:port of the new one.", optional=True, default=""),
    ]
    options = common() + [
        option("base", None, "Version the change builds on; else the one just read.", flag=False)
    ]

    def handle(self):
        st, v = self.ask("GET", "/v1/members")
        do = self.argument("do")
        if st == 200 and do != "list":
            base = self.option("base") or str(v["version"])
            if not base.isdigit():
                self.line_error("--base: a number is wanted")
                return 2
            st, v = self.ask(
                "POST",
                "/v1/members",
                {"base": int(base), "do": do, "addr": self.argument("addr"), "by": self.argument("by")},
            )
        up = v.get("up") if st == 200 else None
        return self.show(
            st,
            v,
            lambda v: (
                [f"version {v['version']}"]
                + [f"{a}  member" + ("" if up is None or a in up else "  not heard") for a in v["voters"]]
                + [
                    f"{v[x]}  {t}"
                    for x, t in (("learner", "learning, not counted yet"), ("out", "to be taken out"))
                    if v[x]
                ]
            ),
        )


MEMBERS = [MembersCommand]
