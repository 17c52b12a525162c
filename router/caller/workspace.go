package caller

import (
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

// workspace is an authenticated workspace and the configuration that declares it.
type workspace struct {
	declared.Workspace

	config *activeconfig.Config
}

// authenticate returns the workspace of the request's API key, which begins with the workspace's name and a dot.
func (s *Server) authenticate(r *http.Request) (workspace, error) {
	current := s.awaitConfig(r.Context())
	if current == nil {
		return workspace{}, fault.New(fault.NotReady, "no configuration yet")
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return workspace{}, fault.New(fault.Unauthenticated, "no bearer token")
	}
	name, _, _ := strings.Cut(key, ".")
	w, known := current.Workspaces[ids.Workspace(name)]
	hash := declared.HashKey(key)
	if !known || subtle.ConstantTimeCompare([]byte(hash), []byte(w.KeyHash)) != 1 {
		return workspace{}, fault.New(fault.Unauthenticated, "the key is not known")
	}
	return workspace{w, current}, nil
}

// model returns the service and the pinned version of a model that the workspace may use. The name may include a version
// or an adapter, as in name@version or name+adapter.
func (w workspace) model(name string) (declared.Service, declared.Model, error) {
	for _, s := range w.services(declared.ModelService) {
		for _, m := range s.Models {
			id := m.ID()
			if name == id.Name || name == id.String() || name == id.Name+"+"+id.Adapter {
				return s, m, nil
			}
		}
	}
	return declared.Service{}, declared.Model{}, fault.New(fault.UnknownModel, "model %q", name)
}

func (w workspace) services(kind declared.Kind) []declared.Service {
	var out []declared.Service
	for _, s := range w.config.Declared.Services {
		if s.Kind == kind && slices.Contains(w.Services, s.Name) {
			out = append(out, s)
		}
	}
	return out
}

// route returns the plain service and the declared route that match a call.
func (w workspace) route(method, path string) (declared.Service, declared.Route, error) {
	for _, s := range w.services(declared.PlainService) {
		for _, r := range s.Routes {
			if r.Matches(method, path) {
				return s, r, nil
			}
		}
	}
	return declared.Service{}, declared.Route{}, fault.New(fault.UnknownRoute, "%s %s", method, path)
}
