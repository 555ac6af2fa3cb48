"""Entry point of ``python -m geraniumd``."""

from .cli import main

if __name__ == '__main__':
    main()
