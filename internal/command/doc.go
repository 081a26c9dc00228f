// Package command implements the write operations of the operator API under /admin/v1/. It
// authenticates operators, validates their requests, appends commands to the log and returns the
// decision made when the command is replayed. It does not change any state itself.
package command
