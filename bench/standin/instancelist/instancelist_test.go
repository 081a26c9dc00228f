package instancelist

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

func TestUnchangedListHasNoBody(t *testing.T) {
	c := qt.New(t)
	list := New(0, []platform.Instance{{ID: "a", State: platform.InstanceLive}})
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		list.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		list.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := platform.NewHTTPInstances(server.URL, server.Client())
	for range 2 {
		instances, err := client.List(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(instances, qt.HasLen, 1)
	}
	list.Put(platform.Instance{ID: "b"})
	instances, err := client.List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.HasLen, 2)
	c.Assert(statuses, qt.DeepEquals, []int{http.StatusOK, http.StatusNotModified, http.StatusOK})
}

func TestChangesShowAfterLag(t *testing.T) {
	// The race detector of go1.26 can fail when timers of a synctest bubble are read
	// by several processors.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		list := New(2*time.Second, []platform.Instance{{ID: "a", State: platform.InstanceLive}})
		list.Put(platform.Instance{ID: "a", State: platform.InstanceLeaving})
		c.Assert(body(list), qt.Contains, `"state":"live"`)
		time.Sleep(2 * time.Second)
		c.Assert(body(list), qt.Contains, `"state":"leaving"`)
		list.Remove("a")
		time.Sleep(2 * time.Second)
		c.Assert(body(list), qt.Equals, "[]\n")
	})
}

func body(list *Server) string {
	recorder := httptest.NewRecorder()
	list.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/instances", nil))
	return recorder.Body.String()
}
