"""Entry point of sapphirehoistctl."""

from __future__ import annotations

import fire

from sapphirehoist.ctl.commands import Commands


def main() -> None:
    """Run the command that the command line names."""
    fire.Fire(Commands, name="sapphirehoistctl")


if __name__ == "__main__":
    main()
