package app

import (
	"encoding/json"
	"net/http"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// Status is the router's reply to GET /status.
type Status struct {
	VM       ids.VM         `json:"vm"`
	Revision ids.Revision   `json:"revision"`
	Answers  int            `json:"answers"`
	Members  []MemberStatus `json:"members"`
}

// MemberStatus is this router's view of one VM. Reporting is true if the VM is in direct contact with this router or its
// active revision is known. Revision is the VM's active revision, or zero if it is not known.
type MemberStatus struct {
	VM            ids.VM            `json:"vm"`
	Role          membership.Role   `json:"role"`
	State         string            `json:"state"`
	Service       ids.Service       `json:"service,omitempty"`
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	Operators     string            `json:"operators,omitempty"`
	Models        []string          `json:"models,omitempty"`
	Reporting     bool              `json:"heard"`
	Revision      ids.Revision      `json:"revision,omitempty"`
}

func (a *App) status() Status {
	out := Status{VM: a.cfg.ID, Revision: a.config.Revision(), Answers: a.answers.Len()}
	contacts := make(map[ids.VM]membership.Contact)
	for _, c := range a.view.Contacts() {
		contacts[c.VM] = c
	}
	for _, m := range a.view.Members() {
		row := MemberStatus{VM: m.VM, Role: m.Role, State: m.State.String(), Service: m.Service, FailureDomain: m.FailureDomain}
		for _, model := range m.Models {
			row.Models = append(row.Models, model.String())
		}
		if c, ok := contacts[m.VM]; ok {
			row.Reporting = true
			row.Revision = c.Revision
		}
		if m.VM == a.cfg.ID {
			row.Reporting = true
			row.Revision = out.Revision
		}
		out.Members = append(out.Members, row)
	}
	return out
}

func (a *App) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.status())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { a.metrics.Write(w) })
	return mux
}
