package query

import (
	"maps"
	"net/http"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// entityKind is one kind of entity, with its path in the API and its entities in a state.
type entityKind struct {
	path string
	// pattern is the path pattern of an entity's name.
	pattern    string
	entityName func(key string) string
	entities   func(state *configpb.State) map[string]proto.Message
}

var entityKinds = []entityKind{
	{"tiers", "{name}", config.TierEntity, func(s *configpb.State) map[string]proto.Message { return toMessages(s.GetTiers()) }},
	{"accounts", "{name}", config.AccountEntity, func(s *configpb.State) map[string]proto.Message { return toMessages(s.GetAccounts()) }},
	{"routes", "{name...}", config.RouteEntity, func(s *configpb.State) map[string]proto.Message { return toMessages(s.GetRoutes()) }},
	{"versions", "{name...}", versionEntity, func(s *configpb.State) map[string]proto.Message { return toMessages(s.GetVersions()) }},
	{"moves", "{name}", config.MoveEntity, func(s *configpb.State) map[string]proto.Message { return toMessages(s.GetMoves()) }},
}

func versionEntity(key string) string { return "version/" + key }

func toMessages[M proto.Message](entities map[string]M) map[string]proto.Message {
	all := make(map[string]proto.Message, len(entities))
	for name, entity := range entities {
		all[name] = entity
	}
	return all
}

// items returns all entities of a kind, sorted by name.
func (k entityKind) items(state *configpb.State) ([]operatorapi.Item, error) {
	all := k.entities(state)
	items := make([]operatorapi.Item, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		entity := k.entityName(name)
		item, err := operatorapi.NewItem(entity, state.GetRevisions()[entity], all[name])
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

func (s *server) list(k entityKind) operatorapi.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request, _ string) {
		state := s.options.Config.Current()
		items, err := k.items(state)
		if err != nil {
			operatorapi.WriteProblem(w, err)
			return
		}
		operatorapi.WriteJSON(w, operatorapi.List{Offset: state.GetOffset(), Items: items})
	}
}

func (s *server) get(k entityKind) operatorapi.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		state := s.options.Config.Current()
		name := r.PathValue("name")
		writeEntity(w, state, k.entityName(name), k.entities(state)[name])
	}
}

func writeEntity(w http.ResponseWriter, state *configpb.State, entity string, value proto.Message) {
	if value == nil {
		operatorapi.WriteProblem(w, &operatorapi.NotFoundError{Entity: entity})
		return
	}
	revision := state.GetRevisions()[entity]
	item, err := operatorapi.NewItem(entity, revision, value)
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	w.Header().Set("ETag", operatorapi.ETag(revision))
	operatorapi.WriteJSON(w, item)
}

// config responds with the entities of all kinds in the configuration in force.
func (s *server) config(w http.ResponseWriter, _ *http.Request, _ string) {
	state := s.options.Config.Current()
	answer := map[string]any{"offset": state.GetOffset()}
	for _, kind := range entityKinds {
		items, err := kind.items(state)
		if err != nil {
			operatorapi.WriteProblem(w, err)
			return
		}
		answer[kind.path] = items
	}
	operatorapi.WriteJSON(w, answer)
}
