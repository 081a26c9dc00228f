package query

import (
	"net/http"
	"strconv"

	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	defaultAuditEntries = 100
	maxAuditEntries     = 10_000
)

// auditFilter selects entries of the audit trail. Empty fields match all entries.
type auditFilter struct {
	entity    string
	operator  string
	operation string
	after     uint64
	limit     int
}

func parseAuditFilter(r *http.Request) (auditFilter, error) {
	query := r.URL.Query()
	filter := auditFilter{
		entity:    query.Get("entity"),
		operator:  query.Get("operator"),
		operation: query.Get("operation_id"),
		limit:     defaultAuditEntries,
	}
	if text := query.Get("after"); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return filter, &operatorapi.BadRequestError{Field: "after", Cause: err}
		}
		filter.after = after
	}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxAuditEntries {
			return filter, &operatorapi.BadRequestError{Field: "limit", Cause: err}
		}
		filter.limit = limit
	}
	return filter, nil
}

func (f auditFilter) matches(entry *configpb.AuditEntry) bool {
	return entry.GetOffset() > f.after &&
		(f.entity == "" || f.entity == entry.GetEntity()) &&
		(f.operator == "" || f.operator == entry.GetOperator()) &&
		(f.operation == "" || f.operation == entry.GetOperationId())
}

// audit responds with the matching entries, newest first, up to the limit.
func (s *server) audit(w http.ResponseWriter, r *http.Request, _ string) {
	filter, err := parseAuditFilter(r)
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	state := s.options.Config.Current()
	trail := state.GetAudit()
	list := operatorapi.List{Offset: state.GetOffset(), Items: []operatorapi.Item{}}
	for i := len(trail) - 1; i >= 0 && len(list.Items) < filter.limit; i-- {
		if !filter.matches(trail[i]) {
			continue
		}
		item, err := operatorapi.NewItem(trail[i].GetEntity(), trail[i].GetOffset(), trail[i])
		if err != nil {
			operatorapi.WriteProblem(w, err)
			return
		}
		list.Items = append(list.Items, item)
	}
	operatorapi.WriteJSON(w, list)
}
