package direct

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/settings"
)

var (
	templateSection = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}\n?(.*?)\{\{/[^}]+\}\}\n?`)
	templateField   = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// renderSettings fills in the settings of the users' platform as it does: a section is left out if its field has no value.
func renderSettings(fields map[string]string) string {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "router.yaml"))
	Expect(err).NotTo(HaveOccurred())
	out := templateSection.ReplaceAllStringFunc(string(text), func(s string) string {
		parts := templateSection.FindStringSubmatch(s)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return templateField.ReplaceAllStringFunc(out, func(f string) string { return fields[strings.Trim(f, "{}")] })
}

var _ = Describe("the template of the settings", func() {
	load := func(more map[string]string) Settings {
		fields := map[string]string{
			"node": "r1", "region": "here", "zone": "north", "ip": "10.0.0.1", "listen.front": "10.0.0.1:80", "listen.ready": "10.0.0.1:81",
			"listen.control": "10.0.0.1:82", "port-range.0": "83", "bounds.grace-s": "8", "bounds.reuse-after-s": "2", "heartbeat-ms": "1200",
			"platform.address": "10.0.0.2:80", "platform.ttl-min-ms": "1000", "bounds.retry-ratio": "0.8", "bounds.retry-window-s": "10",
			"bounds.retry-slack": "10", "limits.memory-mb": "112", "limits.link-mbps": "20", "limits.cpu-share": "0.2",
		}
		for name, value := range more {
			fields[name] = value
		}
		path := filepath.Join(GinkgoT().TempDir(), "router.yaml")
		Expect(os.WriteFile(path, []byte(renderSettings(fields)), 0o600)).To(Succeed())
		cfg, err := settings.Load[Settings](path)
		Expect(err).NotTo(HaveOccurred())
		return cfg
	}
	// Guards against rollouts at a site that has no bounds for them.
	It("has a section for rollouts only where the site bounds them", func() {
		Expect(load(nil).Rollouts).To(BeNil())
		Expect(load(map[string]string{"bounds.expose-share": "0.1", "bounds.expose-slack": "50", "bounds.rollback-ms": "5000"}).Rollouts).
			To(Equal(&Rollouts{ExposeShare: 0.1, ExposeSlack: 50, RollbackMs: 5000}))
		Expect(load(map[string]string{"bounds.expose-share": "0.1"}).Rollouts).To(Equal(&Rollouts{ExposeShare: 0.1}))
	})
})
