package routing_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/routing"
)

var _ = Describe("a configuration", func() {
	It("chooses the route of the host with the longest prefix", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			prefixes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/a/b/c/", "/b/", "/ab/"}), 0, 6, rapid.ID[string]).Draw(t, "prefixes")
			var routes []routing.Route
			for _, p := range prefixes {
				routes = append(routes, routing.Route{Host: "Desk.example", Prefix: p})
			}
			path := rapid.StringMatching(`(/[abc]{1,2}){0,4}/?`).Draw(t, "path")
			best := ""
			for _, p := range prefixes {
				if strings.HasPrefix(path, p) && len(p) > len(best) {
					best = p
				}
			}
			c := routing.New(1, routes, nil, nil, routing.Limits{})
			r, found := c.Match("desk.EXAMPLE:80", path)
			Expect(found).To(Equal(best != ""))
			Expect(r.Prefix).To(Equal(best))
			_, found = c.Match("other.example", path)
			Expect(found).To(BeFalse())
		})
	})
	It("shares requests among services by weight", func() {
		r := routing.Route{Targets: []routing.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
		counts := map[ids.Service]int{}
		for i := range 1000 {
			counts[r.Pick(float64(i)/1000)]++
		}
		Expect(counts).To(Equal(map[ids.Service]int{"old": 900, "new": 100}))
		Expect(routing.Route{}.Pick(0.5)).To(BeEmpty())
	})
	It("lets nobody in without a key where workspaces are declared, but on public routes", func() {
		c := routing.New(1, nil, nil, map[string]ids.Workspace{"k": "growers"}, routing.Limits{})
		Expect(c.NeedsKey(routing.Route{})).To(BeTrue())
		Expect(c.NeedsKey(routing.Route{Public: true})).To(BeFalse())
		_, known := c.Workspace("")
		Expect(known).To(BeFalse())
	})
	It("repeats only what may be repeated", func() {
		Expect(routing.Route{Kind: routing.Idempotent}.Retryable()).To(BeTrue())
		Expect(routing.Route{Kind: routing.NonIdempotent, Resumable: true}.Retryable()).To(BeFalse())
		Expect(routing.Route{Kind: routing.Streaming}.Retryable()).To(BeFalse())
		Expect(routing.Route{Kind: routing.Streaming, Resumable: true}.Retryable()).To(BeTrue())
	})
})
