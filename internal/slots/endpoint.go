package slots

import (
	"net/url"
)

// Endpoint is where the slots of an engine are granted: the engine's sidecar, or a deputy, an
// entry that stands in for a lost sidecar.
type Endpoint struct {
	// Address is the address of the process that grants the slots.
	Address string
	// Engine is the id of the engine.
	Engine string
	// Deputy says that the process is a deputy, which may grant the slots of several engines.
	Deputy bool
}

// connKey identifies a connection. Each engine has a connection of its own at a deputy. A sidecar
// keeps its connection when its engine restarts under another id.
type connKey struct{ address, path string }

func (e Endpoint) key() connKey {
	if !e.Deputy {
		return connKey{address: e.Address, path: Path}
	}
	return connKey{address: e.Address, path: Path + "/" + url.PathEscape(e.Engine)}
}
