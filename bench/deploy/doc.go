// Package deploy manages the processes of one deployment on loopback: the stand-ins for the
// platform, backend servers, sidecars and entries. Each is started from the real binary with
// generated settings. The package stops only processes that it has started.
package deploy
