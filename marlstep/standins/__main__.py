"""Run `python -m marlstep.emulators` under its former name, which the operators' documentation still uses."""

from marlstep.emulators.__main__ import main

if __name__ == "__main__":
    main()
