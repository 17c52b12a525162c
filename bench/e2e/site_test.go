package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/declared"
)

// maxWait is the time limit for events that have to happen eventually. It does not check how fast they happen.
const maxWait = 30 * time.Second

const model = "lug-7b"

var domains = []string{"teesta-ghat", "karala-hall", "haat-mor"}

// site is a small deployment of separate processes in three failure domains: routers, model engines and plain services with
// their agents. The fields routers, operators and peers hold the address of each router for callers, operators and peers.
type site struct {
	dir         string
	processes   map[string]*process
	options     siteOptions
	routers     []string
	operators   []string
	peers       []string
	configCount int
}

// siteOptions configures a site. cadence is the time between the tokens of its engines; tls is the directory of its
// certificates, or empty for no TLS.
type siteOptions struct {
	routers  int
	engines  int
	services int
	cadence  time.Duration
	fencing  declared.Fencing
	tls      string
}

// newSite starts a site and waits until its configuration is active and every engine has loaded the model. The site is
// stopped at the end of the test.
func newSite(o siteOptions) *site {
	s := &site{dir: GinkgoT().TempDir(), processes: make(map[string]*process), options: o}
	DeferCleanup(s.stop)
	s.startStandin("platform", "platform")
	for i := range o.routers {
		s.peers = append(s.peers, freeAddress())
		s.routers = append(s.routers, "http://"+freeAddress())
		s.operators = append(s.operators, freeAddress())
		_ = i
	}
	for i := range o.engines {
		args := []string{"engine", "--model", model + "@1", "--cadence", o.cadence.String(), "--prefill", "20ms"}
		if o.fencing == declared.FencingChecked {
			args = append(args, "--checks-fence")
		}
		s.startStandin(fmt.Sprintf("engine-%d", i), args...)
		s.startAgent(fmt.Sprintf("model-%d", i), fmt.Sprintf("engine-%d", i), "lug-pool", "model", domains[i%3])
	}
	for i := range o.services {
		s.startStandin(fmt.Sprintf("service-%d", i), "plain")
		s.startAgent(fmt.Sprintf("desk-%d", i), fmt.Sprintf("service-%d", i), "nilam-desk", "plain", domains[(i+1)%3])
	}
	for i := range o.routers {
		s.startRouter(i)
	}
	s.awaitMembers(o.routers + o.engines + o.services)
	s.apply(s.config("1"))
	s.awaitVersion("1")
	return s
}

func (s *site) startProcess(name, listen, program string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(binDir, program), args...), log: &bytes.Buffer{}, ended: make(chan struct{}), listen: listen}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	s.processes[name] = p
	return p
}

// stop kills all processes. If the test failed, it prints the end of their logs.
func (s *site) stop() {
	for name, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
		if CurrentSpecReport().Failed() {
			lines := strings.Split(p.log.String(), "\n")
			GinkgoWriter.Printf("--- %s\n%s\n", name, strings.Join(lines[max(0, len(lines)-15):], "\n"))
		}
	}
}

// startStandin starts a stand-in and waits until it accepts connections.
func (s *site) startStandin(name string, args ...string) {
	listen := freeAddress()
	s.startProcess(name, listen, "standin", append(args, "--listen", listen)...)
	Eventually(func() error {
		conn, err := net.Dial("tcp", listen)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, maxWait, "20ms").Should(Succeed())
}

// writeSettings writes the settings file of a process and returns its path.
func (s *site) writeSettings(name, domain, listen string, lines ...string) string {
	path := filepath.Join(s.dir, name+".yaml")
	lines = append(lines,
		"vm: "+name, "region: uttarbanga", "failure_domain: "+domain, "listen: "+listen,
		"routers: ["+strings.Join(s.peers, ", ")+"]",
		"platform: {address: http://"+s.processes["platform"].listen+", reads_per_second: 100, writes_per_second: 100}",
	)
	if s.options.tls != "" {
		lines = append(lines, fmt.Sprintf("tls: {cert_file: %[1]s/cert.pem, key_file: %[1]s/key.pem, ca_file: %[1]s/ca.pem}", s.options.tls))
	}
	Expect(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)).To(Succeed())
	return path
}

// startAgent starts the agent of a running stand-in.
func (s *site) startAgent(name, upstream, service, kind, domain string) {
	listen := freeAddress()
	path := s.writeSettings(name, domain, listen, "service: "+service, "kind: "+kind, "upstream: http://"+s.processes[upstream].listen)
	s.startProcess(name, listen, "agent", "--settings", path)
}

// restart starts a program again with the same address and settings.
func (s *site) restart(name, program string) {
	s.startProcess(name, s.processes[name].listen, program, "--settings", filepath.Join(s.dir, name+".yaml"))
}

func (s *site) startRouter(i int) {
	name := fmt.Sprintf("entry-%d", i)
	path := s.writeSettings(name, domains[(i*2)%3], s.peers[i], "callers: "+strings.TrimPrefix(s.routers[i], "http://"),
		"operators: "+s.operators[i], "caller_grace: 2s", "loads_per_minute: 6000")
	s.startProcess(name, s.peers[i], "router", "--settings", path)
}

// config returns a configuration with the given model version.
func (s *site) config(version string) string {
	fencing := s.options.fencing
	if fencing == "" {
		fencing = declared.FencingIgnored
	}
	text := fmt.Sprintf(`services:
  - {name: lug-pool, kind: model, fencing: %s, models: [{name: %s, version: "%s"}]}
  - name: nilam-desk
    kind: plain
    routes:
      - {method: GET, path: /prices/*, idempotent: true, hedge_after: 100ms}
      - {method: POST, path: /slips}
    call_timeout: 2s
workspaces:
`, fencing, model, version)
	for _, w := range []string{"growers", "buyers"} {
		text += fmt.Sprintf("  - {name: %s, key_hash: \"%s\", services: [lug-pool, nilam-desk], requests_per_second: 1000, max_running: 1000}\n", w, declared.HashKey(w+".key"))
	}
	return text
}

// ctl runs the operators' command line and returns its output and exit code.
func (s *site) ctl(args ...string) (string, int) {
	flags := []string{"--platform", "http://" + s.processes["platform"].listen, "--operator", "test"}
	for _, o := range s.operators {
		flags = append(flags, "--router", o)
	}
	cmd := exec.Command(filepath.Join(binDir, "ctl"), append(flags, args...)...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		Fail(err.Error())
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// writeConfig writes a configuration to a new file and returns its path.
func (s *site) writeConfig(config string) string {
	s.configCount++
	path := filepath.Join(s.dir, fmt.Sprintf("config-%d.yaml", s.configCount))
	Expect(os.WriteFile(path, []byte(config), 0o600)).To(Succeed())
	return path
}

// apply applies a configuration and waits until it is active.
func (s *site) apply(config string) {
	out, code := s.ctl("apply", "--wait", "--timeout", maxWait.String(), s.writeConfig(config))
	Expect(code).To(BeZero(), out)
}

// memberStatus is a member as /status reports it.
type memberStatus struct {
	VM       string   `json:"vm"`
	State    string   `json:"state"`
	Models   []string `json:"models"`
	Revision int      `json:"revision"`
}

// members returns the members that a router knows, or nil if it does not reply.
func (s *site) members(router int) []memberStatus {
	var status struct {
		Members []memberStatus `json:"members"`
	}
	if resp, err := http.Get("http://" + s.operators[router] + "/status"); err == nil {
		_ = json.NewDecoder(resp.Body).Decode(&status)
		_ = resp.Body.Close()
	}
	return status.Members
}

// memberState returns the state of a VM as a router knows it, or an empty string if the VM is unknown.
func (s *site) memberState(router int, vm string) string {
	for _, m := range s.members(router) {
		if m.VM == vm {
			return m.State
		}
	}
	return ""
}

// awaitMembers waits until every router knows n members.
func (s *site) awaitMembers(n int) {
	for i := range s.routers {
		Eventually(func() []memberStatus { return s.members(i) }, maxWait, "50ms").Should(HaveLen(n))
	}
}

// awaitVersion waits until every router knows that every engine has loaded exactly this version of the model.
func (s *site) awaitVersion(version string) {
	for i := range s.routers {
		Eventually(func(g Gomega) {
			loaded := 0
			for _, m := range s.members(i) {
				if len(m.Models) == 1 && m.Models[0] == model+"@"+version {
					loaded++
				}
			}
			g.Expect(loaded).To(Equal(s.options.engines))
		}, maxWait, "50ms").Should(Succeed())
	}
}
