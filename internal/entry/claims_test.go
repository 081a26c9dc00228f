package entry

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/routing"
)

// A sidecar that no longer serves a backend server reports no boot id for it. A claim with an empty one
// would name no incarnation.
func TestMissingBootIDIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, nil, newFakeLane("e1"))
		id, err := cell.entry.bootID(t.Context(), routing.Target{BackendServer: "e1", Address: "sidecar-e1:1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, id, qt.Equals, "boot-e1")
		_, err = cell.entry.bootID(t.Context(), routing.Target{BackendServer: "gone", Address: "sidecar-e1:1"})
		var none *NoBootIDError
		qt.Assert(t, err, qt.ErrorAs, &none)
	})
}
