package declared_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/ids"
)

// expectedFinding returns the check and line given by the "# want" comment of an invalid file.
func expectedFinding(body string) (line int, check string) {
	for i, text := range strings.Split(body, "\n") {
		if _, found, ok := strings.Cut(text, "# want "); ok {
			return i + 1, strings.TrimSpace(found)
		}
	}
	return 0, ""
}

func generateConfig(workspaces int) *declared.Config {
	cfg := &declared.Config{Services: []declared.Service{{Name: "lug-pool", Kind: declared.ModelService, Models: []declared.Model{{Name: "lug-7b", Version: "1"}}}}}
	for i := range workspaces {
		name := fmt.Sprintf("w-%d", i)
		cfg.Workspaces = append(cfg.Workspaces, declared.Workspace{
			Name: ids.Workspace(name), KeyHash: declared.HashKey(name + ".k"), Services: []ids.Service{"lug-pool"}, RequestsPerSecond: 5, MaxRunning: 10,
		})
	}
	return cfg
}

func yamlOf(workspaces int) []byte {
	var b strings.Builder
	b.WriteString("services:\n  - name: lug-pool\n    kind: model\n    models: [{name: lug-7b, version: \"1\"}]\nworkspaces:\n")
	for i := range workspaces {
		name := fmt.Sprintf("w-%d", i)
		fmt.Fprintf(&b, "  - name: %s\n    key_hash: %s\n    services: [lug-pool]\n    requests_per_second: 5\n    max_running: 10\n", name, declared.HashKey(name+".k"))
	}
	return []byte(b.String())
}

var _ = Describe("invalid files", func() {
	names, _ := filepath.Glob("testdata/broken/*.yaml")
	for _, name := range names {
		It(filepath.Base(name)+" is reported with the expected check and line and with a remedy", func() {
			body, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			line, check := expectedFinding(string(body))
			_, err = declared.Parse([]declared.File{{Name: name, Body: body}})
			var findings declared.FindingsError
			Expect(errors.As(err, &findings)).To(BeTrue(), "%v", err)
			Expect(findings).To(HaveLen(1), "%v", err)
			Expect(findings[0]).To(And(HaveField("Check", check), HaveField("Line", line), HaveField("Remedy", Not(BeEmpty()))), "%v", err)
		})
	}
	It("number at least ten", func() { Expect(len(names)).To(BeNumerically(">=", 10)) })
})

var _ = Describe("chunks", func() {
	It("reproduce the configuration, and a change of one workspace changes one chunk", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			cfg := generateConfig(rapid.IntRange(0, 400).Draw(t, "workspaces"))
			set, err := cfg.Chunks()
			if err != nil {
				t.Fatal(err)
			}
			head := (&declared.Head{}).Next(declared.Summary{}, set)
			back, err := head.Assemble(set.Bodies, false)
			if err != nil {
				t.Fatal(err)
			}
			if d := declared.Diff(cfg, back); len(d) > 0 {
				t.Fatalf("%v", d)
			}
			if len(cfg.Workspaces) == 0 {
				return
			}
			i := rapid.IntRange(0, len(cfg.Workspaces)-1).Draw(t, "changed")
			cfg.Workspaces[i].MaxRunning++
			next, _ := cfg.Chunks()
			added := 0
			for hash := range next.Bodies {
				if _, held := set.Bodies[hash]; !held {
					added++
				}
			}
			if added != 1 {
				t.Fatalf("%d new chunks, want 1", added)
			}
		})
	})
	It("are rejected when one is missing or does not match its hash", func() {
		set, _ := generateConfig(10).Chunks()
		head := (&declared.Head{}).Next(declared.Summary{}, set)
		set.Bodies[set.ServicesChunk] = []byte("{}")
		_, err := head.Assemble(set.Bodies, false)
		Expect(err).To(MatchError(ContainSubstring("does not match its hash")))
		delete(set.Bodies, set.ServicesChunk)
		_, err = head.Assemble(set.Bodies, false)
		Expect(err).To(MatchError(ContainSubstring("is missing")))
	})
})

func BenchmarkParse19000(b *testing.B) {
	body := yamlOf(19_000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := declared.Parse([]declared.File{{Name: "w.yaml", Body: body}}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChunks19000(b *testing.B) {
	cfg := generateConfig(19_000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cfg.Chunks(); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	names, _ := filepath.Glob("testdata/broken/*.yaml")
	for _, name := range names {
		body, _ := os.ReadFile(name)
		f.Add(body)
	}
	f.Add(yamlOf(2))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := declared.Parse([]declared.File{{Name: "f.yaml", Body: body}})
		var findings declared.FindingsError
		if err != nil && !errors.As(err, &findings) {
			t.Fatalf("error is not a FindingsError: %v", err)
		}
	})
}
