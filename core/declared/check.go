package declared

import (
	"fmt"
	"regexp"
	"strings"

	"bilberrylug.dev/core/ids"
)

// maxLedgerBuckets keeps the number of a service's ledger keys in the platform's service, one per bucket, in the order of a
// few hundred.
const maxLedgerBuckets = 1024

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker validates one document and collects its findings.
type checker struct {
	document
	services  map[ids.Service]Kind
	seenNames map[string]string
	seenKeys  map[string]ids.Workspace
	findings  *FindingsError
}

func check(documents []document, merged *Config) FindingsError {
	var findings FindingsError
	services := make(map[ids.Service]Kind)
	for _, s := range merged.Services {
		services[s.Name] = s.Kind
	}
	seenNames := make(map[string]string)
	seenKeys := make(map[string]ids.Workspace)
	for _, d := range documents {
		c := checker{d, services, seenNames, seenKeys, &findings}
		c.run()
	}
	return findings
}

func (c checker) run() {
	for i, s := range c.cfg.Services {
		c.checkService(fmt.Sprintf("$.services[%d]", i), s)
	}
	for i, w := range c.cfg.Workspaces {
		c.checkWorkspace(fmt.Sprintf("$.workspaces[%d]", i), w)
	}
}

func (c checker) add(check, path, remedy, format string, args ...any) {
	*c.findings = append(*c.findings, Finding{
		Check: check, File: c.file.Name, Line: c.line(path), Text: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

func (c checker) checkName(path, part, name string) {
	if !namePattern.MatchString(name) {
		c.add("CF0101", path+".name", "use 1 to 63 lower-case letters, digits and hyphens", "%s name %q is not valid", part, name)
		return
	}
	key := part + " " + name
	if first, seen := c.seenNames[key]; seen {
		c.add("CF0102", path+".name", "remove or rename one of the two", "%s is declared twice, first at %s", key, first)
		return
	}
	c.seenNames[key] = fmt.Sprintf("%s:%d", c.file.Name, c.line(path+".name"))
}

func (c checker) checkService(path string, s Service) {
	c.checkName(path, "service", string(s.Name))
	switch s.Kind {
	case ModelService:
		c.checkModels(path, s)
	case PlainService:
		c.checkRoutes(path, s)
	default:
		c.add("CF0201", path+".kind", "write kind: model or kind: plain", "service kind %q is not known", s.Kind)
	}
	if s.ReservedShortShare < 0 || s.ReservedShortShare > 0.9 {
		c.add("CF0202", path+".reserved_short_share", "write a share from 0 to 0.9", "share %v is out of range", s.ReservedShortShare)
	}
	if s.SlotsPerUpstream < 0 || s.QueuePerUpstream < 0 {
		c.add("CF0203", path+".slots_per_upstream", "write a count of zero or more", "a count is negative")
	}
	if s.LedgerBuckets < 0 || s.LedgerBuckets > maxLedgerBuckets {
		c.add("CF0204", path+".ledger_buckets", "write a count from 1 to 1024", "%d buckets are out of range", s.LedgerBuckets)
	}
	if s.Fencing != "" && s.Fencing != FencingChecked && s.Fencing != FencingIgnored {
		c.add("CF0205", path+".fencing", "write fencing: checked or fencing: ignored", "fencing %q is not known", s.Fencing)
	}
}

func (c checker) checkModels(path string, s Service) {
	if len(s.Models) == 0 {
		c.add("CF0211", path, "declare at least one model", "model service %q has no models", s.Name)
	}
	for i, m := range s.Models {
		if m.Name == "" || m.Version == "" {
			c.add("CF0212", fmt.Sprintf("%s.models[%d]", path, i), "give both name and version", "model %d of %q is not pinned", i, s.Name)
		}
	}
}

func (c checker) checkRoutes(path string, s Service) {
	if len(s.Routes) == 0 {
		c.add("CF0221", path, "declare at least one route", "plain service %q has no routes", s.Name)
	}
	for i, r := range s.Routes {
		at := fmt.Sprintf("%s.routes[%d]", path, i)
		if !strings.HasPrefix(r.Path, "/") || r.Method != strings.ToUpper(r.Method) || r.Method == "" {
			c.add("CF0222", at, "write an upper-case method and a path that starts with /", "route %s %s is not valid", r.Method, r.Path)
		}
		if r.HedgeAfter > 0 && !r.Idempotent {
			c.add("CF0223", at+".hedge_after", "remove hedge_after or declare idempotent: true", "a non-idempotent route cannot be hedged")
		}
	}
}

func (c checker) checkWorkspace(path string, w Workspace) {
	c.checkName(path, "workspace", string(w.Name))
	if !ValidKeyHash(w.KeyHash) {
		c.add("CF0301", path+".key_hash", "write the output of bilberrylug hash-key", "the key hash of %q is not valid", w.Name)
	} else if other, seen := c.seenKeys[w.KeyHash]; seen {
		c.add("CF0302", path+".key_hash", "give each workspace its own key", "%q has the same key as %q", w.Name, other)
	}
	c.seenKeys[w.KeyHash] = w.Name
	if w.RequestsPerSecond <= 0 || w.MaxRunning <= 0 {
		c.add("CF0303", path, "declare requests_per_second and max_running above zero", "workspace %q has no limits", w.Name)
	}
	for i, s := range w.Services {
		if _, known := c.services[s]; !known {
			c.add("CF0304", fmt.Sprintf("%s.services[%d]", path, i), "declare the service or correct the name", "service %q is not declared", s)
		}
	}
}
