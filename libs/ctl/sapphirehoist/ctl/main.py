"""The program sapphirehoistctl."""

from __future__ import annotations

import fire

from sapphirehoist.ctl.commands import Commands


def main() -> None:
    """Run one command."""
    fire.Fire(Commands, name="sapphirehoistctl")


if __name__ == "__main__":
    main()
