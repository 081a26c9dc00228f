package entry

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// serviceMethods are the HTTP methods that callers may use on plain services.
var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true,
	http.MethodDelete: true, http.MethodPost: true, http.MethodPatch: true,
}

// parseService authenticates, reads and validates a request to a plain service.
func (e *Entry) parseService(w http.ResponseWriter, r *http.Request, reservation *membudget.Reservation) (*call, *Problem) {
	if !serviceMethods[r.Method] {
		w.Header().Set("Allow", "GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH")
		return nil, notRunProblem(KindMethodNotAllowed, http.StatusMethodNotAllowed, "services do not take the method "+strconv.Quote(r.Method))
	}
	c, problem := e.newCall(r)
	if problem != nil {
		return nil, problem
	}
	service := r.PathValue("service")
	route := c.state.GetRoutes()[service]
	if route == nil || route.GetKind() != configpb.BackendKind_BACKEND_KIND_SERVICE {
		return nil, notRunProblem(KindNotFound, http.StatusNotFound, "no service is named "+strconv.Quote(service))
	}
	c.path = pathWithinService(r.URL.EscapedPath())
	c.idempotent = idempotentOperation(route, r.Method, pathWithinService(r.URL.Path))
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if problem := c.setRoute(route, r); problem != nil {
		return nil, problem
	}
	c.headers = forwardHeaders(r.Header)
	c.body, problem = readBody(w, r, bodyLimit(route), reservation)
	return c, problem
}

// pathWithinService returns the part of a path after /services/{service}, with a leading slash.
func pathWithinService(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	return "/" + rest
}

// idempotentOperation reports whether a request is idempotent. The matching operation of the route
// with the longest path prefix decides, otherwise the method.
func idempotentOperation(route *configpb.Route, method, path string) bool {
	var match *configpb.Operation
	for _, operation := range route.GetOperations() {
		if operation.GetMethod() != "" && operation.GetMethod() != method {
			continue
		}
		if !hasPathPrefix(path, operation.GetPathPrefix()) {
			continue
		}
		if match == nil || len(operation.GetPathPrefix()) > len(match.GetPathPrefix()) {
			match = operation
		}
	}
	if match != nil {
		return match.GetIdempotent()
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// hasPathPrefix reports whether path starts with prefix at a segment boundary.
func hasPathPrefix(path, prefix string) bool {
	prefix = "/" + strings.Trim(prefix, "/")
	if prefix == "/" {
		return true
	}
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/')
}
