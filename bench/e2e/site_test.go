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

// patience is the longest wait for something that has to happen; what happens in less is not judged by it.
const patience = 30 * time.Second

const model = "lug-7b"

var domains = []string{"teesta-ghat", "karala-hall", "haat-mor"}

// site is a small site of separate processes: routers, model engines and plain services with their agents, in three
// failure domains.
type site struct {
	dir       string
	processes map[string]*process
	options   siteOptions
	routers   []string
	operators []string
	peers     []string
	serials   int
}

type siteOptions struct {
	routers  int
	engines  int
	services int
	cadence  time.Duration
	fencing  declared.Fencing
	tls      string
}

func newSite(o siteOptions) *site {
	s := &site{dir: GinkgoT().TempDir(), processes: make(map[string]*process), options: o}
	DeferCleanup(s.stop)
	s.standin("platform", "platform")
	for i := range o.routers {
		s.peers = append(s.peers, address())
		s.routers = append(s.routers, "http://"+address())
		s.operators = append(s.operators, address())
		_ = i
	}
	for i := range o.engines {
		args := []string{"engine", "--model", model + "@1", "--cadence", o.cadence.String(), "--prefill", "20ms"}
		if o.fencing == declared.FencingChecked {
			args = append(args, "--checks-fence")
		}
		s.standin(fmt.Sprintf("engine-%d", i), args...)
		s.agent(fmt.Sprintf("model-%d", i), fmt.Sprintf("engine-%d", i), "lug-pool", "model", domains[i%3])
	}
	for i := range o.services {
		s.standin(fmt.Sprintf("service-%d", i), "plain")
		s.agent(fmt.Sprintf("desk-%d", i), fmt.Sprintf("service-%d", i), "nilam-desk", "plain", domains[(i+1)%3])
	}
	for i := range o.routers {
		s.router(i)
	}
	s.awaitMembers(o.routers + o.engines + o.services)
	s.apply(s.config("1"))
	s.awaitHolders("1")
	return s
}

func (s *site) start(name, listen, program string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(binaries, program), args...), log: &bytes.Buffer{}, ended: make(chan struct{}), listen: listen}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	s.processes[name] = p
	return p
}

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

func (s *site) standin(name string, args ...string) {
	listen := address()
	s.start(name, listen, "standin", append(args, "--listen", listen)...)
	Eventually(func() error {
		conn, err := net.Dial("tcp", listen)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, patience, "20ms").Should(Succeed())
}

func (s *site) settings(name, domain, listen string, lines ...string) string {
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

func (s *site) agent(name, upstream, service, kind, domain string) {
	listen := address()
	path := s.settings(name, domain, listen, "service: "+service, "kind: "+kind, "upstream: http://"+s.processes[upstream].listen)
	s.start(name, listen, "agent", "--settings", path)
}

// restart starts a program again with its former settings.
func (s *site) restart(name, program string) {
	s.start(name, s.processes[name].listen, program, "--settings", filepath.Join(s.dir, name+".yaml"))
}

func (s *site) router(i int) {
	name := fmt.Sprintf("entry-%d", i)
	path := s.settings(name, domains[(i*2)%3], s.peers[i], "callers: "+strings.TrimPrefix(s.routers[i], "http://"),
		"operators: "+s.operators[i], "caller_grace: 2s", "loads_per_minute: 6000")
	s.start(name, s.peers[i], "router", "--settings", path)
}

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
	cmd := exec.Command(filepath.Join(binaries, "ctl"), append(flags, args...)...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		Fail(err.Error())
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (s *site) write(config string) string {
	s.serials++
	path := filepath.Join(s.dir, fmt.Sprintf("config-%d.yaml", s.serials))
	Expect(os.WriteFile(path, []byte(config), 0o600)).To(Succeed())
	return path
}

func (s *site) apply(config string) {
	out, code := s.ctl("apply", "--wait", "--timeout", patience.String(), s.write(config))
	Expect(code).To(BeZero(), out)
}

type memberRow struct {
	VM       string   `json:"vm"`
	State    string   `json:"state"`
	Models   []string `json:"models"`
	Revision int      `json:"revision"`
}

// members returns what each router knows.
func (s *site) members(router int) []memberRow {
	var status struct {
		Members []memberRow `json:"members"`
	}
	if resp, err := http.Get("http://" + s.operators[router] + "/status"); err == nil {
		_ = json.NewDecoder(resp.Body).Decode(&status)
		_ = resp.Body.Close()
	}
	return status.Members
}

func (s *site) state(router int, vm string) string {
	for _, m := range s.members(router) {
		if m.VM == vm {
			return m.State
		}
	}
	return ""
}

func (s *site) awaitMembers(n int) {
	for i := range s.routers {
		Eventually(func() []memberRow { return s.members(i) }, patience, "50ms").Should(HaveLen(n))
	}
}

// awaitHolders waits until every router knows that every engine holds exactly this version.
func (s *site) awaitHolders(version string) {
	for i := range s.routers {
		Eventually(func(g Gomega) {
			holders := 0
			for _, m := range s.members(i) {
				if len(m.Models) == 1 && m.Models[0] == model+"@"+version {
					holders++
				}
			}
			g.Expect(holders).To(Equal(s.options.engines))
		}, patience, "50ms").Should(Succeed())
	}
}
