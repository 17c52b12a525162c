package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/bench/caller"
	"bilberrylug.dev/standin/engine"
	"bilberrylug.dev/standin/plain"
)

// putJSON sends v to a path of a stand-in. It is used to set the faults of the stand-in.
func (s *site) putJSON(name, path string, v any) {
	body, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+s.processes[name].listen+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
}

// getJSON returns the decoded JSON reply of a stand-in.
func getJSON[T any](s *site, name, path string) T {
	var v T
	resp, err := http.Get("http://" + s.processes[name].listen + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(body, &v)).To(Succeed(), string(body))
	return v
}

// engineRuns returns the run log of an engine.
func (s *site) engineRuns(i int) []engine.Run {
	return getJSON[[]engine.Run](s, fmt.Sprintf("engine-%d", i), "/standin/runs")
}

// runsByKey returns the number of runs with an idempotency key over all services.
func (s *site) runsByKey(key string) int {
	n := 0
	for i := range s.options.services {
		for _, r := range getJSON[[]plain.Run](s, fmt.Sprintf("service-%d", i), "/standin/runs") {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// client returns a caller of a workspace that starts with router first.
func (s *site) client(workspace string, first int) *caller.Client {
	return caller.New(s.routers, workspace+".key", first)
}

// startStreams starts n streaming requests, distributed over the routers, and returns a function that waits for their
// results.
func (s *site) startStreams(n, tokens int, prefix string) func() []caller.Result {
	results := make([]caller.Result, n)
	done := make(chan struct{}, n)
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxWait)
	for i := range n {
		go func() {
			results[i] = s.client("growers", i).Stream(ctx, caller.Request{
				ID: fmt.Sprintf("%s-%d", prefix, i), Model: model, Version: "1", Prompt: fmt.Sprintf("%s lot %d", prefix, i), MaxTokens: tokens, Seed: uint64(i),
			})
			done <- struct{}{}
		}()
	}
	return func() []caller.Result {
		defer cancel()
		for range n {
			<-done
		}
		return results
	}
}

// expectComplete checks that every answer arrived completely and without a wrong token, and reports the longest gap.
func expectComplete(results []caller.Result) {
	GinkgoHelper()
	for i, r := range results {
		Expect(r.Err).NotTo(HaveOccurred(), "answer %d", i)
		Expect(r.Wrong).To(BeZero(), "answer %d", i)
		Expect(r.Received).To(Equal(r.Expected), "answer %d", i)
	}
	longest := time.Duration(0)
	for _, r := range results {
		longest = max(longest, r.MaxGap())
	}
	AddReportEntry("longest gap", longest.Round(time.Millisecond).String())
}

// setVMState sets the state of a VM in the platform's list.
func (s *site) setVMState(vm, state string) {
	url := "http://" + s.processes["platform"].listen + "/standin/vms/" + vm + "?state=" + state
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}

// reportGeneratedTokens reports how many tokens the engines generated for the expected number of tokens; any excess was
// generated twice. It reports nothing if an engine does not reply.
func (s *site) reportGeneratedTokens(expected int) {
	produced := 0
	for i := range s.options.engines {
		client := http.Client{Timeout: time.Second}
		resp, err := client.Get("http://" + s.processes[fmt.Sprintf("engine-%d", i)].listen + "/standin/runs")
		if err != nil {
			return
		}
		var runs []engine.Run
		_ = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		for _, r := range runs {
			produced += r.Produced
		}
	}
	AddReportEntry("generated", fmt.Sprintf("%d tokens for %d", produced, expected))
}
