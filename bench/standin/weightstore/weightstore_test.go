package weightstore

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

func fetch(store *Server, artifact string) int {
	body := strings.NewReader(`{"artifact":"` + artifact + `","reader":"engine-1"}`)
	recorder := httptest.NewRecorder()
	store.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/fetch", body))
	return recorder.Code
}

// TestRateIsSharedByReaders fetches an artifact twice at once. Each transfer alone
// takes 10 s, so the second must complete after 20 s.
func TestRateIsSharedByReaders(t *testing.T) {
	// The race detector of go1.26 can fail when timers of a synctest bubble are read
	// by several processors.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		store := New(Options{BytesPerSecond: 100, Artifacts: []platform.Artifact{{Name: "a", SizeBytes: 1000}}})
		started := time.Now()
		var readers sync.WaitGroup
		for range 2 {
			readers.Go(func() { qt.Check(t, fetch(store, "a"), qt.Equals, http.StatusOK) })
		}
		synctest.Wait()
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/budget", nil))
		qt.Check(t, recorder.Body.String(), qt.Contains, `"queued_bytes":2000`)
		readers.Wait()
		qt.Check(t, time.Since(started), qt.Equals, 20*time.Second)
		qt.Check(t, fetch(store, "none"), qt.Equals, http.StatusNotFound)
	})
}
