package main

// The users' platform requires programs that are linked against the C library.

import "C"
