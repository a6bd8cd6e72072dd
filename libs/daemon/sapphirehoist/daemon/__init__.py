"""The program sapphirehoistd: settings, servers, signals."""
