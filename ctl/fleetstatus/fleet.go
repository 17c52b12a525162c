// Package fleetstatus queries routers for the status of the fleet.
//
// # Usage
//
//	fleet := fleetstatus.Query(ctx, []string{"127.0.0.1:9180"})
package fleetstatus

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// statusTimeout limits the query of one router.
const statusTimeout = 2 * time.Second

// Status is the response of a router to GET /status. Revision is the router's active configuration; Answers is the number
// of answers that the router holds.
type Status struct {
	VM       string   `json:"vm"`
	Revision uint64   `json:"revision"`
	Answers  int      `json:"answers"`
	Members  []Member `json:"members"`
}

// Member is the status of one VM as reported by a router. Reporting is true if the VM is in direct contact with that
// router or its active revision is known; Revision is then that revision.
type Member struct {
	VM            string   `json:"vm"`
	Role          string   `json:"role"`
	State         string   `json:"state"`
	Service       string   `json:"service,omitempty"`
	FailureDomain string   `json:"failure_domain"`
	Models        []string `json:"models,omitempty"`
	Reporting     bool     `json:"heard"`
	Revision      uint64   `json:"revision,omitempty"`
}

// Fleet is the merged status of all VMs. Unanswered lists the addresses of the routers whose status could not be read.
type Fleet struct {
	Members    []Member `json:"members"`
	Unanswered []string `json:"unanswered,omitempty"`
}

// Query merges the status of several routers. For each VM it keeps the record with the highest configuration revision.
func Query(ctx context.Context, addresses []string) Fleet {
	var fleet Fleet
	byVM := make(map[string]Member)
	for _, address := range addresses {
		status, err := fetchStatus(ctx, address)
		if err != nil {
			fleet.Unanswered = append(fleet.Unanswered, address)
			continue
		}
		for _, m := range status.Members {
			if known, seen := byVM[m.VM]; !seen || m.Revision > known.Revision {
				byVM[m.VM] = m
			}
		}
	}
	for _, m := range byVM {
		fleet.Members = append(fleet.Members, m)
	}
	slices.SortFunc(fleet.Members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return fleet
}

// Behind returns the live VMs whose active configuration is older than revision.
func (f Fleet) Behind(revision uint64) []string {
	var out []string
	for _, m := range f.Members {
		if m.State == "live" && m.Revision < revision {
			out = append(out, m.VM)
		}
	}
	return out
}

// Active returns the number of live VMs whose active configuration is a revision or a newer one.
func (f Fleet) Active(revision uint64) int {
	n := 0
	for _, m := range f.Members {
		if m.State == "live" && m.Revision >= revision {
			n++
		}
	}
	return n
}

// maxStatusBytes bounds the status of a router.
const maxStatusBytes = 16 << 20

func fetchStatus(ctx context.Context, address string) (Status, error) {
	var status Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, fmt.Errorf("query router %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status); err != nil {
		return status, fmt.Errorf("decode status: %w", err)
	}
	return status, nil
}
