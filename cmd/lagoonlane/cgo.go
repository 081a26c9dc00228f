package main

// The users' platform needs programs that are linked against the C library.

import "C"
