package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is one process of the project, started with the command of the deploy file.
type router struct {
	vm      string
	callers string
	ready   string
	cmd     *exec.Cmd
	ended   chan error
	// settings and log are the paths of its files.
	settings, log string
}

// freePort returns a port of the loopback address that was free a moment ago.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startRouter starts the only router of a deployment.
func startRouter(dir, vm, zone, storeAddress string) (*router, error) {
	seeds, err := freeSeeds(1)
	if err != nil {
		return nil, err
	}
	return startRouterWith(dir, vm, zone, storeAddress, seeds, 0)
}

// freeSeeds returns addresses for the first routers, which are the seeds of all.
func freeSeeds(n int) ([]string, error) {
	var out []string
	for range n {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		out = append(out, fmt.Sprintf("127.0.0.1:%d", p))
	}
	return out, nil
}

// startRouterWith writes the settings, as deploy/router.yaml lays them out, into dir and starts the router with the given number.
func startRouterWith(dir, vm, zone, storeAddress string, seeds []string, number int) (*router, error) {
	var ports [4]int
	for i := range ports {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	r := &router{
		vm: vm, callers: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		settings: filepath.Join(dir, vm+".yaml"), log: filepath.Join(dir, vm+".log"),
	}
	peers := fmt.Sprintf("127.0.0.1:%d", ports[2])
	if number < len(seeds) {
		peers = seeds[number]
	}
	text := strings.Join([]string{
		"vm: " + vm, "region: uttarbanga", "failure_domain: " + zone, "address: 127.0.0.1", "callers: " + r.callers,
		"readiness: " + r.ready, "peers: " + peers, "seeds: [" + strings.Join(seeds, ", ") + "]", fmt.Sprintf("metrics_port: %d", ports[3]),
		"stop_seconds: 8", "address_reuse_seconds: 2", "store:", "  address: " + storeAddress, "  lease_minimum_ms: 1000",
		"retries:", "  ratio: 0.8", "  window_seconds: 10", "  slack: 150", "memory_megabytes: 284", "link_megabits: 1000.0", "cpu_share: 0.304", "",
	}, "\n")
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return r, r.start()
}

func (r *router) start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd, r.ended = exec.Command("target/router", "direct", "--settings", r.settings), make(chan error, 1)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := r.cmd, r.ended
	go func() {
		ended <- cmd.Wait()
		close(ended)
	}()
	return nil
}

// again starts a router that has ended once more, with the same settings.
func (r *router) again() (*router, error) {
	out := *r
	return &out, out.start()
}

func (r *router) signal(s syscall.Signal) error { return r.cmd.Process.Signal(s) }

// stop ends the process and waits for it.
func (r *router) stop() {
	_ = r.signal(syscall.SIGCONT)
	_ = r.signal(syscall.SIGKILL)
	<-r.ended
}

// awaitReady waits until the router reports ready.
func (r *router) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", r.vm, limit)
}
