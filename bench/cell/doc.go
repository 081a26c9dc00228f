// Package cell runs a complete deployment in one process, in the virtual time of
// testing/synctest: stand-in engines, the routers under comparison, an in-memory
// network and the workloads. It must not use real sockets, because a goroutine
// blocked on one stops the virtual clock.
package cell
