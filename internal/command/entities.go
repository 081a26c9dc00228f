package command

import (
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// readEntity decodes an entity from the request body. It returns *operatorapi.NameMismatchError if
// the entity's name differs from the one in the path.
func readEntity(r *http.Request, entity proto.Message, name func() string) error {
	if err := operatorapi.ReadMessage(r, entity); err != nil {
		return err
	}
	if path := r.PathValue("name"); path != name() {
		return errors.WithStack(&operatorapi.NameMismatchError{Path: path, Body: name()})
	}
	return nil
}

func (s *server) putTier(w http.ResponseWriter, r *http.Request, operator string) {
	tier := &configpb.Tier{}
	if err := readEntity(r, tier, tier.GetName); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	s.submitWithRevision(w, r, operator, &configpb.Command{Change: &configpb.Command_PutTier{PutTier: tier}})
}

func (s *server) deleteTier(w http.ResponseWriter, r *http.Request, operator string) {
	change := &configpb.Command_DeleteTier{DeleteTier: r.PathValue("name")}
	s.submitWithRevision(w, r, operator, &configpb.Command{Change: change})
}

func (s *server) putAccount(w http.ResponseWriter, r *http.Request, operator string) {
	account := &configpb.ClientAccount{}
	if err := readEntity(r, account, account.GetName); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	s.submitWithRevision(w, r, operator, &configpb.Command{Change: &configpb.Command_PutAccount{PutAccount: account}})
}

func (s *server) deleteAccount(w http.ResponseWriter, r *http.Request, operator string) {
	change := &configpb.Command_DeleteAccount{DeleteAccount: r.PathValue("name")}
	s.submitWithRevision(w, r, operator, &configpb.Command{Change: change})
}

func (s *server) putRoute(w http.ResponseWriter, r *http.Request, operator string) {
	route := &configpb.Route{}
	if err := readEntity(r, route, route.GetName); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	s.submitWithRevision(w, r, operator, &configpb.Command{Change: &configpb.Command_PutRoute{PutRoute: route}})
}

func (s *server) deleteRoute(w http.ResponseWriter, r *http.Request, operator string) {
	change := &configpb.Command_DeleteRoute{DeleteRoute: r.PathValue("name")}
	s.submitWithRevision(w, r, operator, &configpb.Command{Change: change})
}

func (s *server) putVersion(w http.ResponseWriter, r *http.Request, operator string) {
	version := &configpb.BackendVersion{}
	if err := readEntity(r, version, version.GetName); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	if pool := r.PathValue("pool"); pool != version.GetPool() {
		operatorapi.WriteProblem(w, &operatorapi.NameMismatchError{Path: pool, Body: version.GetPool()})
		return
	}
	s.submitWithRevision(w, r, operator, &configpb.Command{Change: &configpb.Command_PutVersion{PutVersion: version}})
}
