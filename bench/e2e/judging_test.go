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

// put sets the fault switches of a stand-in.
func (s *site) put(name, path string, v any) {
	body, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+s.processes[name].listen+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
}

func get[T any](s *site, name, path string) T {
	var v T
	resp, err := http.Get("http://" + s.processes[name].listen + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(body, &v)).To(Succeed(), string(body))
	return v
}

func (s *site) engineRuns(i int) []engine.Run {
	return get[[]engine.Run](s, fmt.Sprintf("engine-%d", i), "/standin/runs")
}

// slipRuns counts the runs of an idempotency key at all services.
func (s *site) slipRuns(key string) int {
	n := 0
	for i := range s.options.services {
		for _, r := range get[[]plain.Run](s, fmt.Sprintf("service-%d", i), "/standin/runs") {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

func (s *site) client(workspace string, first int) *caller.Client {
	return caller.New(s.routers, workspace+".key", first)
}

// streams sends answers through all routers in turn and returns a function that waits for their results.
func (s *site) streams(n, tokens int, prefix string) func() []caller.Result {
	results := make([]caller.Result, n)
	done := make(chan struct{}, n)
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
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

// expectWhole judges that every answer came complete, without a wrong token.
func expectWhole(results []caller.Result) {
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

// setVM changes the platform's list.
func (s *site) setVM(vm, state string) {
	url := "http://" + s.processes["platform"].listen + "/standin/vms/" + vm + "?state=" + state
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
}

// reportGenerated reports how many tokens the engines generated for an answer's worth, as far as all engines still answer:
// what is over is generated twice.
func (s *site) reportGenerated(expected int) {
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
