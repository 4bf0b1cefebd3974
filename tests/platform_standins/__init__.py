"""Stand-ins for the users' platform, for tests only: workers, clients and operators that
speak its protocol from outside, and a checker that judges what they saw by its rules. They
know nothing of the daemons: all that they need is `web.ask`. Nothing here needs the users'
own bench; the pages it implements are the platform's protocol and its rules."""
