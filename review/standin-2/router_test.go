package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// router is a process of the system, started with the command of the deploy file.
type router struct {
	name    string
	callers string
	ready   string
	peers   string
	cmd     *exec.Cmd
	done    chan struct{}
	log     *os.File
	stopped bool
}

// bounds are those of the sheet of paanhat-lug that the settings name.
var bounds = map[string]string{
	"bounds.grace-s": "8", "bounds.reuse-after-s": "2", "heartbeat-ms": "1200", "platform.ttl-min-ms": "1000",
	"bounds.retry-ratio": "0.8", "bounds.retry-window-s": "10", "bounds.retry-slack": "150",
	"limits.memory-mb": "284", "limits.max-fds": "4100", "limits.link-mbps": "1000", "limits.cpu-share": "0.304",
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#bounds\.expose-share\}\}.*?\{\{/bounds\.expose-share\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// firstPort and lastPort bound the ports of listeners. They lie below those that Linux gives to outgoing connections, one of which could take
// a port between its choice and its use, or while a runner is down.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portTries = 200
)

// freeAddress returns an address of the loopback interface with a port that nothing listens on.
func freeAddress() (string, error) {
	var err error
	for range portTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

// newRouters returns the routers of a deployment, which know one another as seeds. None is running yet.
func newRouters(n int) ([]*router, error) {
	var out []*router
	for i := range n {
		r := &router{name: fmt.Sprintf("edge-%d", i+1)}
		for _, address := range []*string{&r.callers, &r.ready, &r.peers} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		out = append(out, r)
	}
	return out, nil
}

// start writes the settings from the template of the deploy file, and starts the process.
func (r *router) start(root, dir, zone, store string, all []*router) error {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "router.yaml"))
	if err != nil {
		return err
	}
	metrics, err := freeAddress()
	if err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(metrics)
	var seeds []string
	for _, o := range all {
		seeds = append(seeds, o.peers)
	}
	values := map[string]string{
		"node": r.name, "region": "region-1", "zone": zone, "ip": "127.0.0.1", "listen.front": r.callers, "listen.ready": r.ready,
		"listen.control": r.peers, "seeds": strings.Join(seeds, ","), "port-range.0": port, "platform.address": store,
	}
	text := placeholder.ReplaceAllStringFunc(section.ReplaceAllString(string(template), ""), func(p string) string {
		name := strings.Trim(p, "{}")
		if v, known := values[name]; known {
			return v
		}
		return bounds[name]
	})
	settings := filepath.Join(dir, r.name+".yaml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	if r.log, err = os.Create(filepath.Join(dir, r.name+".log")); err != nil {
		return err
	}
	r.cmd = exec.Command(filepath.Join(root, "target", "router"), "direct", "--settings", settings)
	r.cmd.Dir = root
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.done = make(chan struct{})
	go func() {
		_ = r.cmd.Wait()
		close(r.done)
	}()
	return nil
}

// awaitReady waits until the router says that it is ready.
func (r *router) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.ended() {
			text, _ := os.ReadFile(r.log.Name())
			return fmt.Errorf("%s has ended before it was ready; the end of its log: %s", r.name, text[max(0, len(text)-300):])
		}
		resp, err := client.Get("http://" + r.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", r.name, limit)
}

// terminate sends SIGTERM.
func (r *router) terminate() { _ = r.cmd.Process.Signal(syscall.SIGTERM) }

// kill ends the process if it still runs.
func (r *router) kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	select {
	case <-r.done:
	default:
		_ = r.cmd.Process.Kill()
		<-r.done
	}
	_ = r.log.Close()
}

// ended reports whether the process has ended.
func (r *router) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
