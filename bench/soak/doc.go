// Package soak runs the real programs as separate processes on loopback, with stand-ins for the
// users' platform, and injects faults into their environment: a proxy delays, resets, cuts or
// silences connections, signals stop, pause, kill and restart processes, and the store misbehaves.
// The faults of a run overlap. During the faults, the package records what callers and backend
// servers observe, and afterwards checks it against the guarantees of the system. Stepping the
// programs' clock that counts suspension requires privileges, so clock steps are covered by the
// tests of internal/steady.
package soak
