// Package operator asks routers for their status.
//
// # Usage
//
//	fleet := operator.Query(ctx, []string{"127.0.0.1:9180"})
package fleetstatus

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const askTimeout = 2 * time.Second

// Status is a router's answer.
type Status struct {
	VM       string   `json:"vm"`
	Revision uint64   `json:"revision"`
	Answers  int      `json:"answers"`
	Members  []Member `json:"members"`
}

// Member is one VM as a router sees it.
type Member struct {
	VM            string   `json:"vm"`
	Role          string   `json:"role"`
	State         string   `json:"state"`
	Service       string   `json:"service,omitempty"`
	FailureDomain string   `json:"failure_domain"`
	Models        []string `json:"models,omitempty"`
	Heard         bool     `json:"heard"`
	Revision      uint64   `json:"revision,omitempty"`
}

// Fleet is the status of all VMs as the asked routers have it together.
type Fleet struct {
	Members    []Member `json:"members"`
	Unanswered []string `json:"unanswered,omitempty"`
}

// Query merges the answers of several routers: of each VM, the highest revision that one of them has heard.
func Query(ctx context.Context, addresses []string) Fleet {
	var fleet Fleet
	rows := make(map[string]Member)
	for _, address := range addresses {
		status, err := ask(ctx, address)
		if err != nil {
			fleet.Unanswered = append(fleet.Unanswered, address)
			continue
		}
		for _, m := range status.Members {
			if known, seen := rows[m.VM]; !seen || m.Revision > known.Revision {
				rows[m.VM] = m
			}
		}
	}
	for _, m := range rows {
		fleet.Members = append(fleet.Members, m)
	}
	slices.SortFunc(fleet.Members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return fleet
}

// Behind lists the live VMs that do not have the revision in force.
func (f Fleet) Behind(revision uint64) []string {
	var out []string
	for _, m := range f.Members {
		if m.State == "live" && m.Revision < revision {
			out = append(out, m.VM)
		}
	}
	return out
}

func ask(ctx context.Context, address string) (Status, error) {
	var status Status
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("decode status: %w", err)
	}
	return status, nil
}
